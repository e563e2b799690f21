package org.limpetgate.host.fleet;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.fleet.DataCentreDrains;
import org.limpetgate.fleet.Directory;
import org.limpetgate.fleet.HostState;
import org.limpetgate.fleet.SchedulerElection;
import org.limpetgate.fleet.SubmissionLeases;
import org.limpetgate.host.EventLog;
import org.limpetgate.host.HostMetrics;
import org.limpetgate.host.LogEvent;
import org.limpetgate.net.peer.InboundLink;
import org.limpetgate.proto.HostBeat;
import org.limpetgate.proto.JobResult;
import org.limpetgate.proto.JobStatus;
import org.limpetgate.proto.QueueStatus;
import org.limpetgate.proto.SubmitJob;
import org.limpetgate.scheduling.JobOutcome;
import org.limpetgate.scheduling.Scheduler;

/**
 * Handles the messages of the peers of a {@link FleetHost}. Not thread-safe; used on the
 * event loop.
 */
final class FleetPeerListener implements PeerEvents {

	/**
	 * How long a host has had a configuration before it offers it to peers with an older
	 * one. Hosts read a change from the store within milliseconds of each other, and a
	 * large configuration sent to all of them as well would delay the heartbeats on a
	 * slow link until hosts count as lost.
	 */
	private static final long OFFER_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final FleetHost host;

	private final DirectoryState directoryState;

	private final SchedulerElection election;

	private final Scheduler scheduler;

	private final Directory directory;

	private final DrainService drains;

	private final JobQueries queries;

	private final LongSupplier clock;

	private final EventLog log;

	private final HostMetrics metrics;

	FleetPeerListener(FleetHost host, DirectoryState directoryState, SchedulerElection election, Scheduler scheduler,
			Directory directory, DrainService drains, JobQueries queries, LongSupplier clock, EventLog log,
			HostMetrics metrics) {
		this.host = host;
		this.directoryState = directoryState;
		this.election = election;
		this.scheduler = scheduler;
		this.directory = directory;
		this.drains = drains;
		this.queries = queries;
		this.clock = clock;
		this.log = log;
		this.metrics = metrics;
	}

	@Override
	public HostBeat heartbeat(long peerVersion) {
		long version = this.directoryState.configurationVersion();
		HostBeat.Builder heartbeat = this.host.peers().newHeartbeat(this.host.state()).setConfigurationVersion(version);
		if (peerVersion != FleetPeers.OMIT_CONFIGURATION && peerVersion < version && isOfferDue(peerVersion)) {
			heartbeat.setConfiguration(FleetPeers.toByteString(this.directory.configurationText()));
		}
		long workersListedNanos = this.host.workersListedNanos();
		if (workersListedNanos != 0) {
			heartbeat
				.setWorkerListAgeMillis(TimeUnit.NANOSECONDS.toMillis(this.clock.getAsLong() - workersListedNanos) + 1);
		}
		HeartbeatDrains.write(this.drains.drains(), heartbeat);
		return heartbeat.build();
	}

	private boolean isOfferDue(long peerVersion) {
		return peerVersion == DirectoryState.NO_VERSION
				|| this.clock.getAsLong() - this.directoryState.configurationSinceNanos() >= OFFER_DELAY_NANOS;
	}

	@Override
	public void heartbeatAnswered(HostState state, long sentNanos, long nowNanos) {
		this.drains.hostSeen(state.dataCentre());
		this.election.answerReceived(state, sentNanos, nowNanos);
	}

	@Override
	public void heartbeatReceived(HostState state, long nowNanos) {
		this.drains.hostSeen(state.dataCentre());
		this.election.heartbeatReceived(state, nowNanos);
	}

	@Override
	public void drainsReceived(DataCentreDrains received) {
		if (this.drains.adopt(received, Directory.Source.PEER, Directory.UNKNOWN_AGE)) {
			this.host.requestTick();
		}
	}

	@Override
	public void peersAdded(Set<HostId> known) {
		if (this.directoryState.hostsKnown()) {
			this.election.setKnownPeers(known);
		}
	}

	@Override
	public void linkLost(HostId peer) {
		this.log.write(LogEvent.HOST_LOST, peer);
		incarnationEnded(peer);
	}

	@Override
	public void incarnationEnded(HostId peer) {
		this.election.peerLost(peer);
		this.scheduler.hostLost(peer, this.clock.getAsLong());
		this.host.peers().answerAll(peer, JobMessages.toMessage(JobOutcome.MOVED, "the link to the peer was lost", 0));
		this.host.requestTick();
	}

	@Override
	public void leaseExpired(SubmissionLeases.Link link, List<JobId> jobs) {
		this.log.write(LogEvent.SUBMISSION_LEASE_EXPIRED, link.origin(), link.number(), jobs.size());
		this.metrics.submissionLeaseExpired(jobs.size());
		JobResult result = JobMessages.toMessage(JobOutcome.MOVED, "the lease of the submitting host has expired", 0);
		for (JobId job : jobs) {
			this.host.withdraw(link.origin(), job);
			this.host.peers().answer(link.origin(), job, result);
		}
	}

	@Override
	public void staleMessage(InboundLink link, String message, long maxAgeNanos) {
		this.log.write(LogEvent.STALE_MESSAGE_REFUSED, message, link.host(), link.number(),
				TimeUnit.NANOSECONDS.toMillis(maxAgeNanos));
		this.metrics.staleMessageRefused();
	}

	@Override
	public void configurationOffered(byte[] text) {
		this.directory.offerConfiguration(text);
	}

	@Override
	public void submissionReceived(InboundLink link, SubmitJob job, long maxAgeNanos) {
		this.log.write(LogEvent.SUBMISSION_RECEIVED, job.getJobId(), link.host(), link.number(),
				TimeUnit.NANOSECONDS.toMillis(maxAgeNanos), job.getWaitedMillis(), job.getResubmitted());
	}

	@Override
	public boolean jobSubmitted(HostId peer, SubmitJob job) {
		return this.host.accept(peer, job);
	}

	@Override
	public void jobWithdrawn(HostId peer, JobId job) {
		this.log.write(LogEvent.WITHDRAWAL_RECEIVED, job, peer);
		this.host.withdraw(peer, job);
	}

	@Override
	public void withdrawalNotSent(HostId scheduler, JobId job, String reason) {
		this.log.write(LogEvent.WITHDRAWAL_NOT_SENT, job, scheduler, reason);
		this.metrics.withdrawalNotSent();
	}

	@Override
	public CompletableFuture<JobStatus> jobQueried(JobId job, boolean cancel) {
		return this.queries.queryLocally(job, cancel);
	}

	@Override
	public QueueStatus queueQueried(String queue) {
		return this.queries.queueStatus(queue);
	}

}
