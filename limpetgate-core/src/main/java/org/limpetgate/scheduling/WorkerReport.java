package org.limpetgate.scheduling;

import java.util.List;

/**
 * The answer of a worker to a poll: its present and ended runs.
 * <p>
 * Immutable and thread-safe.
 *
 * @param incarnationMillis the start of the answering incarnation, in milliseconds since
 * the Unix epoch, or 0 if unknown
 * @param clockMillis the worker's clock, in milliseconds
 * @param running the runs that are present
 * @param ended the ended runs that are not acknowledged yet, in the order of their
 * sequence numbers
 * @param endsComplete whether these are all of them; otherwise the absence of an end
 * proves nothing, and the others are listed once these are acknowledged
 */
public record WorkerReport(long incarnationMillis, long clockMillis, List<Running> running, List<Ended> ended,
		boolean endsComplete) {

	public WorkerReport {
		running = List.copyOf(running);
		ended = List.copyOf(ended);
	}

	/**
	 * Creates a report that lists all ends.
	 * @param incarnationMillis the start of the answering incarnation, in milliseconds
	 * since the Unix epoch, or 0 if unknown
	 * @param clockMillis the worker's clock, in milliseconds
	 * @param running the runs that are present
	 * @param ended the ended runs that are not acknowledged yet, in the order of their
	 * sequence numbers
	 */
	public WorkerReport(long incarnationMillis, long clockMillis, List<Running> running, List<Ended> ended) {
		this(incarnationMillis, clockMillis, running, ended, true);
	}

	/**
	 * A run that is present.
	 *
	 * @param run the run
	 * @param percent its progress in percent, 0 to 100
	 * @param checkpoint its last checkpoint, empty if there is none
	 */
	public record Running(RunId run, int percent, String checkpoint) {

	}

	/**
	 * A run that ended.
	 *
	 * @param number the sequence number of the end within the incarnation of the worker
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
		LEASE_EXPIRED,
		/** The run was ended because another member of its gang ended. */
		GANG_MEMBER_ENDED,
		/**
		 * The run was ended because the other members of its gang did not start in time.
		 */
		GANG_INCOMPLETE

	}

}
