package org.limpetgate.dispatch;

import java.util.Objects;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;

/**
 * The identity of a dispatcher's host and the parameters of its policy. Settings that
 * operators change are in the tables instead. Times are in nanoseconds.
 *
 * @param host the id of this host
 * @param dataCentre the local data centre; only its upstreams receive attempts
 * @param size the relative size of this host, at least 1
 * @param queueDelayTargetNanos the expected wait above which tasks are refused once the
 * queue has stayed above it for some time
 * @param longRunThresholdNanos the learned run time at or above which a task is long
 * @param longPercent the capacity of this host that long tasks may always occupy, in
 * percent
 * @param hedgeFactor the multiple of the expected run time after which a hedge starts, 0
 * for no hedges
 * @param minHealthyPercent the share of a pool that is never ejected, in percent
 */
public record DispatchSettings(HostId host, DataCentreId dataCentre, int size, long queueDelayTargetNanos,
		long longRunThresholdNanos, int longPercent, double hedgeFactor, int minHealthyPercent) {

	private static final long DEFAULT_QUEUE_DELAY_TARGET_NANOS = 100_000_000L;

	private static final long DEFAULT_LONG_RUN_THRESHOLD_NANOS = 1_500_000_000L;

	private static final int DEFAULT_LONG_PERCENT = 60;

	private static final double DEFAULT_HEDGE_FACTOR = 4;

	private static final int DEFAULT_MIN_HEALTHY_PERCENT = 50;

	public DispatchSettings {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(dataCentre, "dataCentre");
		if (size < 1) {
			throw new IllegalArgumentException("the size of host '" + host + "' must be at least 1");
		}
	}

	/**
	 * Returns settings with the default parameters.
	 * @param host the id of this host, not null
	 * @param dataCentre the local data centre, not null
	 * @param size the relative size of this host, at least 1
	 * @return the settings, not null
	 */
	public static DispatchSettings of(HostId host, DataCentreId dataCentre, int size) {
		return new DispatchSettings(host, dataCentre, size, DEFAULT_QUEUE_DELAY_TARGET_NANOS,
				DEFAULT_LONG_RUN_THRESHOLD_NANOS, DEFAULT_LONG_PERCENT, DEFAULT_HEDGE_FACTOR,
				DEFAULT_MIN_HEALTHY_PERCENT);
	}

	/**
	 * Returns these settings with another hedge factor.
	 * @param newFactor the hedge factor, 0 for no hedges
	 * @return the settings, not null
	 */
	public DispatchSettings withHedgeFactor(double newFactor) {
		return new DispatchSettings(this.host, this.dataCentre, this.size, this.queueDelayTargetNanos,
				this.longRunThresholdNanos, this.longPercent, newFactor, this.minHealthyPercent);
	}

}
