package org.limpetgate.membership;

import java.util.Map;
import java.util.Objects;

import org.limpetgate.DataCentreId;
import org.limpetgate.Incarnation;
import org.limpetgate.PoolName;

/**
 * The summary of a data centre that is sent to the other data centres.
 * <p>
 * Its size grows only with the number of hosts of that data centre; it contains no
 * upstreams or tasks. Immutable and thread-safe.
 *
 * @param dataCentre the data centre
 * @param sentNanos when the sender created it, by the sender's clock, in nanoseconds
 * since the Unix epoch; orders the digests of a data centre by age
 * @param lowestConfigurationVersion the lowest version of the tables in use on any live
 * host
 * @param pools the available capacity of each pool, as the sender sees it
 * @param members the live hosts and their addresses
 */
public record DataCentreDigest(DataCentreId dataCentre, long sentNanos, long lowestConfigurationVersion,
		Map<PoolName, PoolState> pools, Map<Incarnation, MemberAddress> members) {

	public DataCentreDigest {
		Objects.requireNonNull(dataCentre, "dataCentre");
		pools = Map.copyOf(pools);
		members = Map.copyOf(members);
	}

	/**
	 * The available capacity of a pool.
	 *
	 * @param waitNanos the expected wait of a new task, in nanoseconds
	 * @param tasksPerSecond the rate at which the sender can start tasks, 0 if it cannot
	 * start any
	 */
	public record PoolState(long waitNanos, double tasksPerSecond) {
	}

}
