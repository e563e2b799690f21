package org.limpetgate.scheduling;

import java.util.List;

/**
 * The order in which waiting jobs get room.
 */
interface QueueOrder {

	/**
	 * Takes note of the work that a queue is asked for.
	 * @param job the job that has arrived
	 * @param work its work, in core nanoseconds
	 * @param nowNanos the present time, nanoseconds since the Unix epoch
	 */
	void jobArrived(JobEntity job, double work, long nowNanos);

	/**
	 * Sorts waiting jobs, the one that gets room first at the front.
	 * @param jobs the jobs, sorted in place
	 * @param nowNanos the present time, nanoseconds since the Unix epoch
	 */
	void sort(List<JobEntity> jobs, long nowNanos);

}
