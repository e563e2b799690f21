package org.limpetgate;

import java.util.Objects;

/**
 * An error of a known kind, with the outcome of the work that it concerns.
 * <p>
 * Asynchronous operations fail their {@code CompletableFuture} with it. It carries no
 * stack trace, since refusals under overload must be cheap.
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
	 * Returns an error without a time to come back.
	 * @param kind the kind, not null
	 * @param outcome what is known about the execution of the work, not null
	 * @param detail what went wrong, not null
	 * @return the error, not null
	 */
	public static DispatchException of(ErrorKind kind, Outcome outcome, String detail) {
		return new DispatchException(kind, outcome, detail, 0);
	}

	/**
	 * Returns an error that tells the caller when to come back.
	 * @param kind the kind, not null
	 * @param outcome what is known about the execution of the work, not null
	 * @param detail what went wrong, not null
	 * @param retryAfterNanos the time to wait, in nanoseconds, positive
	 * @return the error, not null
	 */
	public static DispatchException retryLater(ErrorKind kind, Outcome outcome, String detail, long retryAfterNanos) {
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
	 * Returns what is known about the execution of the work.
	 * @return the outcome, not null
	 */
	public Outcome outcome() {
		return this.outcome;
	}

	/**
	 * Returns the time after which the caller may come back.
	 * @return the time in nanoseconds, 0 if there is none
	 */
	public long retryAfterNanos() {
		return this.retryAfterNanos;
	}

}
