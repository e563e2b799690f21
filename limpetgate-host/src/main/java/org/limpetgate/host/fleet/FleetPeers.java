package org.limpetgate.host.fleet;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import org.limpetgate.DataCentreId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.JobId;
import org.limpetgate.Outcome;
import org.limpetgate.fleet.HeartbeatPlan;
import org.limpetgate.fleet.HostState;
import org.limpetgate.fleet.SubmissionLeases;
import org.limpetgate.net.peer.InboundLink;
import org.limpetgate.net.peer.PeerAddress;
import org.limpetgate.net.peer.PeerIdentity;
import org.limpetgate.net.peer.PeerKeys;
import org.limpetgate.net.peer.PeerLimits;
import org.limpetgate.net.peer.PeerLinks;
import org.limpetgate.net.peer.PeerMetrics;
import org.limpetgate.net.peer.PeerServer;
import org.limpetgate.net.peer.PeerSettings;
import org.limpetgate.proto.HostBeat;
import org.limpetgate.proto.IncarnationId;
import org.limpetgate.proto.JobResult;
import org.limpetgate.proto.JobStatus;
import org.limpetgate.proto.PeerFrame;
import org.limpetgate.proto.QueryJob;
import org.limpetgate.proto.QueryQueue;
import org.limpetgate.proto.QueueStatus;
import org.limpetgate.proto.SubmitJob;
import org.limpetgate.proto.WithdrawJob;
import org.limpetgate.scheduling.FencingToken;
import org.limpetgate.scheduling.JobOutcome;

/**
 * The links to the other entry hosts. They carry heartbeats to the hosts that the
 * {@link HeartbeatPlan} selects, and jobs, queries and results to and from the scheduler.
 * <p>
 * Not thread-safe; used on the event loop.
 */
final class FleetPeers implements JobTransport {

	/** Passed instead of a peer's version to omit the configuration from a heartbeat. */
	static final long OMIT_CONFIGURATION = Long.MAX_VALUE;

	private static final String KEY_ID = "fleet";

	/** When a heartbeat times out, a later one has already been sent. */
	private static final long HEARTBEAT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

	/** Includes the time to save a cancellation, which is answered only afterwards. */
	private static final long QUERY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

	private static final long HANDSHAKE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	/** Heartbeats detect a silent link much sooner; probes only close a half-open one. */
	private static final long PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(4);

	private static final long MAX_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	private final FleetSettings settings;

	private final Incarnation self;

	private final LongSupplier clock;

	private final PeerEvents listener;

	private final PeerLinks links;

	private final PeerServer server;

	private final HeartbeatPlan heartbeatPlan = new HeartbeatPlan();

	private final PeerIncarnations incarnations = new PeerIncarnations();

	/** The submissions of this host that have no reply yet. */
	private final Map<JobId, CompletableFuture<PeerFrame>> submissions = new HashMap<>();

	private final SubmissionLeases leases = new SubmissionLeases();

	/** The replies that have not been sent to other hosts yet, by host and job. */
	private final Map<HostId, Map<JobId, CompletableFuture<PeerFrame.Builder>>> pendingReplies = new HashMap<>();

	/** When all workers that each host used last were listed. */
	private final Map<HostId, Long> workersListedNanos = new HashMap<>();

	private FleetPeers(EventLoopGroup group, FleetSettings settings, Incarnation self, LongSupplier clock,
			PeerEvents listener) {
		this.settings = settings;
		this.self = self;
		this.clock = clock;
		this.listener = listener;
		PeerSettings peerSettings = PeerSettings
			.of(new PeerIdentity(self, settings.dataCentre()), PeerKeys.of(KEY_ID, Map.of(KEY_ID, settings.peerKey())))
			.withLimits(PeerLimits.defaults()
				.withTimeouts(HANDSHAKE_TIMEOUT_NANOS, PROBE_INTERVAL_NANOS, MAX_BACKOFF_NANOS)
				.withMaxMessageAge(SubmissionLeases.DURATION_NANOS))
			.withMetrics(new LinkObserver())
			.withClock(clock);
		this.links = PeerLinks.of(group, peerSettings, new SplittableRandom(self.number()));
		this.server = PeerServer.start(group, settings.peerAddress(), peerSettings, this::handle);
	}

	static FleetPeers start(EventLoopGroup group, FleetSettings settings, Incarnation self, LongSupplier clock,
			PeerEvents listener) {
		return new FleetPeers(group, settings, self, clock, listener);
	}

	// Adds hosts to connect to; hosts that are already known are ignored.
	void addHosts(List<HostId> hosts) {
		boolean added = false;
		for (HostId host : hosts) {
			added |= !host.equals(this.settings.host()) && this.heartbeatPlan.addPeer(host);
		}
		if (added) {
			this.links.configure(this.heartbeatPlan.peers().stream().map(FleetPeers::address).toList());
			this.listener.peersAdded(knownHosts());
		}
	}

	// Returns the hosts that were found not to run since this host started.
	List<HostId> endedHosts() {
		return knownHosts().stream().filter((host) -> this.links.endedNanos(host) != 0).toList();
	}

	// Returns the other hosts, reachable or not.
	Set<HostId> knownHosts() {
		return this.heartbeatPlan.peers();
	}

	// Returns the data centre of a host, empty for a peer that has not sent a heartbeat.
	Optional<DataCentreId> dataCentreOf(HostId host) {
		return host.equals(this.settings.host()) ? Optional.of(this.settings.dataCentre())
				: this.heartbeatPlan.dataCentreOf(host);
	}

	private static PeerAddress address(HostId host) {
		int colon = host.value().lastIndexOf(':');
		return new PeerAddress(host, new InetSocketAddress(host.value().substring(0, colon),
				Integer.parseInt(host.value().substring(colon + 1))));
	}

	// Closes a silent link and opens a new one.
	void reconnect(HostId host) {
		this.heartbeatPlan.peerLost(host);
		if (this.links.isUp(host)) {
			this.links.reopen(host, "no heartbeat was answered in time");
		}
	}

	// Selects the peers of this round, sends a heartbeat to those that are connected, and
	// returns all of them.
	Set<HostId> sendHeartbeats(HostState state) {
		Set<HostId> targets = this.heartbeatPlan.nextTargets(!state.schedulerToken().isNone());
		HostBeat heartbeat = this.listener.heartbeat(OMIT_CONFIGURATION);
		targets.forEach((host) -> sendHeartbeat(host, heartbeat));
		return targets;
	}

	private void sendHeartbeat(HostId host, HostBeat heartbeat) {
		if (this.links.isUp(host)) {
			long sentNanos = this.clock.getAsLong();
			this.links.request(host, PeerFrame.newBuilder().setHostBeat(heartbeat), HEARTBEAT_TIMEOUT_NANOS)
				.thenAccept((reply) -> handleHeartbeatReply(reply.getHostBeat(), sentNanos));
		}
	}

	private void handleHeartbeatReply(HostBeat heartbeat, long sentNanos) {
		HostState state = stateOf(heartbeat);
		workersListed(state.host(), heartbeat);
		this.listener.drainsReceived(HeartbeatDrains.read(heartbeat));
		this.heartbeatPlan.stateReceived(state);
		addHosts(heartbeat.getKnownHostsList().stream().map(HostId::of).toList());
		this.listener.heartbeatAnswered(state, sentNanos, this.clock.getAsLong());
		if (!heartbeat.getConfiguration().isEmpty()) {
			this.listener.configurationOffered(heartbeat.getConfiguration().toByteArray());
		}
	}

	private static HostState stateOf(HostBeat heartbeat) {
		IncarnationId id = heartbeat.getIncarnation();
		return new HostState(Incarnation.of(HostId.of(id.getHost()), id.getNumber()),
				DataCentreId.of(heartbeat.getDataCentre()), heartbeat.getLeaving(), heartbeat.getReady(),
				heartbeat.getOverloaded(), heartbeat.getCpuMillis(), new FencingToken(heartbeat.getSchedulerToken()),
				heartbeat.getWholeScope());
	}

	private HostBeat handleHeartbeat(HostBeat heartbeat) {
		HostState state = stateOf(heartbeat);
		workersListed(state.host(), heartbeat);
		this.listener.drainsReceived(HeartbeatDrains.read(heartbeat));
		this.heartbeatPlan.stateReceived(state);
		this.listener.heartbeatReceived(state, this.clock.getAsLong());
		HostBeat.Builder reply = this.listener.heartbeat(heartbeat.getConfigurationVersion()).toBuilder();
		if (heartbeat.getKnownHostsDigest() != reply.getKnownHostsDigest()) {
			reply.addAllKnownHosts(linkedHosts());
		}
		return reply.build();
	}

	private Optional<CompletableFuture<PeerFrame.Builder>> handle(InboundLink link, PeerFrame frame) {
		HostId peer = link.host();
		addHosts(List.of(peer));
		incarnationSeen(link.peer().incarnation());
		// Before the renewal, so that a message cannot revive a lease that has expired.
		long now = this.clock.getAsLong();
		expireLeases(now);
		this.leases.renew(leaseLink(link), now - maxAgeNanos(frame, now));
		switch (frame.getMessageCase()) {
			case HOST_BEAT -> {
				return Optional.of(CompletableFuture
					.completedFuture(PeerFrame.newBuilder().setHostBeat(handleHeartbeat(frame.getHostBeat()))));
			}
			case SUBMIT_JOB -> {
				return Optional.of(handleSubmit(link, frame));
			}
			case QUERY_JOB -> {
				QueryJob query = frame.getQueryJob();
				return Optional.of(this.listener.jobQueried(JobId.of(query.getJobId()), query.getCancel())
					.thenApply((status) -> PeerFrame.newBuilder().setJobStatus(status)));
			}
			case QUERY_QUEUE -> {
				QueueStatus status = this.listener.queueQueried(frame.getQueryQueue().getQueue());
				return Optional.of(CompletableFuture.completedFuture(PeerFrame.newBuilder().setQueueStatus(status)));
			}
			case WITHDRAW_JOB -> {
				JobId job = JobId.of(frame.getWithdrawJob().getJobId());
				this.listener.jobWithdrawn(peer, job);
				answer(peer, job, JobMessages.toMessage(JobOutcome.ABANDONED, "the job was withdrawn", 0));
				return Optional.empty();
			}
			default -> {
				return Optional.of(CompletableFuture.failedFuture(DispatchException.of(ErrorKind.MALFORMED_REQUEST,
						Outcome.NOT_RUN, "message type " + frame.getMessageCase() + " is not supported")));
			}
		}
	}

	// Ends what concerns the former incarnation of a host before the first message of the
	// present one is carried out, since the loss of the link to the former one may be
	// noticed much later.
	private void incarnationSeen(Incarnation incarnation) {
		if (this.incarnations.seen(incarnation)) {
			this.heartbeatPlan.peerLost(incarnation.host());
			this.listener.incarnationEnded(incarnation.host());
			this.links.reopenToIncarnation(incarnation);
		}
	}

	private CompletableFuture<PeerFrame.Builder> handleSubmit(InboundLink link, PeerFrame frame) {
		CompletableFuture<PeerFrame.Builder> reply = new CompletableFuture<>();
		HostId peer = link.host();
		SubmitJob message = frame.getSubmitJob();
		this.listener.submissionReceived(link, message, maxAgeNanos(frame, this.clock.getAsLong()));
		JobId job = JobId.of(message.getJobId());
		CompletableFuture<PeerFrame.Builder> earlierReply = pendingRepliesTo(peer).put(job, reply);
		if (earlierReply != null) {
			earlierReply.completeExceptionally(
					DispatchException.of(ErrorKind.CANCELLED, Outcome.UNKNOWN, "the job was submitted again"));
		}
		this.leases.submitted(leaseLink(link), job);
		if (!this.listener.jobSubmitted(peer, message)) {
			this.leases.remove(peer, job);
			pendingRepliesTo(peer).remove(job);
			reply.completeExceptionally(
					DispatchException.of(ErrorKind.NOT_READY, Outcome.NOT_RUN, "this host is not the scheduler"));
		}
		return reply;
	}

	private static SubmissionLeases.Link leaseLink(InboundLink link) {
		return new SubmissionLeases.Link(link.host(), link.number());
	}

	// Returns when a host was last known to wait for a job that it submitted, 0 if it is
	// not known to wait.
	long lastWaitedNanos(HostId origin, JobId job) {
		return this.leases.provenNanos(origin, job);
	}

	// Returns when a host sent its newest read of the list of workers, 0 if unknown.
	@Override
	public long workersListedNanos(HostId host) {
		return this.workersListedNanos.getOrDefault(host, 0L);
	}

	private void workersListed(HostId host, HostBeat heartbeat) {
		this.workersListedNanos.put(host, heartbeat.hasWorkerListAgeMillis()
				? this.clock.getAsLong() - TimeUnit.MILLISECONDS.toNanos(heartbeat.getWorkerListAgeMillis()) : 0);
	}

	// Ends the jobs of hosts that this host has not heard for too long, since they may
	// have submitted them to another scheduler.
	void expireLeases(long nowNanos) {
		for (SubmissionLeases.Expired expired : this.leases.expire(nowNanos)) {
			this.listener.leaseExpired(expired.link(), expired.jobs());
		}
	}

	// Returns how long ago the peer can have sent a frame at most, 0 for a host of an
	// earlier version, which does not repeat the time of this host.
	private static long maxAgeNanos(PeerFrame frame, long nowNanos) {
		long provenNanos = frame.getAcceptorClockNanos();
		return (provenNanos != 0) ? nowNanos - provenNanos : 0;
	}

	private Map<JobId, CompletableFuture<PeerFrame.Builder>> pendingRepliesTo(HostId peer) {
		return this.pendingReplies.computeIfAbsent(peer, (key) -> new HashMap<>());
	}

	// Sends a host the result of its job.
	void answer(HostId peer, JobId job, JobResult result) {
		this.leases.remove(peer, job);
		CompletableFuture<PeerFrame.Builder> reply = pendingRepliesTo(peer).remove(job);
		if (reply != null) {
			reply.complete(PeerFrame.newBuilder().setJobResult(result));
		}
	}

	// Sends a host the same result for all of its jobs that have no reply yet.
	void answerAll(HostId peer, JobResult result) {
		List.copyOf(pendingRepliesTo(peer).keySet()).forEach((job) -> answer(peer, job, result));
	}

	@Override
	public CompletableFuture<JobResult> submit(HostId scheduler, SubmitJob job, long timeoutNanos) {
		JobId id = JobId.of(job.getJobId());
		CompletableFuture<PeerFrame> reply = this.links.request(scheduler, PeerFrame.newBuilder().setSubmitJob(job),
				timeoutNanos);
		this.submissions.put(id, reply);
		return reply.whenComplete((frame, failure) -> this.submissions.remove(id, reply))
			.thenApply(PeerFrame::getJobResult);
	}

	// The lease of the jobs that were submitted over a link lasts from a time that this
	// host received on the link.
	@Override
	public long heldUntilNanos(HostId scheduler) {
		return this.links.lastReceivedNanos(scheduler) + SubmissionLeases.DURATION_NANOS;
	}

	@Override
	public boolean hasEndedSince(HostId scheduler, long sinceNanos) {
		return this.links.endedNanos(scheduler) >= sinceNanos;
	}

	// Queries the state of a stored job at the scheduler, or requests its cancellation.
	CompletableFuture<JobStatus> query(HostId scheduler, JobId job, boolean cancel) {
		PeerFrame.Builder message = PeerFrame.newBuilder()
			.setQueryJob(QueryJob.newBuilder().setJobId(job.value()).setCancel(cancel));
		return this.links.request(scheduler, message, QUERY_TIMEOUT_NANOS).thenApply(PeerFrame::getJobStatus);
	}

	CompletableFuture<QueueStatus> query(HostId scheduler, String queue) {
		PeerFrame.Builder message = PeerFrame.newBuilder().setQueryQueue(QueryQueue.newBuilder().setQueue(queue));
		return this.links.request(scheduler, message, QUERY_TIMEOUT_NANOS).thenApply(PeerFrame::getQueueStatus);
	}

	@Override
	public void withdraw(HostId scheduler, JobId job) {
		CompletableFuture<PeerFrame> submission = this.submissions.remove(job);
		if (submission != null) {
			submission.cancel(false);
		}
		// Later messages renew the lease of the job, so the withdrawal must not be lost
		// while the link is up. There is at most one for each submission.
		PeerFrame.Builder message = PeerFrame.newBuilder()
			.setWithdrawJob(WithdrawJob.newBuilder().setJobId(job.value()));
		this.links.sendUnlessDown(scheduler, message).whenComplete((sent, failure) -> {
			if (failure != null) {
				this.listener.withdrawalNotSent(scheduler, job, failure.getMessage());
			}
		});
	}

	// Returns a heartbeat with the state of this host and the digest of its known hosts,
	// but without the configuration and its version.
	HostBeat.Builder newHeartbeat(HostState state) {
		return HostBeat.newBuilder()
			.setIncarnation(IncarnationId.newBuilder().setHost(this.self.host().value()).setNumber(this.self.number()))
			.setDataCentre(state.dataCentre().value())
			.setLeaving(state.leaving())
			.setReady(state.ready())
			.setOverloaded(state.overloaded())
			.setCpuMillis(state.cpuMillis())
			.setSchedulerToken(state.schedulerToken().value())
			.setWholeScope(state.allDataCentres())
			.setKnownHostsDigest(linkedHosts().stream().mapToInt(String::hashCode).sum());
	}

	private List<String> linkedHosts() {
		return Stream
			.concat(Stream.of(this.settings.host()), this.heartbeatPlan.peers().stream().filter(this.links::isUp))
			.map(HostId::value)
			.toList();
	}

	static ByteString toByteString(byte[] text) {
		return (text != null) ? ByteString.copyFrom(text) : ByteString.EMPTY;
	}

	void close() {
		this.links.close();
		this.server.close();
	}

	private final class LinkObserver implements PeerMetrics {

		// A host that starts learns from the replies which host schedules, so it does not
		// wait for the next round of heartbeats.
		@Override
		public void linkUp(Incarnation peer) {
			incarnationSeen(peer);
			sendHeartbeat(peer.host(), FleetPeers.this.listener.heartbeat(OMIT_CONFIGURATION));
		}

		@Override
		public void staleMessage(InboundLink link, PeerFrame.MessageCase message, long maxAgeNanos) {
			// In a large fleet most links are idle between two heartbeats, so that each
			// heartbeat is refused and sent again with the current time.
			if (message != PeerFrame.MessageCase.HOST_BEAT) {
				FleetPeers.this.listener.staleMessage(link, message.name(), maxAgeNanos);
			}
		}

		@Override
		public void linkDown(Incarnation peer) {
			if (FleetPeers.this.incarnations.isPresent(peer)) {
				FleetPeers.this.heartbeatPlan.peerLost(peer.host());
				FleetPeers.this.listener.linkLost(peer.host());
			}
		}

	}

}
