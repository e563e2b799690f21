package org.limpetgate.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Detects from the lateness of timed ticks that the event loop of a host lags too far
 * behind for the host to schedule for others.
 * <p>
 * A host becomes overloaded above one mean lateness and recovers at a much lower one, so
 * that the state does not change with each tick. Not thread-safe.
 */
public final class OverloadDetector {

	/** Mean lateness above which a host is overloaded. */
	private static final double OVERLOAD_LATENESS_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

	/** Mean lateness at or below which an overloaded host has recovered. */
	private static final double RECOVERY_LATENESS_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

	/** The weight of the newest sample in the moving average of the lateness. */
	private static final double LATENESS_WEIGHT = 0.04;

	private long expectedNanos;

	private double meanLatenessNanos;

	private boolean overloaded;

	/**
	 * Records when the next tick is due.
	 * @param dueNanos the time, nanoseconds since the Unix epoch
	 */
	public void tickScheduled(long dueNanos) {
		this.expectedNanos = dueNanos;
	}

	/**
	 * Records that the scheduled tick has begun.
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 */
	public void tickStarted(long nowNanos) {
		long latenessNanos = nowNanos - this.expectedNanos;
		this.meanLatenessNanos += (latenessNanos - this.meanLatenessNanos) * LATENESS_WEIGHT;
		this.overloaded = this.meanLatenessNanos > (this.overloaded ? RECOVERY_LATENESS_NANOS
				: OVERLOAD_LATENESS_NANOS);
	}

	/**
	 * Tests whether the host is overloaded.
	 * @return true from the detection of the overload until the recovery
	 */
	public boolean isOverloaded() {
		return this.overloaded;
	}

}
