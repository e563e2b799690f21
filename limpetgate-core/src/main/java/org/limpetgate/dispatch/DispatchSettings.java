package org.limpetgate.dispatch;

import java.util.Objects;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;

/**
 * What a dispatcher must know about its own host, and the constants of its policy. What
 * operators set is in the tables. Times are in nanoseconds.
 *
 * @param host the own host
 * @param dataCentre the own data centre; only its upstreams get attempts
 * @param size the relative size of the own host, at least 1
 * @param queueDelayTarget the expected wait above which a standing queue is refused
 * @param longRun the learned run time from which a task counts as long
 * @param longPercent the most of the own capacity that long work may hold, in percent
 * @param hedgeFactor a hedge starts when an attempt runs this many times longer than
 * learned; 0 for no hedges
 * @param remainingPercent the part of a pool that is never ejected, in percent
 */
public record DispatchSettings(HostId host, DataCentreId dataCentre, int size, long queueDelayTarget, long longRun,
		int longPercent, double hedgeFactor, int remainingPercent) {

	private static final long DEFAULT_QUEUE_DELAY_TARGET = 100_000_000L;

	private static final long DEFAULT_LONG_RUN = 1_500_000_000L;

	private static final int DEFAULT_LONG_PERCENT = 60;

	private static final double DEFAULT_HEDGE_FACTOR = 4;

	private static final int DEFAULT_REMAINING_PERCENT = 50;

	public DispatchSettings {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(dataCentre, "dataCentre");
		if (size < 1) {
			throw new IllegalArgumentException("the size of host '" + host + "' must be at least 1");
		}
	}

	/**
	 * Returns settings with defaults.
	 * @param host the own host, not null
	 * @param dataCentre the own data centre, not null
	 * @param size the relative size of the own host, at least 1
	 * @return the settings, not null
	 */
	public static DispatchSettings of(HostId host, DataCentreId dataCentre, int size) {
		return new DispatchSettings(host, dataCentre, size, DEFAULT_QUEUE_DELAY_TARGET, DEFAULT_LONG_RUN,
				DEFAULT_LONG_PERCENT, DEFAULT_HEDGE_FACTOR, DEFAULT_REMAINING_PERCENT);
	}

	/**
	 * Returns these settings with another factor for hedges.
	 * @param newFactor the factor, 0 for no hedges
	 * @return the settings, not null
	 */
	public DispatchSettings withHedgeFactor(double newFactor) {
		return new DispatchSettings(this.host, this.dataCentre, this.size, this.queueDelayTarget, this.longRun,
				this.longPercent, newFactor, this.remainingPercent);
	}

}
