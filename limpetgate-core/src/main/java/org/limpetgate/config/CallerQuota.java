package org.limpetgate.config;

import java.util.Objects;

import org.limpetgate.CallerId;

/**
 * The limits of one caller in one pool at one entry host.
 *
 * @param caller the caller
 * @param weight the share of the capacity relative to other callers, at least 1
 * @param queueTasks the most tasks of the caller that wait, at least 1
 * @param inFlight the most attempts of the caller that run at the same time, at least 1
 */
public record CallerQuota(CallerId caller, int weight, int queueTasks, int inFlight) {

	/** Default share relative to other callers. */
	public static final int DEFAULT_WEIGHT = 1;

	/** Default bound on the waiting tasks of a caller. */
	public static final int DEFAULT_QUEUE_TASKS = 10_000;

	/** Default bound on the attempts of a caller in flight. */
	public static final int DEFAULT_IN_FLIGHT = 10_000;

	public CallerQuota {
		Objects.requireNonNull(caller, "caller");
		if (weight < 1 || queueTasks < 1 || inFlight < 1) {
			throw new IllegalArgumentException("weight, queueTasks and inFlight of a quota must be at least 1");
		}
	}

	/**
	 * Returns the quota of a caller that has no row of its own.
	 * @param caller the caller, not null
	 * @return the quota, not null
	 */
	public static CallerQuota ofDefaults(CallerId caller) {
		return new CallerQuota(caller, DEFAULT_WEIGHT, DEFAULT_QUEUE_TASKS, DEFAULT_IN_FLIGHT);
	}

}
