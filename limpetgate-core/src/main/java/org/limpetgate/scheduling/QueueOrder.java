package org.limpetgate.scheduling;

import java.util.List;

/**
 * The order in which waiting jobs are placed.
 */
interface QueueOrder {

	/**
	 * Records the demand that an arriving job adds to its queue.
	 * @param job the job that has arrived
	 * @param work its work, in thousandths of a core times nanoseconds
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 */
	void jobArrived(JobEntity job, double work, long nowNanos);

	/**
	 * Sorts waiting jobs, the one to place first at the front.
	 * @param jobs the jobs, sorted in place
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 */
	void sort(List<JobEntity> jobs, long nowNanos);

}
