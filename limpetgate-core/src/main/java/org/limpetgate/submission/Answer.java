package org.limpetgate.submission;

import java.util.List;
import java.util.Objects;

import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;

/**
 * The reply to a submission, a query or a cancellation.
 * <p>
 * A complete answer contains the result of every task. An answer that is neither complete
 * nor an error means that the job has been accepted and has not ended. Immutable and
 * thread-safe.
 */
public final class Answer {

	private static final long OVERHEAD_BYTES = 64;

	private final Outcome outcome;

	private final ErrorKind error;

	private final String message;

	private final long retryAfterNanos;

	private final List<TaskAnswer> tasks;

	private Answer(Outcome outcome, ErrorKind error, String message, long retryAfterNanos, List<TaskAnswer> tasks) {
		this.outcome = Objects.requireNonNull(outcome, "outcome");
		this.error = error;
		this.message = Objects.requireNonNull(message, "message");
		this.retryAfterNanos = retryAfterNanos;
		this.tasks = List.copyOf(tasks);
	}

	/**
	 * Returns the answer of a complete job.
	 * @param tasks the results of all tasks, not null
	 * @return the answer, not null
	 */
	public static Answer complete(List<TaskAnswer> tasks) {
		return new Answer(Outcome.COMPLETE, null, "", 0, tasks);
	}

	/**
	 * Returns the answer for a job that has been accepted and has not ended.
	 * @param message how to collect the result, not null
	 * @return the answer, not null
	 */
	public static Answer accepted(String message) {
		return new Answer(Outcome.UNKNOWN, null, message, 0, List.of());
	}

	/**
	 * Returns an error.
	 * @param outcome what is known about the execution, not {@link Outcome#COMPLETE}
	 * @param error the kind of the error, not null
	 * @param message the cause and the remedy, not null
	 * @param retryAfterNanos the delay before a retry in nanoseconds, 0 for none
	 * @param tasks the outcomes of the tasks, empty if none was started
	 * @return the answer, not null
	 */
	public static Answer error(Outcome outcome, ErrorKind error, String message, long retryAfterNanos,
			List<TaskAnswer> tasks) {
		Objects.requireNonNull(error, "error");
		return new Answer(outcome, error, message, retryAfterNanos, tasks);
	}

	/**
	 * Returns an error without task outcomes whose message ends with the remedy of its
	 * kind.
	 * @param outcome what is known about the execution, not null
	 * @param error the kind of the error, not null
	 * @param detail the cause, not null
	 * @param retryAfterNanos the delay before a retry in nanoseconds, 0 for none
	 * @return the answer, not null
	 */
	public static Answer refusal(Outcome outcome, ErrorKind error, String detail, long retryAfterNanos) {
		return error(outcome, error, detail + "; " + error.remedy(), retryAfterNanos, List.of());
	}

	/**
	 * Returns this answer with another outcome.
	 * @param other the outcome, not null
	 * @return the answer, not null
	 */
	public Answer withOutcome(Outcome other) {
		return (this.outcome == other) ? this
				: new Answer(other, this.error, this.message, this.retryAfterNanos, this.tasks);
	}

	/**
	 * Returns what is known about the execution.
	 * @return the outcome, not null
	 */
	public Outcome outcome() {
		return this.outcome;
	}

	/**
	 * Returns the kind of the error.
	 * @return the kind, null if the job is complete or has not ended
	 */
	public ErrorKind error() {
		return this.error;
	}

	/**
	 * Returns the cause and the remedy of an error, or how to collect the result of an
	 * accepted job.
	 * @return the message, empty if complete
	 */
	public String message() {
		return this.message;
	}

	/**
	 * Returns the delay before the caller may retry.
	 * @return the delay in nanoseconds, 0 for none
	 */
	public long retryAfterNanos() {
		return this.retryAfterNanos;
	}

	/**
	 * Returns the results of the tasks in the order of the submission.
	 * @return the results, empty if no task was started, not modifiable
	 */
	public List<TaskAnswer> tasks() {
		return this.tasks;
	}

	/**
	 * Tests whether the job has been accepted and has not ended.
	 * @return true if the answer is neither complete nor an error
	 */
	public boolean isAccepted() {
		return this.error == null && this.outcome == Outcome.UNKNOWN;
	}

	/**
	 * Returns the status code of the HTTP response.
	 * @return 200, 202 or the status code of the error
	 */
	public int httpStatus() {
		if (this.error != null) {
			return this.error.httpStatus();
		}
		return isAccepted() ? 202 : 200;
	}

	/**
	 * Returns an estimate of the memory that the answer occupies.
	 * @return the size in bytes
	 */
	public long sizeBytes() {
		long bytes = OVERHEAD_BYTES + this.message.length();
		for (TaskAnswer task : this.tasks) {
			bytes += OVERHEAD_BYTES + task.id().length() + task.result().body().length
					+ task.result().detail().length();
		}
		return bytes;
	}

}
