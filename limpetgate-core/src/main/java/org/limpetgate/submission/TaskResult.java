package org.limpetgate.submission;

import java.util.Objects;

import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;

/**
 * The result of a task of a job.
 *
 * @param outcome what is known about the execution
 * @param status the status code of the upstream's response, 0 if there is none
 * @param body the body of the upstream's response, possibly empty; not to be modified
 * @param error the kind of the error, null if complete
 * @param detail the cause of the error, empty if complete
 * @param retryAfterNanos the delay before the caller may retry in nanoseconds, 0 for none
 */
public record TaskResult(Outcome outcome, int status, byte[] body, ErrorKind error, String detail,
		long retryAfterNanos) {

	private static final byte[] NO_BYTES = {};

	public TaskResult {
		Objects.requireNonNull(outcome, "outcome");
		Objects.requireNonNull(body, "body");
		Objects.requireNonNull(detail, "detail");
		if ((outcome == Outcome.COMPLETE) != (error == null)) {
			throw new IllegalArgumentException(
					"a complete result must not have an error, and any other result must have one");
		}
	}

	/**
	 * Returns the result of a complete task.
	 * @param status the status code
	 * @param body the body, not null
	 * @return the result, not null
	 */
	public static TaskResult complete(int status, byte[] body) {
		return new TaskResult(Outcome.COMPLETE, status, body, null, "", 0);
	}

	/**
	 * Returns the result of a task that is not complete.
	 * @param outcome the outcome, not {@link Outcome#COMPLETE}
	 * @param error the kind of the error, not null
	 * @param detail the cause, not null
	 * @param retryAfterNanos the delay before a retry in nanoseconds, 0 for none
	 * @return the result, not null
	 */
	public static TaskResult incomplete(Outcome outcome, ErrorKind error, String detail, long retryAfterNanos) {
		return new TaskResult(outcome, 0, NO_BYTES, error, detail, retryAfterNanos);
	}

}
