package org.limpetgate.dispatch;

import java.util.Objects;

import org.limpetgate.ErrorKind;

/**
 * The decision whether an offered task is accepted.
 * <p>
 * A refused task was not run, and the dispatcher keeps no state of it. An accepted task
 * ends with exactly one {@link DispatchEffect.TaskEnded}. Immutable and thread-safe.
 */
public final class Admission {

	private static final Admission ACCEPTED = new Admission(null, "", 0);

	private final ErrorKind error;

	private final String detail;

	private final long retryAfterNanos;

	private Admission(ErrorKind error, String detail, long retryAfterNanos) {
		this.error = error;
		this.detail = detail;
		this.retryAfterNanos = retryAfterNanos;
	}

	/**
	 * Returns an acceptance.
	 * @return the admission, not null
	 */
	public static Admission accepted() {
		return ACCEPTED;
	}

	/**
	 * Returns a refusal.
	 * @param error the reason, not null
	 * @param detail which limit was exceeded or what was missing, not null
	 * @param retryAfterNanos the time to wait before a retry in nanoseconds, 0 if a retry
	 * cannot succeed
	 * @return the admission, not null
	 */
	public static Admission refused(ErrorKind error, String detail, long retryAfterNanos) {
		return new Admission(Objects.requireNonNull(error, "error"), detail, retryAfterNanos);
	}

	/**
	 * Tests whether the task was accepted.
	 * @return true if accepted
	 */
	public boolean isAccepted() {
		return this.error == null;
	}

	/**
	 * Returns the reason of a refusal.
	 * @return the reason, null if accepted
	 */
	public ErrorKind error() {
		return this.error;
	}

	/**
	 * Returns which limit was exceeded or what was missing.
	 * @return the detail, empty if accepted
	 */
	public String detail() {
		return this.detail;
	}

	/**
	 * Returns the time to wait before a retry.
	 * @return the time in nanoseconds, 0 if accepted or if a retry cannot succeed
	 */
	public long retryAfterNanos() {
		return this.retryAfterNanos;
	}

}
