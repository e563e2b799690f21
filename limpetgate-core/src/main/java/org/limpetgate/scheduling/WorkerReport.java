package org.limpetgate.scheduling;

import java.util.List;

/**
 * What a worker lists of its runs.
 * <p>
 * Immutable and thread-safe.
 *
 * @param bornMillis the start of the life that answers, in milliseconds since the Unix
 * epoch, or 0 if it is not told
 * @param clockMillis the worker's clock, in milliseconds
 * @param running the runs that are present
 * @param ended the runs that ended and were not acknowledged yet, in the order of their
 * numbers
 */
public record WorkerReport(long bornMillis, long clockMillis, List<Running> running, List<Ended> ended) {

	public WorkerReport {
		running = List.copyOf(running);
		ended = List.copyOf(ended);
	}

	/**
	 * A run that is present.
	 *
	 * @param run the run
	 * @param percent how much of its work is done, 0 to 100
	 * @param checkpoint its last checkpoint, empty if there is none
	 */
	public record Running(RunId run, int percent, String checkpoint) {

	}

	/**
	 * A run that ended.
	 *
	 * @param number its number in the list of the worker's life
	 * @param run the run
	 * @param kind how it ended
	 * @param checkpoint its last checkpoint, empty if there is none
	 */
	public record Ended(long number, RunId run, EndKind kind, String checkpoint) {

	}

	/** How a run ended. */
	public enum EndKind {

		/** The task is done. */
		DONE,
		/** The task or the worker failed. */
		FAILED,
		/** The run was stopped by an order. */
		STOPPED,
		/** The lease expired. */
		LAPSED,
		/** Another member of its gang ended. */
		BROKEN,
		/** The other members of its gang did not come in time. */
		ALONE

	}

}
