package org.limpetgate.dispatch;

import java.util.Map;
import java.util.Objects;

import org.limpetgate.CallerId;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.RouteName;

/**
 * What a dispatcher must know about its own host, and the settings that operators turn.
 * Times are in nanoseconds.
 *
 * @param host the own host
 * @param dataCentre the own data centre; only its upstreams get attempts
 * @param size the relative size of the own host, at least 1
 * @param quotas the quotas by caller; others get {@link CallerQuota#DEFAULT}
 * @param routeLimits the most attempts in flight by route; others have no limit of their
 * own
 * @param queueDelayTarget the expected wait above which a standing queue is refused
 * @param longRun the learned run time from which a task counts as long
 * @param longPercent the most of the own capacity that long work may hold, in percent
 * @param hedgeFactor a hedge starts when an attempt runs this many times longer than
 * learned; 0 for no hedges
 * @param remainingPercent the part of a pool that is never ejected, in percent
 */
public record DispatchSettings(HostId host, DataCentreId dataCentre, int size, Map<CallerId, CallerQuota> quotas,
		Map<RouteName, Integer> routeLimits, long queueDelayTarget, long longRun, int longPercent, double hedgeFactor,
		int remainingPercent) {

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
		quotas = Map.copyOf(quotas);
		routeLimits = Map.copyOf(routeLimits);
	}

	/**
	 * Returns settings with defaults.
	 * @param host the own host, not null
	 * @param dataCentre the own data centre, not null
	 * @param size the relative size of the own host, at least 1
	 * @return the settings, not null
	 */
	public static DispatchSettings of(HostId host, DataCentreId dataCentre, int size) {
		return new DispatchSettings(host, dataCentre, size, Map.of(), Map.of(), DEFAULT_QUEUE_DELAY_TARGET,
				DEFAULT_LONG_RUN, DEFAULT_LONG_PERCENT, DEFAULT_HEDGE_FACTOR, DEFAULT_REMAINING_PERCENT);
	}

	/**
	 * Returns the quota of a caller.
	 * @param caller the caller, not null
	 * @return the quota, not null
	 */
	public CallerQuota quota(CallerId caller) {
		return this.quotas.getOrDefault(caller, CallerQuota.DEFAULT);
	}

	/**
	 * Returns the limit of a route.
	 * @param route the route, not null
	 * @return the most attempts in flight
	 */
	public int routeLimit(RouteName route) {
		return this.routeLimits.getOrDefault(route, Integer.MAX_VALUE);
	}

	/**
	 * Returns these settings with other limits by route.
	 * @param newLimits the most attempts in flight by route, not null
	 * @return the settings, not null
	 */
	public DispatchSettings withRouteLimits(Map<RouteName, Integer> newLimits) {
		return new DispatchSettings(this.host, this.dataCentre, this.size, this.quotas, newLimits,
				this.queueDelayTarget, this.longRun, this.longPercent, this.hedgeFactor, this.remainingPercent);
	}

	/**
	 * Returns these settings with another factor for hedges.
	 * @param newFactor the factor, 0 for no hedges
	 * @return the settings, not null
	 */
	public DispatchSettings withHedgeFactor(double newFactor) {
		return new DispatchSettings(this.host, this.dataCentre, this.size, this.quotas, this.routeLimits,
				this.queueDelayTarget, this.longRun, this.longPercent, newFactor, this.remainingPercent);
	}

	/**
	 * Returns these settings with other quotas.
	 * @param newQuotas the quotas by caller, not null
	 * @return the settings, not null
	 */
	public DispatchSettings withQuotas(Map<CallerId, CallerQuota> newQuotas) {
		return new DispatchSettings(this.host, this.dataCentre, this.size, newQuotas, this.routeLimits,
				this.queueDelayTarget, this.longRun, this.longPercent, this.hedgeFactor, this.remainingPercent);
	}

}
