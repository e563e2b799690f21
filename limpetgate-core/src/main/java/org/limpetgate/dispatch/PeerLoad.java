package org.limpetgate.dispatch;

import java.util.Map;

import org.limpetgate.HostId;
import org.limpetgate.PoolName;

/**
 * The load of another live entry host of the same data centre, from its last heartbeat.
 *
 * @param host the host
 * @param size the relative size of the host, at least 1
 * @param demand the demand by pool; a missing pool has no demand
 */
public record PeerLoad(HostId host, int size, Map<PoolName, Demand> demand) {

	public PeerLoad {
		demand = Map.copyOf(demand);
	}

	/**
	 * The demand for one pool.
	 *
	 * @param queued number of queued tasks
	 * @param inFlight number of running attempts
	 */
	public record Demand(int queued, int inFlight) {
	}

}
