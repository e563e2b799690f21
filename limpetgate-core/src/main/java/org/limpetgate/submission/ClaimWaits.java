package org.limpetgate.submission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The requests that are waiting for the claims of their jobs.
 * <p>
 * All requests have the same timeout, so insertion order is deadline order. Not
 * thread-safe.
 */
final class ClaimWaits {

	private final Map<Long, ClaimWait> waits = new LinkedHashMap<>();

	void add(ClaimWait wait) {
		this.waits.put(wait.waiter.request(), wait);
	}

	// Returns null if the request is not waiting.
	ClaimWait remove(long request) {
		return this.waits.remove(request);
	}

	// Removes the first wait if its deadline has passed; otherwise returns null.
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
	 * A request that is waiting for a claim.
	 *
	 * @param deadlineNanos the time at which it times out, in nanoseconds since the Unix
	 * epoch
	 * @param job the job
	 * @param waiter the request
	 */
	record ClaimWait(long deadlineNanos, Job job, Waiter waiter) {
	}

}
