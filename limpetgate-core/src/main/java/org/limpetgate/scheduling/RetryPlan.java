package org.limpetgate.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * Assigns times at which the callers of refused jobs should return.
 * <p>
 * Each return is later than the previous one by the time in which the spare capacity does
 * the work of the job, so that jobs return in the order in which they were refused and no
 * faster than they can be served. Returns are planned without rounding; the delay that a
 * caller is told is rounded up to whole seconds, as {@code Retry-After} requires.
 * <p>
 * Invariant: planned returns do not decrease. Not thread-safe.
 */
final class RetryPlan {

	/** The shortest delay that {@code Retry-After} can express. */
	static final long MIN_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The longest delay. The demand may fall at any time, and a caller that stays away
	 * for longer would miss capacity that is free again.
	 */
	static final long MAX_DELAY_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * The share of the capacity that is taken as spare if none is, since overload ends at
	 * some time.
	 */
	static final double MIN_SPARE_SHARE = 0.1;

	private long lastReturnNanos;

	/**
	 * Plans the return of the next refused job.
	 * @param earliestNanos when the job could be served in time if no other refused job
	 * returned before it, nanoseconds since the Unix epoch
	 * @param work its work, in thousandths of a core times nanoseconds
	 * @param spareCapacity the capacity that no other work needs, in thousandths of a
	 * core, above 0
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return the planned return, nanoseconds since the Unix epoch, not before the
	 * previous one
	 */
	long plan(long earliestNanos, double work, double spareCapacity, long nowNanos) {
		long behind = Math.max(nowNanos, Math.max(earliestNanos, this.lastReturnNanos));
		long step = (long) Math.min(MAX_DELAY_NANOS, work / spareCapacity);
		this.lastReturnNanos = Math.min(behind + step, nowNanos + MAX_DELAY_NANOS);
		return this.lastReturnNanos;
	}

	/**
	 * Returns the delay that the caller of a refused job is told.
	 * @param returnNanos the planned return, nanoseconds since the Unix epoch
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return whole seconds in nanoseconds, at least {@link #MIN_DELAY_NANOS} and at most
	 * {@link #MAX_DELAY_NANOS}
	 */
	static long delayNanos(long returnNanos, long nowNanos) {
		long second = TimeUnit.SECONDS.toNanos(1);
		long rounded = (returnNanos - nowNanos + second - 1) / second * second;
		return Math.max(MIN_DELAY_NANOS, Math.min(MAX_DELAY_NANOS, rounded));
	}

	/**
	 * Returns the capacity that no other work needs.
	 * @param capacity all usable capacity, in thousandths of a core
	 * @param demand the rate of arriving work, in thousandths of a core
	 * @return the spare capacity, in thousandths of a core
	 */
	static double spareCapacity(double capacity, double demand) {
		return Math.max(MIN_SPARE_SHARE * capacity, capacity - demand);
	}

}
