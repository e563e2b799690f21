package org.limpetgate.host;

import java.util.List;
import java.util.Map;

import org.limpetgate.PoolName;
import org.limpetgate.UpstreamId;
import org.limpetgate.dispatch.Dispatcher;
import org.limpetgate.dispatch.PeerLoad;
import org.limpetgate.host.configuration.ConfigurationService;
import org.limpetgate.membership.DataCentreDigest;

/**
 * Gives the peer service access to the components of an entry host.
 * <p>
 * Immutable; the components are called on the threads that {@link LocalHost} states.
 */
final class LocalComponents implements LocalHost {

	private final SubmissionService submissions;

	private final ConfigurationService configuration;

	private final TaskExecutor taskExecutor;

	private final Dispatcher dispatcher;

	private final UpstreamDirectory upstreams;

	LocalComponents(SubmissionService submissions, ConfigurationService configuration, TaskExecutor taskExecutor,
			Dispatcher dispatcher, UpstreamDirectory upstreams) {
		this.submissions = submissions;
		this.configuration = configuration;
		this.taskExecutor = taskExecutor;
		this.dispatcher = dispatcher;
		this.upstreams = upstreams;
	}

	@Override
	public SubmissionService submissions() {
		return this.submissions;
	}

	@Override
	public ConfigurationService configuration() {
		return this.configuration;
	}

	@Override
	public TaskService localTasks() {
		return this.taskExecutor;
	}

	@Override
	public Map<PoolName, DataCentreDigest.PoolState> poolStates(long nowNanos) {
		return this.taskExecutor.poolStates(nowNanos);
	}

	@Override
	public Map<PoolName, PeerLoad.Demand> demand() {
		return this.dispatcher.demand();
	}

	@Override
	public List<UpstreamId> leavingUpstreams() {
		return this.upstreams.leaving();
	}

	@Override
	public void updatePeerLoads(List<PeerLoad> loads, long nowNanos) {
		this.dispatcher.updatePeerLoads(loads, nowNanos);
	}

	@Override
	public void upstreamLeaving(UpstreamId upstream, long nowNanos) {
		this.upstreams.reportLeaving(upstream, nowNanos);
	}

}
