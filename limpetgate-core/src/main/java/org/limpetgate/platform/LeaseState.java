package org.limpetgate.platform;

import org.limpetgate.Outcome;

/**
 * What a worker knows about a lease.
 */
public enum LeaseState {

	/** The task is running. */
	RUNNING("running", Outcome.UNKNOWN),

	/** The task ended and its answer is at hand. */
	COMPLETE("complete", Outcome.COMPLETE),

	/** The task ran and failed. */
	FAILED("failed", Outcome.FAILED),

	/** The task was stopped after it had begun, on request or at its deadline. */
	STOPPED("stopped", Outcome.FAILED),

	/** The lease lapsed and the worker stopped the task. */
	LAPSED("lapsed", Outcome.UNKNOWN),

	/** The task did not start, and the worker will refuse to start it. */
	TOMBSTONE("tombstone", Outcome.NOT_RUN),

	/**
	 * The worker has no record of the lease and no proof either: a start may be on its
	 * way, or may have happened before the worker restarted or forgot it.
	 */
	UNSEEN("unseen", Outcome.UNKNOWN);

	private final String text;

	private final Outcome outcome;

	LeaseState(String text, Outcome outcome) {
		this.text = text;
		this.outcome = outcome;
	}

	/**
	 * Returns the form used in headers.
	 * @return the text, not null
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Returns what the state says about the execution of the task.
	 * @return the outcome, not null
	 */
	public Outcome outcome() {
		return this.outcome;
	}

	/**
	 * Tests whether the state is final.
	 * @return false if running or not seen
	 */
	public boolean isEnded() {
		return this != RUNNING && this != UNSEEN;
	}

	/**
	 * Parses the form used in headers.
	 * @param text the text
	 * @return the state, not null
	 * @throws IllegalArgumentException if no state has this text
	 */
	public static LeaseState parse(String text) {
		for (LeaseState state : values()) {
			if (state.text.equals(text)) {
				return state;
			}
		}
		throw new IllegalArgumentException("'" + text + "' is not a lease state");
	}

}
