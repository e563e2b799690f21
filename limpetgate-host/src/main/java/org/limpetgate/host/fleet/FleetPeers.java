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
import org.limpetgate.fleet.BeatPlan;
import org.limpetgate.fleet.HostState;
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

/**
 * The links to the other entry hosts: beats to those of the {@link BeatPlan}, and jobs on
 * their way to and from the scheduler.
 * <p>
 * Not thread-safe; used on the event loop.
 */
final class FleetPeers implements JobTransport {

	private static final String KEY_ID = "fleet";

	/** Of a beat; a later one is due by then. */
	private static final long BEAT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

	/** A cancellation is answered when it is saved. */
	private static final long QUERY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

	private static final long HANDSHAKE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	/** Beats show a silent link much sooner; probes only end a half-open one. */
	private static final long PROBE_NANOS = TimeUnit.SECONDS.toNanos(4);

	private static final long MAX_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	private final FleetSettings settings;

	private final Incarnation self;

	private final LongSupplier clock;

	private final Listener listener;

	private final PeerLinks links;

	private final PeerServer server;

	private final BeatPlan plan = new BeatPlan();

	/** Results that other hosts wait for. */
	private final Map<HostId, Map<JobId, CompletableFuture<PeerFrame.Builder>>> awaited = new HashMap<>();

	private FleetPeers(EventLoopGroup group, FleetSettings settings, Incarnation self, LongSupplier clock,
			Listener listener) {
		this.settings = settings;
		this.self = self;
		this.clock = clock;
		this.listener = listener;
		PeerSettings peerSettings = PeerSettings
			.of(new PeerIdentity(self, settings.dataCentre()), PeerKeys.of(KEY_ID, Map.of(KEY_ID, settings.peerKey())))
			.withLimits(PeerLimits.defaults().withTimes(HANDSHAKE_NANOS, PROBE_NANOS, MAX_BACKOFF_NANOS))
			.withMetrics(new LinkObserver());
		this.links = PeerLinks.of(group, peerSettings, new SplittableRandom(self.number()));
		this.server = PeerServer.start(group, settings.peerAddress(), peerSettings,
				(peer, frame) -> handle(peer.host(), frame));
	}

	static FleetPeers start(EventLoopGroup group, FleetSettings settings, Incarnation self, LongSupplier clock,
			Listener listener) {
		return new FleetPeers(group, settings, self, clock, listener);
	}

	// Adds hosts to talk to.
	void learn(List<HostId> hosts) {
		boolean added = false;
		for (HostId host : hosts) {
			added |= !host.equals(this.settings.host()) && this.plan.learn(host);
		}
		if (added) {
			this.links.configure(this.plan.hosts().stream().map(FleetPeers::address).toList());
		}
	}

	private static PeerAddress address(HostId host) {
		int colon = host.value().lastIndexOf(':');
		return new PeerAddress(host, new InetSocketAddress(host.value().substring(0, colon),
				Integer.parseInt(host.value().substring(colon + 1))));
	}

	// Closes a link that has gone silent and opens a new one.
	void drop(HostId host) {
		this.plan.lost(host);
		if (this.links.isUp(host)) {
			this.links.cut(host);
			this.links.restore(host);
		}
	}

	// Sends the state of this host to the peers whose turn it is, and returns these.
	Set<HostId> beat(HostState state) {
		Set<HostId> targets = this.plan.next(!state.claim().isNone());
		HostBeat beat = this.listener.beat(Long.MAX_VALUE);
		for (HostId host : targets) {
			if (this.links.isUp(host)) {
				this.links.request(host, PeerFrame.newBuilder().setHostBeat(beat), BEAT_TIMEOUT_NANOS)
					.thenAccept((reply) -> answered(reply.getHostBeat()));
			}
		}
		return targets;
	}

	private void answered(HostBeat beat) {
		HostState state = stateOf(beat);
		this.plan.heard(state);
		learn(beat.getKnownHostsList().stream().map(HostId::of).toList());
		this.listener.heard(state, this.clock.getAsLong());
		if (!beat.getConfiguration().isEmpty()) {
			this.listener.configurationOffered(beat.getConfiguration().toByteArray());
		}
	}

	private static HostState stateOf(HostBeat beat) {
		IncarnationId id = beat.getIncarnation();
		return new HostState(Incarnation.of(HostId.of(id.getHost()), id.getNumber()),
				DataCentreId.of(beat.getDataCentre()), beat.getLeaving(), beat.getReady(), beat.getOverloaded(),
				beat.getCpuMillis(), new FencingToken(beat.getSchedulerToken()), beat.getWholeScope());
	}

	private HostBeat received(HostBeat beat) {
		HostState state = stateOf(beat);
		this.plan.heard(state);
		this.listener.received(state, this.clock.getAsLong());
		HostBeat.Builder reply = this.listener.beat(beat.getConfigurationVersion()).toBuilder();
		if (beat.getKnownHostsDigest() != reply.getKnownHostsDigest()) {
			reply.addAllKnownHosts(linkedHosts());
		}
		return reply.build();
	}

	private Optional<CompletableFuture<PeerFrame.Builder>> handle(HostId peer, PeerFrame frame) {
		learn(List.of(peer));
		switch (frame.getMessageCase()) {
			case HOST_BEAT -> {
				return Optional.of(CompletableFuture
					.completedFuture(PeerFrame.newBuilder().setHostBeat(received(frame.getHostBeat()))));
			}
			case SUBMIT_JOB -> {
				return Optional.of(submitted(peer, frame.getSubmitJob()));
			}
			case QUERY_JOB -> {
				QueryJob query = frame.getQueryJob();
				return Optional.of(this.listener.queried(JobId.of(query.getJobId()), query.getCancel())
					.thenApply((status) -> PeerFrame.newBuilder().setJobStatus(status)));
			}
			case QUERY_QUEUE -> {
				QueueStatus status = this.listener.queueQueried(frame.getQueryQueue().getQueue());
				return Optional.of(CompletableFuture.completedFuture(PeerFrame.newBuilder().setQueueStatus(status)));
			}
			case WITHDRAW_JOB -> {
				JobId job = JobId.of(frame.getWithdrawJob().getJobId());
				awaitedBy(peer).remove(job);
				this.listener.withdrawn(peer, job);
				return Optional.empty();
			}
			default -> {
				return Optional.of(CompletableFuture.failedFuture(DispatchException.of(ErrorKind.MALFORMED_REQUEST,
						Outcome.NOT_RUN, "message " + frame.getMessageCase() + " is not known here")));
			}
		}
	}

	private CompletableFuture<PeerFrame.Builder> submitted(HostId peer, SubmitJob message) {
		CompletableFuture<PeerFrame.Builder> reply = new CompletableFuture<>();
		JobId job = JobId.of(message.getJobId());
		awaitedBy(peer).put(job, reply);
		if (!this.listener.submitted(peer, message)) {
			awaitedBy(peer).remove(job);
			reply.completeExceptionally(
					DispatchException.of(ErrorKind.NOT_READY, Outcome.NOT_RUN, "this host does not schedule"));
		}
		return reply;
	}

	private Map<JobId, CompletableFuture<PeerFrame.Builder>> awaitedBy(HostId peer) {
		return this.awaited.computeIfAbsent(peer, (key) -> new HashMap<>());
	}

	// Tells a host how its job ended.
	void answer(HostId peer, JobId job, JobResult result) {
		CompletableFuture<PeerFrame.Builder> reply = awaitedBy(peer).remove(job);
		if (reply != null) {
			reply.complete(PeerFrame.newBuilder().setJobResult(result));
		}
	}

	// Tells a host that none of its jobs is worked on any more.
	void release(HostId peer, JobResult result) {
		List.copyOf(awaitedBy(peer).keySet()).forEach((job) -> answer(peer, job, result));
	}

	@Override
	public CompletableFuture<JobResult> submit(HostId scheduler, SubmitJob job, long timeoutNanos) {
		return this.links.request(scheduler, PeerFrame.newBuilder().setSubmitJob(job), timeoutNanos)
			.thenApply(PeerFrame::getJobResult);
	}

	// Asks the scheduler for a stored job, or cancels it.
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
		this.links.send(scheduler,
				PeerFrame.newBuilder().setWithdrawJob(WithdrawJob.newBuilder().setJobId(job.value())));
	}

	// The beat of this host without its variable parts.
	HostBeat.Builder newBeat(HostState state) {
		return HostBeat.newBuilder()
			.setIncarnation(IncarnationId.newBuilder().setHost(this.self.host().value()).setNumber(this.self.number()))
			.setDataCentre(state.dataCentre().value())
			.setLeaving(state.leaving())
			.setReady(state.ready())
			.setOverloaded(state.overloaded())
			.setCpuMillis(state.cpuMillis())
			.setSchedulerToken(state.claim().value())
			.setWholeScope(state.whole())
			.setKnownHostsDigest(linkedHosts().stream().mapToInt(String::hashCode).sum());
	}

	private List<String> linkedHosts() {
		return Stream.concat(Stream.of(this.settings.host()), this.plan.hosts().stream().filter(this.links::isUp))
			.map(HostId::value)
			.toList();
	}

	static ByteString bytes(byte[] text) {
		return (text != null) ? ByteString.copyFrom(text) : ByteString.EMPTY;
	}

	void close() {
		this.links.close();
		this.server.close();
	}

	/** What the host does with messages of its peers. */
	interface Listener {

		HostBeat beat(long versionOfPeer);

		// A peer has answered a beat.
		void heard(HostState state, long nowNanos);

		// A beat of a peer has arrived.
		void received(HostState state, long nowNanos);

		void lost(HostId peer);

		void configurationOffered(byte[] text);

		boolean submitted(HostId peer, SubmitJob job);

		void withdrawn(HostId peer, JobId job);

		CompletableFuture<JobStatus> queried(JobId job, boolean cancel);

		QueueStatus queueQueried(String queue);

	}

	private final class LinkObserver implements PeerMetrics {

		@Override
		public void linkDown(HostId peer) {
			FleetPeers.this.plan.lost(peer);
			FleetPeers.this.listener.lost(peer);
		}

	}

}
