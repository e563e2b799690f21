package org.limpetgate.platform;

import org.limpetgate.Outcome;

/**
 * The state of a lease on its worker.
 */
public enum LeaseState {

	/** The task is running. */
	RUNNING("running", Outcome.UNKNOWN),

	/** The task completed and its response is available. */
	COMPLETE("complete", Outcome.COMPLETE),

	/** The task ran and failed. */
	FAILED("failed", Outcome.FAILED),

	/** The task was stopped after it had started, on request or at its deadline. */
	STOPPED("stopped", Outcome.FAILED),

	/** The lease expired and the worker stopped the task. */
	LAPSED("lapsed", Outcome.UNKNOWN),

	/** The task has not started, and the worker will refuse to start it. */
	TOMBSTONE("tombstone", Outcome.NOT_RUN),

	/**
	 * The worker has no record of the lease, which proves nothing: a start request may be
	 * in transit, or the task may have started before the worker restarted or discarded
	 * its record.
	 */
	UNSEEN("unseen", Outcome.UNKNOWN);

	private final String text;

	private final Outcome outcome;

	LeaseState(String text, Outcome outcome) {
		this.text = text;
		this.outcome = outcome;
	}

	/**
	 * Returns the text used in headers.
	 * @return the text, not null
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Returns what the state implies about the execution of the task.
	 * @return the outcome, not null
	 */
	public Outcome outcome() {
		return this.outcome;
	}

	/**
	 * Tests whether the state is final.
	 * @return false if running or unseen
	 */
	public boolean isEnded() {
		return this != RUNNING && this != UNSEEN;
	}

	/**
	 * Parses the text used in headers.
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
