package org.limpetgate.membership;

import java.util.Map;
import java.util.Objects;

import org.limpetgate.DataCentreId;
import org.limpetgate.Incarnation;
import org.limpetgate.PoolName;

/**
 * The summary of one data centre that the others receive.
 * <p>
 * Its size grows with the hosts of that data centre only; upstreams and tasks stay out of
 * it. Immutable and thread-safe.
 *
 * @param dataCentre the data centre
 * @param sentNanos when its sender made it, by the sender's clock, in nanoseconds since
 * the Unix epoch; a digest with a smaller time is older
 * @param lowestVersion the lowest version of the tables in force at a live host
 * @param pools what each pool can take, as the sender sees it
 * @param members the live hosts with their addresses
 */
public record DataCentreDigest(DataCentreId dataCentre, long sentNanos, long lowestVersion,
		Map<PoolName, PoolState> pools, Map<Incarnation, MemberAddress> members) {

	public DataCentreDigest {
		Objects.requireNonNull(dataCentre, "dataCentre");
		pools = Map.copyOf(pools);
		members = Map.copyOf(members);
	}

	/**
	 * What a pool can take.
	 *
	 * @param waitNanos how long a new task would wait, in nanoseconds
	 * @param tasksPerSecond the rate at which the sender can start tasks, 0 if it cannot
	 * start any
	 */
	public record PoolState(long waitNanos, double tasksPerSecond) {
	}

}
