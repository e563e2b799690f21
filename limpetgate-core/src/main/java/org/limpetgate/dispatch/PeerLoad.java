package org.limpetgate.dispatch;

import java.util.Map;

import org.limpetgate.HostId;
import org.limpetgate.PoolName;

/**
 * The load of another live entry host of the same data centre, as its last heartbeat gave
 * it.
 *
 * @param host the host
 * @param size the relative size of the host, at least 1
 * @param demand the demand by pool; a pool that is missing has none
 */
public record PeerLoad(HostId host, int size, Map<PoolName, Demand> demand) {

	public PeerLoad {
		demand = Map.copyOf(demand);
	}

	/**
	 * The demand for one pool.
	 *
	 * @param queued number of waiting tasks
	 * @param inFlight number of running attempts
	 */
	public record Demand(int queued, int inFlight) {
	}

}
