package org.limpetgate.scheduling;

import java.util.List;

/**
 * Decides which jobs are refused because capacity is short. Stored jobs, jobs of which a
 * task has started, and jobs that an earlier scheduler may have started are never
 * refused.
 */
interface RefusalRule {

	/**
	 * Decides whether a job that has just been submitted is refused. Its times are set.
	 * @param job the job, not stored and not submitted before
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return the refusal, or null if the job may wait
	 */
	Refusal onSubmission(JobEntity job, long nowNanos);

	/**
	 * Decides whether a waiting job that has passed its latest start is refused.
	 * @param job the job
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return the refusal, or null if the job may wait
	 */
	Refusal onLateness(JobEntity job, long nowNanos);

	/**
	 * Returns the waiting jobs to refuse after a placement pass.
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return the refusals, the job that would be served first at the front
	 */
	List<Refusal> afterPlacement(long nowNanos);

	/**
	 * Returns when {@link #afterPlacement} must be called again at the latest.
	 * @return the time, nanoseconds since the Unix epoch, {@link Long#MAX_VALUE} if no
	 * call is needed
	 */
	long nextCheckNanos();

	/**
	 * The refusal of a job.
	 *
	 * @param job the job
	 * @param message the reason, for its caller
	 * @param retryAfterNanos the delay before the caller should retry, in nanoseconds
	 */
	record Refusal(JobEntity job, String message, long retryAfterNanos) {

	}

}
