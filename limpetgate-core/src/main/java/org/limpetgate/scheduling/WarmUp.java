package org.limpetgate.scheduling;

/**
 * How long a worker is still slow after its start, and how much load it may have until
 * then. Confined to the thread of the scheduler.
 */
final class WarmUp {

	/** The number of steps in which the load of a cold worker rises. */
	private static final int LOAD_STEPS = 4;

	/** Until when it is slow, nanoseconds since the Unix epoch, 0 if it is not. */
	private long untilNanos;

	/** The longest remaining time that was read since it is cold, in nanoseconds. */
	private long periodNanos;

	/**
	 * Applies the remaining time that an entry of the worker tells.
	 * @param remainingNanos the time in nanoseconds, 0 if it is not cold
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 */
	void read(long remainingNanos, long nowNanos) {
		if (remainingNanos > 0 && !isCold(nowNanos)) {
			this.periodNanos = 0;
		}
		this.periodNanos = Math.max(this.periodNanos, remainingNanos);
		this.untilNanos = (remainingNanos > 0) ? nowNanos + remainingNanos : 0;
	}

	void end() {
		this.untilNanos = 0;
	}

	boolean isCold(long nowNanos) {
		return nowNanos < this.untilNanos;
	}

	/**
	 * Returns the load that a cold worker may have, which rises by a quarter of its
	 * capacity with each quarter of the cold time that has passed.
	 * @param capacityCpuMillis its capacity, in thousandths of a core
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return the load in thousandths of a core
	 */
	long loadLimit(long capacityCpuMillis, long nowNanos) {
		long remainingNanos = this.untilNanos - nowNanos;
		long steps = 1 + LOAD_STEPS * (this.periodNanos - remainingNanos) / this.periodNanos;
		return capacityCpuMillis * steps / LOAD_STEPS;
	}

}
