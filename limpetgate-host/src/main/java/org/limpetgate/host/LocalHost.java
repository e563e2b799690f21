package org.limpetgate.host;

import java.util.List;
import java.util.Map;

import org.limpetgate.PoolName;
import org.limpetgate.UpstreamId;
import org.limpetgate.dispatch.PeerLoad;
import org.limpetgate.host.configuration.ConfigurationService;
import org.limpetgate.membership.DataCentreDigest;

/**
 * The components of this host that the peer service uses. Called on the control thread,
 * except for {@link #submissions()} and {@link #configuration()}.
 */
interface LocalHost {

	/**
	 * Returns the submissions of this host.
	 * @return the service, not null
	 */
	SubmissionService submissions();

	/**
	 * Returns the configuration of this host.
	 * @return the service, not null
	 */
	ConfigurationService configuration();

	/**
	 * Returns the service that runs tasks in this data centre only.
	 * @return the service, not null
	 */
	TaskService localTasks();

	/**
	 * Returns the expected wait and the task rate of each pool at this host.
	 * @param nowNanos the current time
	 * @return the states, not null
	 */
	Map<PoolName, DataCentreDigest.PoolState> poolStates(long nowNanos);

	/**
	 * Returns the demand of this host by pool.
	 * @return the demand, not null
	 */
	Map<PoolName, PeerLoad.Demand> demand();

	/**
	 * Returns the upstreams that announced to this host that they are leaving.
	 * @return the upstreams, not null
	 */
	List<UpstreamId> leavingUpstreams();

	/**
	 * Updates the loads of the live peers.
	 * @param loads the loads, not null
	 * @param nowNanos the current time
	 */
	void updatePeerLoads(List<PeerLoad> loads, long nowNanos);

	/**
	 * Handles the report of a peer that an upstream is leaving.
	 * @param upstream the upstream, not null
	 * @param nowNanos the current time
	 */
	void upstreamLeaving(UpstreamId upstream, long nowNanos);

}
