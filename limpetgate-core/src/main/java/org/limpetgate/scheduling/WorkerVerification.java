package org.limpetgate.scheduling;

/** Tells whether all runs on all workers are known. */
interface WorkerVerification {

	/**
	 * Tests whether every worker of the fleet has shown its runs since a time.
	 * @param sinceNanos the time
	 * @param nowNanos the present time
	 * @return true if each has, under a token that fences earlier owners
	 */
	boolean areAllVerified(long sinceNanos, long nowNanos);

	/**
	 * Tests whether every worker that is not taken for gone has shown its runs since a
	 * time.
	 * @param sinceNanos the time
	 * @param nowNanos the present time
	 * @return true if each has
	 */
	boolean areRemainingVerified(long sinceNanos, long nowNanos);

}
