package org.limpetgate.host;

import java.util.List;
import java.util.Map;

import org.limpetgate.PoolName;
import org.limpetgate.UpstreamId;
import org.limpetgate.dispatch.PeerLoad;
import org.limpetgate.host.configuration.ConfigurationService;
import org.limpetgate.membership.DataCentreDigest;

/**
 * The other parts of this host, as the peer service sees them. Called on the control
 * thread, except for {@link #submissions()}, {@link #requests()} and
 * {@link #configuration()}.
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
	 * Returns what runs tasks in this data centre only.
	 * @return the runner, not null
	 */
	TaskService localTasks();

	/**
	 * Returns what each pool can take at this host.
	 * @param nowNanos the present time
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
	 * Takes the loads of the live peers.
	 * @param loads the loads, not null
	 * @param nowNanos the present time
	 */
	void peerLoads(List<PeerLoad> loads, long nowNanos);

	/**
	 * Takes an upstream that announced to a peer that it is leaving.
	 * @param upstream the upstream, not null
	 * @param nowNanos the present time
	 */
	void upstreamLeaving(UpstreamId upstream, long nowNanos);

}
