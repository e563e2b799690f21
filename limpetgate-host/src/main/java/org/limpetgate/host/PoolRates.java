package org.limpetgate.host;

import java.util.HashMap;
import java.util.Map;

import org.limpetgate.PoolName;
import org.limpetgate.dispatch.Dispatcher;
import org.limpetgate.dispatch.PoolStatus;
import org.limpetgate.membership.DataCentreDigest;

/**
 * Estimates the rate at which this host can start tasks of each pool, for the digests to
 * other data centres.
 * <p>
 * Not thread-safe: confined to the control thread.
 */
final class PoolRates {

	private static final double SMOOTHING_FACTOR = 0.05;

	private static final double NANOS_PER_SECOND = 1e9;

	private final Map<PoolName, Double> meanRunNanos = new HashMap<>();

	/**
	 * Adds the run time of a completed attempt.
	 * @param pool the pool
	 * @param runNanos the run time in nanoseconds
	 */
	void add(PoolName pool, long runNanos) {
		this.meanRunNanos.merge(pool, (double) runNanos, (mean, run) -> mean + SMOOTHING_FACTOR * (run - mean));
	}

	/**
	 * Returns the expected wait and the task rate of each pool with a known run time.
	 * @param dispatcher provides waits and capacities
	 * @param nowNanos the current time
	 * @return the states by pool
	 */
	Map<PoolName, DataCentreDigest.PoolState> states(Dispatcher dispatcher, long nowNanos) {
		Map<PoolName, DataCentreDigest.PoolState> states = new HashMap<>();
		for (PoolStatus status : dispatcher.status(nowNanos)) {
			Double mean = this.meanRunNanos.get(status.pool());
			if (mean != null && mean > 0) {
				states.put(status.pool(), new DataCentreDigest.PoolState(status.expectedWaitNanos(),
						status.capacity() * NANOS_PER_SECOND / mean));
			}
		}
		return states;
	}

}
