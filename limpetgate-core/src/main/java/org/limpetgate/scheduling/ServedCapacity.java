package org.limpetgate.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * Learns which part of the nominal capacity of a service serves work while jobs wait. The
 * rest is lost to fragments that are too small for a task, to the time between two runs,
 * and to estimates that are too low. Not thread-safe.
 */
final class ServedCapacity {

	/**
	 * The part before the first observation. Below 1, since capacity that is lost to
	 * fragments must not be guaranteed to anyone.
	 */
	private static final double PRIOR_SHARE = 0.75;

	/** Bounds the effect of jobs that wait for other reasons than capacity. */
	private static final double MIN_SHARE = 0.4;

	/** The time constant of the learned share; covers several runs of long tasks. */
	private static final double DECAY_NANOS = TimeUnit.SECONDS.toNanos(4);

	private double share = PRIOR_SHARE;

	private double lastServedWork;

	private long lastNanos;

	private boolean lastWaiting;

	/**
	 * Records the work done since the last observation.
	 * @param nominal the nominal capacity, in core seconds per second
	 * @param servedWork the work of all tasks done until now, in core seconds
	 * @param waiting whether jobs wait for capacity now
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return the capacity that serves work, in core seconds per second
	 */
	double observe(double nominal, double servedWork, boolean waiting, long nowNanos) {
		double elapsedNanos = nowNanos - this.lastNanos;
		if (waiting && this.lastWaiting && nominal > 0 && elapsedNanos < DECAY_NANOS) {
			double seconds = elapsedNanos / TimeUnit.SECONDS.toNanos(1);
			double observed = (servedWork - this.lastServedWork) / (nominal * seconds);
			this.share += (observed - this.share) * (1 - Math.exp(-elapsedNanos / DECAY_NANOS));
		}
		this.lastServedWork = servedWork;
		this.lastNanos = nowNanos;
		this.lastWaiting = waiting;
		return nominal * Math.max(MIN_SHARE, Math.min(1, this.share));
	}

}
