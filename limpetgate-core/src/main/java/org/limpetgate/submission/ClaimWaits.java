package org.limpetgate.submission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The requests that wait for the claims of their jobs.
 * <p>
 * All wait equally long, so their order of arrival is that of their deadlines. Not
 * thread-safe.
 */
final class ClaimWaits {

	private final Map<Long, ClaimWait> waits = new LinkedHashMap<>();

	void add(ClaimWait wait) {
		this.waits.put(wait.waiter.request(), wait);
	}

	// Returns null if the request does not wait.
	ClaimWait remove(long request) {
		return this.waits.remove(request);
	}

	// Removes a wait whose deadline has come; returns null if there is none.
	ClaimWait removeDue(long nowNanos) {
		if (nextDeadlineNanos() > nowNanos) {
			return null;
		}
		return remove(this.waits.keySet().iterator().next());
	}

	long nextDeadlineNanos() {
		return this.waits.isEmpty() ? Long.MAX_VALUE : this.waits.values().iterator().next().deadlineNanos;
	}

	int size() {
		return this.waits.size();
	}

	/**
	 * A request that waits for a claim.
	 *
	 * @param deadlineNanos when it is answered without the claim
	 * @param job the job
	 * @param waiter the request
	 */
	record ClaimWait(long deadlineNanos, Job job, Waiter waiter) {
	}

}
