package org.limpetgate.submission;

import java.util.Objects;

import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;

/**
 * How a task of a job ended.
 *
 * @param outcome what is known about the execution
 * @param status the status of the upstream's answer, 0 if there is none
 * @param body the body of the upstream's answer, possibly empty; not to be modified
 * @param error the reason, null if complete
 * @param detail what went wrong, empty if complete
 * @param retryAfterNanos the time after which the caller may come back in nanoseconds, 0
 * if there is none
 */
public record TaskResult(Outcome outcome, int status, byte[] body, ErrorKind error, String detail,
		long retryAfterNanos) {

	private static final byte[] NO_BYTES = {};

	public TaskResult {
		Objects.requireNonNull(outcome, "outcome");
		Objects.requireNonNull(body, "body");
		Objects.requireNonNull(detail, "detail");
		if ((outcome == Outcome.COMPLETE) != (error == null)) {
			throw new IllegalArgumentException("a result has an error exactly if it is not complete");
		}
	}

	/**
	 * Returns the result of a complete task.
	 * @param status the status
	 * @param body the body, not null
	 * @return the result, not null
	 */
	public static TaskResult complete(int status, byte[] body) {
		return new TaskResult(Outcome.COMPLETE, status, body, null, "", 0);
	}

	/**
	 * Returns the result of a task that is not complete.
	 * @param outcome the outcome, not {@link Outcome#COMPLETE}
	 * @param error the reason, not null
	 * @param detail what went wrong, not null
	 * @param retryAfterNanos the time to come back in nanoseconds, 0 if there is none
	 * @return the result, not null
	 */
	public static TaskResult ended(Outcome outcome, ErrorKind error, String detail, long retryAfterNanos) {
		return new TaskResult(outcome, 0, NO_BYTES, error, detail, retryAfterNanos);
	}

}
