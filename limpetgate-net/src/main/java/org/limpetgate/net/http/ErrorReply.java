package org.limpetgate.net.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;

/**
 * Converts errors to HTTP responses.
 * <p>
 * The response has the status of the {@link ErrorKind}, the header
 * {@link HeaderNames#OUTCOME}, {@code Retry-After} in whole seconds rounded up if the
 * error has a retry delay, and a JSON body with the fields {@code outcome},
 * {@code error}, {@code message} and, with {@code Retry-After}, {@code retryAfterMillis}.
 * <p>
 * Thread-safe.
 */
public final class ErrorReply {

	private ErrorReply() {
	}

	/**
	 * Returns the response for a failure.
	 * @param failure the failure; wrappers of asynchronous operations are removed
	 * @return the response, not null
	 */
	public static HttpReply of(Throwable failure) {
		DispatchException error = toDispatchException(failure);
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put(HeaderNames.OUTCOME, error.outcome().text());
		headers.put("content-type", "application/json");
		if (error.retryAfterNanos() > 0) {
			headers.put("retry-after", Long.toString(retryAfterSeconds(error.retryAfterNanos())));
		}
		return new HttpReply(error.kind().httpStatus(), headers,
				fields(error).toString().getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns the fields of the JSON body, for responses that carry more than the error.
	 * @param error the error, not null
	 * @return a new object, not null
	 */
	public static ObjectNode fields(DispatchException error) {
		ObjectNode fields = JsonNodeFactory.instance.objectNode();
		fields.put("outcome", error.outcome().text());
		fields.put("error", error.kind().name());
		fields.put("message", error.getMessage());
		if (error.retryAfterNanos() > 0) {
			fields.put("retryAfterMillis", roundUp(error.retryAfterNanos(), TimeUnit.MILLISECONDS));
		}
		return fields;
	}

	/**
	 * Returns the value of {@code Retry-After}.
	 * @param nanos the time to wait, in nanoseconds, positive
	 * @return the time in whole seconds, rounded up
	 */
	public static long retryAfterSeconds(long nanos) {
		return roundUp(nanos, TimeUnit.SECONDS);
	}

	/**
	 * Returns the error that a failed asynchronous operation carries.
	 * @param failure the failure, possibly wrapped
	 * @return the error; for failures that are not a {@link DispatchException} an
	 * {@link ErrorKind#INTERNAL} with outcome {@link Outcome#UNKNOWN}, since the work may
	 * have started
	 */
	public static DispatchException toDispatchException(Throwable failure) {
		Throwable cause = failure;
		while ((cause instanceof CompletionException || cause instanceof ExecutionException)
				&& cause.getCause() != null) {
			cause = cause.getCause();
		}
		if (cause instanceof DispatchException error) {
			return error;
		}
		return DispatchException.of(ErrorKind.INTERNAL, Outcome.UNKNOWN, "unexpected failure: " + cause);
	}

	private static long roundUp(long nanos, TimeUnit unit) {
		long unitNanos = unit.toNanos(1);
		return nanos / unitNanos + ((nanos % unitNanos == 0) ? 0 : 1);
	}

}
