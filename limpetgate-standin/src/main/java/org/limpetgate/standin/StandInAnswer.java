package org.limpetgate.standin;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.net.http.HeaderNames;
import org.limpetgate.net.http.HttpReply;

/**
 * An answer of a stand-in and how much of it reaches the client.
 *
 * @param reply the answer
 * @param delivery how it is sent
 */
record StandInAnswer(HttpReply reply, Delivery delivery) {

	static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

	private static final HttpReply NOTHING = new HttpReply(0, Map.of(), new byte[0]);

	static StandInAnswer whole(int status, Map<String, String> headers, byte[] body) {
		return new StandInAnswer(new HttpReply(status, headers, body), Delivery.WHOLE);
	}

	static StandInAnswer binary(byte[] body) {
		return whole(200, Map.of("content-type", "application/octet-stream"), body);
	}

	static StandInAnswer json(int status, Object body) {
		return json(status, Map.of(), body);
	}

	static StandInAnswer json(int status, Map<String, String> headers, Object body) {
		Map<String, String> all = new LinkedHashMap<>(headers);
		all.put("content-type", "application/json");
		try {
			return whole(status, all, JSON.writeValueAsBytes(body));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot write " + body.getClass().getSimpleName() + " as JSON", ex);
		}
	}

	static StandInAnswer error(int status, Outcome outcome, String message, long retryAfterMillis) {
		return error(status, ErrorKind.PLATFORM_UNAVAILABLE, outcome, message, retryAfterMillis);
	}

	private static StandInAnswer error(int status, ErrorKind kind, Outcome outcome, String message,
			long retryAfterMillis) {
		return json(status, Map.of(HeaderNames.OUTCOME, outcome.text()),
				new ErrorBody(outcome.text(), kind.name(), message, retryAfterMillis));
	}

	static StandInAnswer notFound(String path) {
		return error(404, Outcome.NOT_RUN, "no such path: " + path, 0);
	}

	static StandInAnswer error(Throwable error) {
		if (error instanceof DispatchException known) {
			return error(known.kind().httpStatus(), known.kind(), known.outcome(), known.getMessage(),
					TimeUnit.NANOSECONDS.toMillis(known.retryAfterNanos()));
		}
		return error(500, Outcome.UNKNOWN, String.valueOf(error), 0);
	}

	/**
	 * Returns the answer to a request that the server does not understand, which has not
	 * run anything.
	 * @param message what is wrong
	 * @return the answer
	 */
	static StandInAnswer badRequest(String message) {
		return error(400, Outcome.NOT_RUN, message, 0);
	}

	/**
	 * Returns an answer of a server that gives no reason and no outcome.
	 * @param status the status
	 * @return the answer
	 */
	static StandInAnswer bare(int status) {
		return whole(status, Map.of(), "no details".getBytes(StandardCharsets.UTF_8));
	}

	static StandInAnswer closed() {
		return new StandInAnswer(NOTHING, Delivery.CLOSE);
	}

	static StandInAnswer never() {
		return new StandInAnswer(NOTHING, Delivery.NEVER);
	}

	StandInAnswer truncated() {
		return new StandInAnswer(this.reply, Delivery.TRUNCATED);
	}

	/**
	 * How an answer is sent.
	 */
	enum Delivery {

		/** The whole answer. */
		WHOLE,

		/** The head and the first half of the body, then the connection is closed. */
		TRUNCATED,

		/** The connection is closed without an answer. */
		CLOSE,

		/** No answer; the connection stays open. */
		NEVER

	}

	/**
	 * The body of an error answer.
	 *
	 * @param outcome the outcome
	 * @param error the kind
	 * @param message the remedy
	 * @param retryAfterMillis when to come back, 0 for no time
	 */
	record ErrorBody(String outcome, String error, String message, long retryAfterMillis) {
	}

}
