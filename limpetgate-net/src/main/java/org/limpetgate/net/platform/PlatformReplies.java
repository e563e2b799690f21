package org.limpetgate.net.platform;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.net.http.HeaderNames;
import org.limpetgate.net.http.HttpReply;

/**
 * Reads the responses of the platform.
 */
final class PlatformReplies {

	static final ObjectMapper JSON = new ObjectMapper();

	private static final Set<ErrorKind> REFUSAL_KINDS = EnumSet.of(ErrorKind.IMPOSSIBLE, ErrorKind.OVERLOADED,
			ErrorKind.SHUTTING_DOWN, ErrorKind.DEADLINE_EXCEEDED);

	private static final int STATUS_OK = 200;

	private static final int MAX_MESSAGE_CHARS = 200;

	private PlatformReplies() {
	}

	/**
	 * Reads a response with status 200 and converts all others to errors.
	 * @param <T> the type of the content
	 * @param reply the response
	 * @param errorKind the kind of the error, unless a refusal specifies another
	 * @param reader reads the response, or throws if it is malformed
	 * @return the content
	 */
	static <T> T read(HttpReply reply, ErrorKind errorKind, ReplyReader<T> reader) {
		if (reply.status() != STATUS_OK) {
			throw error(reply, errorKind);
		}
		try {
			return reader.read(reply);
		}
		catch (IOException | RuntimeException ex) {
			throw DispatchException.of(errorKind, Outcome.UNKNOWN,
					"malformed response of the platform: " + ex.getMessage());
		}
	}

	private static DispatchException error(HttpReply reply, ErrorKind errorKind) {
		Outcome outcome = reply.header(HeaderNames.OUTCOME).equals(Outcome.NOT_RUN.text()) ? Outcome.NOT_RUN
				: Outcome.UNKNOWN;
		JsonNode body = errorBody(reply);
		String message = body.path("message").asText("");
		String detail = "the platform answered with status " + reply.status()
				+ (message.isEmpty() ? "" : ": " + message.substring(0, Math.min(MAX_MESSAGE_CHARS, message.length())));
		long retryAfterMillis = body.path("retryAfterMillis").asLong(0);
		ErrorKind kind = kind(body.path("error").asText(""), errorKind);
		if (retryAfterMillis > 0) {
			return DispatchException.withRetryAfter(kind, outcome, detail,
					TimeUnit.MILLISECONDS.toNanos(retryAfterMillis));
		}
		return DispatchException.of(kind, outcome, detail);
	}

	// The choice of the next upstream depends on why a worker refused, so its error kind
	// is preserved. Errors of the log have only one kind.
	private static ErrorKind kind(String name, ErrorKind errorKind) {
		if (errorKind == ErrorKind.LOG_UNAVAILABLE) {
			return errorKind;
		}
		return REFUSAL_KINDS.stream().filter((kind) -> kind.name().equals(name)).findFirst().orElse(errorKind);
	}

	private static JsonNode errorBody(HttpReply reply) {
		try {
			return JSON.readTree(reply.body());
		}
		catch (IOException ex) {
			// The status is enough; an error page of a proxy has no JSON body.
			return JSON.createObjectNode();
		}
	}

	static String encode(String segment) {
		return URLEncoder.encode(segment, StandardCharsets.UTF_8);
	}

	/**
	 * Reads a response with status 200.
	 *
	 * @param <T> the type of the content
	 */
	@FunctionalInterface
	interface ReplyReader<T> {

		T read(HttpReply reply) throws IOException;

	}

}
