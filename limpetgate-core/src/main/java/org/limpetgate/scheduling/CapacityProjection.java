package org.limpetgate.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * Projects when waiting tasks start, from the expected releases of processor capacity.
 * <p>
 * First all capacity is added, then the waiting jobs take it in queue order. A job starts
 * its tasks as capacity is released, and releases it again after the expected duration of
 * its tasks. No job starts a task before the jobs that took capacity earlier have started
 * theirs. Releases after the horizon are not considered; a start that is not reached
 * until then is projected for the horizon, which is a lower bound.
 * <p>
 * The time of all calls together is proportional to jobs, releases and buckets, plus
 * buckets for each job that is projected but takes nothing. Not thread-safe.
 */
final class CapacityProjection {

	/** The width of a bucket. */
	static final long BUCKET_NANOS = TimeUnit.MILLISECONDS.toNanos(4);

	/** The number of buckets; bounds the time of a projection and sets the horizon. */
	private static final int BUCKETS = 1000;

	/** The time until the horizon. */
	static final long HORIZON_NANOS = BUCKETS * BUCKET_NANOS;

	private final long startNanos;

	/** The capacity released in each bucket, in thousandths of a core. */
	private final long[] released = new long[BUCKETS];

	/** Starts by bucket of the job that is projected, valid from the cursor on. */
	private final int[] ownStarts = new int[BUCKETS];

	/** The first bucket in which the next job may start a task. */
	private int cursor;

	/** Capacity released up to the cursor that no task has taken. */
	private long available;

	/** The work that was taken, in thousandths of a core times nanoseconds. */
	private double workTaken;

	CapacityProjection(long nowNanos) {
		this.startNanos = nowNanos;
	}

	/**
	 * Adds capacity.
	 * @param cpuMillis the capacity, in thousandths of a core
	 * @param atNanos when it is released, nanoseconds since the Unix epoch; a time that
	 * has passed counts as now
	 */
	void add(long cpuMillis, long atNanos) {
		int bucket = bucketOf(atNanos);
		if (bucket == 0) {
			this.available += cpuMillis;
		}
		else if (bucket < BUCKETS) {
			this.released[bucket] += cpuMillis;
		}
	}

	/**
	 * Adds the capacity that a run releases at its end.
	 * @param cpuMillis the capacity, in thousandths of a core
	 * @param expectedNanos the expected duration of the run, in nanoseconds
	 * @param ageNanos the time since its start, in nanoseconds
	 */
	void addRun(int cpuMillis, double expectedNanos, long ageNanos) {
		for (int quantile = 0; quantile < RemainingTime.QUANTILES; quantile++) {
			long share = (long) cpuMillis * (quantile + 1) / RemainingTime.QUANTILES
					- (long) cpuMillis * quantile / RemainingTime.QUANTILES;
			add(share, this.startNanos + RemainingTime.quantileNanos(expectedNanos, ageNanos, quantile));
		}
	}

	/**
	 * Projects the start of the last task of the next job in queue order.
	 * @param cpuMillis the demand of each task, in thousandths of a core
	 * @param tasks the number of tasks, at least 1
	 * @param durationNanos the expected duration of each task, in nanoseconds
	 * @return the start, nanoseconds since the Unix epoch
	 */
	long lastStartNanos(int cpuMillis, int tasks, double durationNanos) {
		int durationBuckets = durationBuckets(durationNanos);
		int bucket = this.cursor;
		int remaining = tasks;
		long free = this.available;
		while (true) {
			int starts = starts(cpuMillis, remaining, free);
			remaining -= starts;
			if (remaining == 0 || bucket == BUCKETS - 1) {
				break;
			}
			free -= (long) starts * cpuMillis;
			this.ownStarts[bucket] = starts;
			bucket++;
			free += this.released[bucket];
			// Tasks of the job that end in the meantime make room for its further ones.
			if (bucket - durationBuckets >= this.cursor) {
				free += (long) this.ownStarts[bucket - durationBuckets] * cpuMillis;
			}
		}
		return this.startNanos + ((remaining == 0) ? bucket : BUCKETS) * BUCKET_NANOS;
	}

	/**
	 * Lets the next job in queue order take capacity for its waiting tasks.
	 * @param cpuMillis the demand of each task, in thousandths of a core
	 * @param tasks the number of tasks, at least 1
	 * @param durationNanos the expected duration of each task, in nanoseconds
	 */
	void take(int cpuMillis, int tasks, double durationNanos) {
		int durationBuckets = durationBuckets(durationNanos);
		this.workTaken += cpuMillis * durationNanos * tasks;
		int remaining = tasks;
		while (true) {
			int starts = starts(cpuMillis, remaining, this.available);
			remaining -= starts;
			this.available -= (long) starts * cpuMillis;
			if (this.cursor + durationBuckets < BUCKETS) {
				this.released[this.cursor + durationBuckets] += (long) starts * cpuMillis;
			}
			if (remaining == 0 || this.cursor == BUCKETS - 1) {
				return;
			}
			this.cursor++;
			this.available += this.released[this.cursor];
		}
	}

	private static int durationBuckets(double durationNanos) {
		return (int) Math.max(1, Math.min(BUCKETS, Math.round(durationNanos / BUCKET_NANOS)));
	}

	private static int starts(int cpuMillis, int tasks, long free) {
		return (cpuMillis <= 0) ? tasks : (int) Math.min(tasks, Math.max(0, free) / cpuMillis);
	}

	private int bucketOf(long timeNanos) {
		return (int) Math.min(BUCKETS, Math.max(0, timeNanos - this.startNanos) / BUCKET_NANOS);
	}

	/**
	 * Returns the work of the jobs that have taken capacity.
	 * @return the work, in thousandths of a core times nanoseconds
	 */
	double workTaken() {
		return this.workTaken;
	}

}
