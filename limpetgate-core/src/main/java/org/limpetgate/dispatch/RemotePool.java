package org.limpetgate.dispatch;

import java.util.Objects;

import org.limpetgate.DataCentreId;
import org.limpetgate.PoolName;

/**
 * The state of a pool in another data centre, as its last digest gave it.
 *
 * @param dataCentre the data centre
 * @param pool the pool
 * @param oneWayNanos the one-way latency to it
 * @param waitNanos the time that a task waited there
 * @param tasksPerSecond the rate at which it starts tasks, 0 if it takes none
 * @param measuredNanos the time of the measurement
 */
public record RemotePool(DataCentreId dataCentre, PoolName pool, long oneWayNanos, long waitNanos,
		double tasksPerSecond, long measuredNanos) {

	public RemotePool {
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(pool, "pool");
	}

}
