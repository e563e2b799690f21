package org.limpetgate.config;

import java.util.Objects;

import org.limpetgate.CallerId;

/**
 * The limits of one caller in one pool at one entry host.
 *
 * @param caller the caller
 * @param weight the weight of the caller in fair queueing, at least 1
 * @param queueTasks the maximum number of queued tasks of the caller, at least 1
 * @param inFlight the maximum number of concurrent attempts of the caller, at least 1
 */
public record CallerQuota(CallerId caller, int weight, int queueTasks, int inFlight) {

	/** Default weight. */
	public static final int DEFAULT_WEIGHT = 1;

	/** Default limit on the queued tasks of a caller. */
	public static final int DEFAULT_QUEUE_TASKS = 10_000;

	/** Default limit on the concurrent attempts of a caller. */
	public static final int DEFAULT_IN_FLIGHT = 10_000;

	public CallerQuota {
		Objects.requireNonNull(caller, "caller");
		if (weight < 1 || queueTasks < 1 || inFlight < 1) {
			throw new IllegalArgumentException("weight, queueTasks and inFlight of a quota must be at least 1");
		}
	}

	/**
	 * Returns the default quota, for a caller without an entry in the pool.
	 * @param caller the caller, not null
	 * @return the quota, not null
	 */
	public static CallerQuota ofDefaults(CallerId caller) {
		return new CallerQuota(caller, DEFAULT_WEIGHT, DEFAULT_QUEUE_TASKS, DEFAULT_IN_FLIGHT);
	}

}
