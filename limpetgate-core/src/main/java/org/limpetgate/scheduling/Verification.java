package org.limpetgate.scheduling;

/** Tests whether the workers have reported their runs since a given time. */
interface Verification {

	/**
	 * Tests whether every worker of the fleet has listed all of its runs and ends since a
	 * poll that was sent at or after a time.
	 * @param sinceNanos the time, nanoseconds since the Unix epoch
	 * @param nowNanos the current time
	 * @return true if each has, under a token that fences earlier owners
	 */
	boolean areAllVerified(long sinceNanos, long nowNanos);

	/**
	 * Tests whether every worker that earlier schedulers may have used has listed its
	 * present runs since a poll that was sent at or after a time, but perhaps not all of
	 * its ends.
	 * @param sinceNanos the time, nanoseconds since the Unix epoch
	 * @param earlierListNanos when all workers that the earlier schedulers used were
	 * listed, nanoseconds since the Unix epoch
	 * @param nowNanos the current time
	 * @return true if each has, under a token that fences earlier owners
	 */
	boolean areRunsVerified(long sinceNanos, long earlierListNanos, long nowNanos);

	/**
	 * Tests whether a worker may have ends that its reports do not list yet. However long
	 * that takes, these ends count.
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return true if one may
	 */
	boolean mayHaveUnreadEnds(long nowNanos);

	/**
	 * Tests whether every worker in a list that was read at or after a time, and every
	 * other one that this scheduler keeps track of, has answered a poll that was sent at
	 * or after that time, except workers that left the list so long ago that their leases
	 * have expired.
	 * @param sinceNanos the time, nanoseconds since the Unix epoch
	 * @param nowNanos the current time
	 * @return true if each has
	 */
	boolean areRemainingVerified(long sinceNanos, long nowNanos);

}
