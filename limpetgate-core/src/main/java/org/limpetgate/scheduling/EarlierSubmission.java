package org.limpetgate.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * What a host knows of earlier submissions of a job that it submits to a scheduler.
 * <p>
 * Immutable and thread-safe.
 *
 * @param mayHaveRun whether another scheduler may have started tasks of the job
 * @param heldNanos how much longer that scheduler may start tasks and renew their leases
 * without having learned that it lost the job, in nanoseconds, at least 0
 * @param listAgeNanos how long ago at most all workers that it used were listed, in
 * nanoseconds, at least 0, {@link #UNKNOWN_AGE} if that is not known
 */
public record EarlierSubmission(boolean mayHaveRun, long heldNanos, long listAgeNanos) {

	/** The age if nothing is known. */
	public static final long UNKNOWN_AGE = TimeUnit.DAYS.toNanos(1);

	/** No scheduler can have received the job before. */
	public static final EarlierSubmission NONE = new EarlierSubmission(false, 0, 0);

	public EarlierSubmission {
		if (heldNanos < 0 || listAgeNanos < 0) {
			throw new IllegalArgumentException(
					"a time is negative: heldNanos " + heldNanos + ", listAgeNanos " + listAgeNanos);
		}
	}

	/**
	 * Returns an earlier submission whose tasks may have started, to a scheduler whose
	 * workers are all listed.
	 * @param nanos how much longer the earlier scheduler may act on the job, in
	 * nanoseconds, at least 0
	 * @return the submission, not null
	 */
	public static EarlierSubmission heldFor(long nanos) {
		return new EarlierSubmission(true, nanos, 0);
	}

	/**
	 * Returns a copy for a scheduler that used workers which may have left the list.
	 * @param nanos how long ago at most all of them were listed, in nanoseconds, at least
	 * 0
	 * @return the copy, not null
	 */
	public EarlierSubmission withListAge(long nanos) {
		return new EarlierSubmission(this.mayHaveRun, this.heldNanos, Math.min(nanos, UNKNOWN_AGE));
	}

}
