package org.limpetgate.scheduling;

/**
 * The cost for the callers of a job of its end at a given time.
 */
interface EndCost {

	/**
	 * Returns the cost.
	 * @param job the job
	 * @param endNanos when it ends, nanoseconds since the Unix epoch
	 * @return the cost, 0 if the job is on time, rising with the time of the end
	 */
	double of(JobEntity job, long endNanos);

}
