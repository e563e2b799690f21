package org.limpetgate;

import java.util.Objects;

/**
 * An error with its kind and the outcome of the task or request that it concerns.
 * <p>
 * Asynchronous operations complete their {@code CompletableFuture} exceptionally with it.
 * It has no stack trace, since refusals under overload must be cheap.
 * <p>
 * Immutable and thread-safe.
 */
public final class DispatchException extends RuntimeException {

	private final ErrorKind kind;

	private final Outcome outcome;

	private final long retryAfterNanos;

	private DispatchException(ErrorKind kind, Outcome outcome, String detail, long retryAfterNanos) {
		super(detail + "; " + kind.remedy(), null, false, false);
		this.kind = Objects.requireNonNull(kind, "kind");
		this.outcome = Objects.requireNonNull(outcome, "outcome");
		this.retryAfterNanos = retryAfterNanos;
	}

	/**
	 * Returns an error without a retry delay.
	 * @param kind the kind, not null
	 * @param outcome what is known about the execution of the task or request, not null
	 * @param detail the cause, to which the remedy of the kind is appended, not null
	 * @return the error, not null
	 */
	public static DispatchException of(ErrorKind kind, Outcome outcome, String detail) {
		return new DispatchException(kind, outcome, detail, 0);
	}

	/**
	 * Returns an error that tells the caller when to retry.
	 * @param kind the kind, not null
	 * @param outcome what is known about the execution of the task or request, not null
	 * @param detail the cause, to which the remedy of the kind is appended, not null
	 * @param retryAfterNanos the delay before the retry, in nanoseconds, positive
	 * @return the error, not null
	 */
	public static DispatchException withRetryAfter(ErrorKind kind, Outcome outcome, String detail,
			long retryAfterNanos) {
		return new DispatchException(kind, outcome, detail, retryAfterNanos);
	}

	/**
	 * Returns the kind.
	 * @return the kind, not null
	 */
	public ErrorKind kind() {
		return this.kind;
	}

	/**
	 * Returns what is known about the execution of the task or request.
	 * @return the outcome, not null
	 */
	public Outcome outcome() {
		return this.outcome;
	}

	/**
	 * Returns the delay before the caller may retry.
	 * @return the delay in nanoseconds, 0 for none
	 */
	public long retryAfterNanos() {
		return this.retryAfterNanos;
	}

}
