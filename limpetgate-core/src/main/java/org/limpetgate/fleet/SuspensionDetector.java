package org.limpetgate.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Detects that the machine may have been suspended, from a wall clock that has advanced
 * further than the clock by which the host decides.
 * <p>
 * The latter stands still during a suspension, so that what was received before it seems
 * more recent than it is. A wall clock that was set forward looks the same. Not
 * thread-safe.
 */
public final class SuspensionDetector {

	/**
	 * Exceeds the difference by which the clocks drift apart between two observations.
	 */
	private static final long MIN_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private long wallLeadNanos = Long.MAX_VALUE;

	/**
	 * Compares the clocks.
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @param wallNanos the wall clock, nanoseconds since the Unix epoch
	 * @return whether the machine may have been suspended since the last observation
	 */
	public boolean observe(long nowNanos, long wallNanos) {
		long leadNanos = wallNanos - nowNanos;
		boolean suspended = leadNanos - MIN_SUSPENSION_NANOS > this.wallLeadNanos;
		this.wallLeadNanos = leadNanos;
		return suspended;
	}

}
