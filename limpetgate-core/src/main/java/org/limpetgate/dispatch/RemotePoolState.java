package org.limpetgate.dispatch;

import java.util.Objects;

import org.limpetgate.DataCentreId;
import org.limpetgate.PoolName;

/**
 * The state of a pool in another data centre, from its last digest.
 *
 * @param dataCentre the data centre
 * @param pool the pool
 * @param oneWayNanos the one-way network latency to it, in nanoseconds
 * @param waitNanos the wait of a task there, in nanoseconds
 * @param tasksPerSecond the rate at which it starts tasks, 0 if it accepts none
 * @param digestReceivedNanos when the digest was received, in nanoseconds since the Unix
 * epoch
 */
public record RemotePoolState(DataCentreId dataCentre, PoolName pool, long oneWayNanos, long waitNanos,
		double tasksPerSecond, long digestReceivedNanos) {

	public RemotePoolState {
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(pool, "pool");
	}

}
