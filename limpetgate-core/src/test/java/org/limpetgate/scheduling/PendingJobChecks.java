package org.limpetgate.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.limpetgate.JobId;

/**
 * Checks that a scheduler gives as pending at least half of the stored jobs of which no
 * run has begun on any worker. Not thread-safe.
 */
final class PendingJobChecks {

	/** Jobs that were accepted more recently may be left out: visible_ms and 2 s. */
	private static final long VISIBLE_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final Set<JobId> begun = new HashSet<>();

	/** When the jobs that have not begun were accepted, nanoseconds since the epoch. */
	private final Map<JobId, Long> waitingSinceNanos = new HashMap<>();

	void accepted(JobId job, long nowNanos) {
		if (!this.begun.contains(job)) {
			this.waitingSinceNanos.putIfAbsent(job, nowNanos);
		}
	}

	// Records that a worker has begun a run of a job.
	void begun(JobId job) {
		this.begun.add(job);
		this.waitingSinceNanos.remove(job);
	}

	/**
	 * Compares the number of pending jobs that a scheduler gives with those that wait.
	 * @param given the number
	 * @param nowNanos the current time
	 * @return what is wrong, null if nothing is
	 */
	String violation(int given, long nowNanos) {
		long waiting = this.waitingSinceNanos.values()
			.stream()
			.filter((since) -> nowNanos - since > VISIBLE_NANOS)
			.count();
		return (2L * given < waiting) ? "MIXED: " + given + " jobs are given as pending; " + waiting + " wait" : null;
	}

}
