package org.limpetgate.dispatch;

/**
 * The limits of one caller at one entry host.
 *
 * @param weight the share of the capacity relative to other callers, at least 1
 * @param queueTasks the most tasks of the caller that wait in one pool
 * @param inFlight the most attempts of the caller that run at the same time in one pool
 */
public record CallerQuota(int weight, int queueTasks, int inFlight) {

	/** The quota of callers that have none of their own. */
	public static final CallerQuota DEFAULT = new CallerQuota(1, 10_000, 10_000);

	public CallerQuota {
		if (weight < 1 || queueTasks < 1 || inFlight < 1) {
			throw new IllegalArgumentException("weight, queueTasks and inFlight of a quota must be at least 1");
		}
	}

}
