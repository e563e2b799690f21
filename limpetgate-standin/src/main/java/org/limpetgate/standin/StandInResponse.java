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
 * An HTTP response of a stand-in and how it is delivered, which may be truncated or
 * missing.
 *
 * @param reply the response
 * @param delivery how it is delivered
 */
record StandInResponse(HttpReply reply, Delivery delivery) {

	static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

	private static final HttpReply EMPTY = new HttpReply(0, Map.of(), new byte[0]);

	static StandInResponse complete(int status, Map<String, String> headers, byte[] body) {
		return new StandInResponse(new HttpReply(status, headers, body), Delivery.COMPLETE);
	}

	static StandInResponse binary(byte[] body) {
		return complete(200, Map.of("content-type", "application/octet-stream"), body);
	}

	static StandInResponse json(int status, Object body) {
		return json(status, Map.of(), body);
	}

	static StandInResponse json(int status, Map<String, String> headers, Object body) {
		Map<String, String> merged = new LinkedHashMap<>(headers);
		merged.put("content-type", "application/json");
		try {
			return complete(status, merged, JSON.writeValueAsBytes(body));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot write " + body.getClass().getSimpleName() + " as JSON", ex);
		}
	}

	static StandInResponse error(int status, Outcome outcome, String message, long retryAfterMillis) {
		return error(status, ErrorKind.PLATFORM_UNAVAILABLE, outcome, message, retryAfterMillis);
	}

	private static StandInResponse error(int status, ErrorKind kind, Outcome outcome, String message,
			long retryAfterMillis) {
		return json(status, Map.of(HeaderNames.OUTCOME, outcome.text()),
				new ErrorBody(outcome.text(), kind.name(), message, retryAfterMillis));
	}

	static StandInResponse notFound(String path) {
		return error(404, Outcome.NOT_RUN, "no such path: " + path, 0);
	}

	static StandInResponse error(Throwable error) {
		if (error instanceof DispatchException dispatchError) {
			return error(dispatchError.kind().httpStatus(), dispatchError.kind(), dispatchError.outcome(),
					dispatchError.getMessage(), TimeUnit.NANOSECONDS.toMillis(dispatchError.retryAfterNanos()));
		}
		return error(500, Outcome.UNKNOWN, String.valueOf(error), 0);
	}

	/**
	 * Returns the response to an invalid request, which ran nothing.
	 * @param message the problem
	 * @return the response
	 */
	static StandInResponse badRequest(String message) {
		return error(400, Outcome.NOT_RUN, message, 0);
	}

	/**
	 * Returns a response without an outcome and without a reason.
	 * @param status the status
	 * @return the response
	 */
	static StandInResponse withoutOutcome(int status) {
		return complete(status, Map.of(), "no details".getBytes(StandardCharsets.UTF_8));
	}

	static StandInResponse closeConnection() {
		return new StandInResponse(EMPTY, Delivery.CLOSE);
	}

	static StandInResponse noResponse() {
		return new StandInResponse(EMPTY, Delivery.NEVER);
	}

	StandInResponse truncated() {
		return new StandInResponse(this.reply, Delivery.TRUNCATED);
	}

	/**
	 * How a response is delivered.
	 */
	enum Delivery {

		/** The complete response. */
		COMPLETE,

		/** The head and the first half of the body, then the connection is closed. */
		TRUNCATED,

		/** The connection is closed without a response. */
		CLOSE,

		/** No response; the connection stays open. */
		NEVER

	}

	/**
	 * The body of an error response.
	 *
	 * @param outcome the outcome
	 * @param error the name of the {@link ErrorKind}
	 * @param message the problem and the remedy
	 * @param retryAfterMillis the delay before a retry, 0 if none is suggested
	 */
	record ErrorBody(String outcome, String error, String message, long retryAfterMillis) {
	}

}
