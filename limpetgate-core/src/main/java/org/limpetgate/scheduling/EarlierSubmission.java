package org.limpetgate.scheduling;

/**
 * What a host knows of earlier submissions of a job that it submits to a scheduler.
 * <p>
 * Immutable and thread-safe.
 *
 * @param mayHaveRun whether another scheduler may have started tasks of the job
 * @param heldNanos how much longer that scheduler may start tasks and renew their leases
 * without having learned that it lost the job, in nanoseconds, at least 0
 */
public record EarlierSubmission(boolean mayHaveRun, long heldNanos) {

	/** No scheduler can have received the job before. */
	public static final EarlierSubmission NONE = new EarlierSubmission(false, 0);

	public EarlierSubmission {
		if (heldNanos < 0) {
			throw new IllegalArgumentException("heldNanos is negative: " + heldNanos);
		}
	}

	/**
	 * Returns an earlier submission whose tasks may have started.
	 * @param nanos how much longer the earlier scheduler may act on the job, in
	 * nanoseconds, at least 0
	 * @return the submission, not null
	 */
	public static EarlierSubmission heldFor(long nanos) {
		return new EarlierSubmission(true, nanos);
	}

}
