package org.limpetgate.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.fleet.DataCentreDrains;
import org.limpetgate.fleet.HostState;
import org.limpetgate.fleet.SubmissionLeases.Link;
import org.limpetgate.scheduling.FleetLink.LinkEnd;
import org.limpetgate.scheduling.FleetMessage.Frame;
import org.limpetgate.scheduling.FleetMessage.Heartbeat;
import org.limpetgate.scheduling.FleetMessage.Hello;
import org.limpetgate.scheduling.FleetMessage.JobResult;
import org.limpetgate.scheduling.FleetMessage.Refusal;
import org.limpetgate.scheduling.FleetMessage.SubmitJob;
import org.limpetgate.scheduling.FleetMessage.WithdrawJob;

/**
 * The links of a host of {@link FleetSimulation} to the other hosts. Follows
 * {@code org.limpetgate.host.fleet.FleetPeers} for fleets in which every host sends
 * heartbeats to all others. Not thread-safe.
 */
final class SimulatedPeers {

	private static final long HEARTBEAT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

	private final SimulatedHost host;

	private final Listener listener;

	private final SubmissionRules rules;

	private final Map<String, OutgoingLink> links = new TreeMap<>();

	/** The submissions of this host that have no reply yet. */
	private final Map<JobId, CompletableFuture<FleetMessage>> submissions = new HashMap<>();

	/** The replies that have not been sent to other hosts yet, by host and job. */
	private final Map<String, Map<JobId, InboundConnection.Reply>> pendingReplies = new TreeMap<>();

	/** The newest link that each host opened. */
	private final Map<HostId, InboundConnection> newestConnections = new TreeMap<>();

	private long nextLinkNumber;

	/** When all workers that each host used last were listed. */
	private final Map<HostId, Long> workersListedNanos = new HashMap<>();

	SimulatedPeers(SimulatedHost host, List<String> peers, FleetNetwork network, SubmissionRules rules,
			Listener listener) {
		this.host = host;
		this.listener = listener;
		this.rules = rules;
		peers.forEach((peer) -> this.links.put(peer, new OutgoingLink(host, peer, network, listener::linkLost)));
	}

	void start() {
		this.links.values().forEach(OutgoingLink::connect);
	}

	void reconnect(HostId peer) {
		this.links.get(peer.value()).reconnect();
	}

	// Sends a heartbeat to all connected peers and returns all peers.
	Set<HostId> sendHeartbeats(HostState state) {
		Set<HostId> targets = new HashSet<>();
		long sentNanos = this.host.clockNanos();
		this.links.forEach((peer, link) -> {
			targets.add(HostId.of(peer));
			if (link.isUp()) {
				link.request(newHeartbeat(state), HEARTBEAT_TIMEOUT_NANOS).thenAccept((reply) -> {
					heartbeatReceived((Heartbeat) reply);
					this.listener.heartbeatAnswered(((Heartbeat) reply).state(), sentNanos);
				});
			}
		});
		return targets;
	}

	private Heartbeat newHeartbeat(HostState state) {
		return new Heartbeat(state, this.listener.drains(), this.host.clockNanos() - this.host.workersListedNanos());
	}

	private void heartbeatReceived(Heartbeat heartbeat) {
		this.listener.drainsReceived(heartbeat.drains());
		this.workersListedNanos.put(heartbeat.state().host(), this.host.clockNanos() - heartbeat.listAgeNanos());
	}

	// Returns when all workers that a host used last were listed, 0 if nothing is known.
	long workersListedNanos(HostId peer) {
		return this.workersListedNanos.getOrDefault(peer, 0L);
	}

	CompletableFuture<JobResult> submit(HostId scheduler, SubmitJob job, long timeoutNanos) {
		JobId id = job.spec().id();
		CompletableFuture<FleetMessage> reply = this.links.get(scheduler.value()).request(job, timeoutNanos);
		this.submissions.put(id, reply);
		CompletableFuture<JobResult> result = new CompletableFuture<>();
		reply.whenComplete((message, failure) -> {
			this.submissions.remove(id, reply);
			if (failure != null) {
				result.completeExceptionally(failure);
			}
			else {
				result.complete((JobResult) message);
			}
		});
		return result;
	}

	void withdraw(HostId scheduler, JobId job) {
		CompletableFuture<FleetMessage> submission = this.submissions.remove(job);
		if (submission != null) {
			submission.cancel(false);
		}
		OutgoingLink link = this.links.get(scheduler.value());
		boolean dropped = link.isFull() && this.rules.dropsWithdrawalsOnFullLinks();
		if (dropped || !link.send(new WithdrawJob(job))) {
			this.host.trace().job(job, "drops the withdrawal to " + scheduler);
		}
	}

	long newestReplyNanos(HostId peer) {
		return this.links.get(peer.value()).newestReplyNanos();
	}

	LinkEnd accept(FleetLink link) {
		return new InboundConnection(link);
	}

	// Sends a host the result of its job.
	void answer(HostId peer, JobId job, JobResult result) {
		InboundConnection.Reply reply = pendingRepliesTo(peer.value()).remove(job);
		this.rules.remove(peer, job);
		if (reply != null) {
			reply.send(result);
		}
	}

	// Sends a host the same result for all of its jobs that have no reply yet.
	void answerAll(String peer, JobResult result) {
		List.copyOf(pendingRepliesTo(peer).keySet()).forEach((job) -> answer(HostId.of(peer), job, result));
	}

	private Map<JobId, InboundConnection.Reply> pendingRepliesTo(String peer) {
		return this.pendingReplies.computeIfAbsent(peer, (key) -> new TreeMap<>());
	}

	// Leaves only the newest link of a host, even if an older one completes its handshake
	// later.
	private void closeSuperseded(InboundConnection authenticated) {
		if (!this.rules.closesSupersededLinks()) {
			return;
		}
		HostId peer = authenticated.accepted.origin();
		InboundConnection newest = this.newestConnections.get(peer);
		if (newest != null && newest.number > authenticated.number) {
			authenticated.close();
			return;
		}
		this.newestConnections.put(peer, authenticated);
		if (newest != null) {
			newest.close();
		}
	}

	/** Handles the messages of peers. */
	interface Listener {

		HostState state();

		DataCentreDrains drains();

		void drainsReceived(DataCentreDrains drains);

		// Called before a message of a peer is carried out.
		void expireLeases();

		void heartbeatAnswered(HostState state, long sentNanos);

		void heartbeatReceived(HostState state);

		void linkLost(String peer, String reason);

		boolean jobSubmitted(HostId peer, SubmitJob job);

		void jobWithdrawn(HostId peer, JobId job);

	}

	/** The accepting side of a link, which receives requests and one-way messages. */
	private final class InboundConnection implements LinkEnd {

		private final FleetLink link;

		private final long number = SimulatedPeers.this.nextLinkNumber++;

		/** Set when the opener has passed the handshake. */
		private Link accepted;

		private boolean ended;

		InboundConnection(FleetLink link) {
			this.link = link;
		}

		@Override
		public void received(Frame frame) {
			SimulatedPeers.this.host.handle(() -> {
				if (!this.ended) {
					handle(frame);
				}
			});
		}

		@Override
		public void closed() {
			SimulatedPeers.this.host.handle(this::close);
		}

		private void close() {
			if (!this.ended) {
				this.ended = true;
				this.link.closeByAcceptor();
			}
		}

		private void handle(Frame frame) {
			if (frame.message() instanceof Hello hello) {
				if (hello.last()) {
					this.accepted = new Link(HostId.of(hello.host()), this.number);
					closeSuperseded(this);
				}
				write(new Hello(false, SimulatedPeers.this.host.name(), hello.last()), 0);
				return;
			}
			if (!SimulatedPeers.this.rules.isTimely(frame.echoedNanos(), SimulatedPeers.this.host.clockNanos())) {
				refuse(frame, "the message is late");
				return;
			}
			SimulatedPeers.this.listener.expireLeases();
			SimulatedPeers.this.rules.renew(this.accepted, frame.echoedNanos());
			if (frame.message() instanceof Heartbeat heartbeat) {
				SimulatedPeers.this.heartbeatReceived(heartbeat);
				SimulatedPeers.this.listener.heartbeatReceived(heartbeat.state());
				write(newHeartbeat(SimulatedPeers.this.listener.state()), frame.correlationId());
			}
			else if (frame.message() instanceof SubmitJob job) {
				handleSubmit(frame, job);
			}
			else if (frame.message() instanceof WithdrawJob withdrawal) {
				handleWithdrawal(withdrawal.job());
			}
		}

		private void refuse(Frame frame, String reason) {
			FleetTrace.Writer trace = SimulatedPeers.this.host.trace();
			trace.event("refuses a message of " + this.accepted.origin() + ": " + reason);
			if (frame.message() instanceof WithdrawJob withdrawal) {
				trace.job(withdrawal.job(), "refuses the withdrawal of " + this.accepted.origin());
			}
			if (frame.correlationId() != 0) {
				write(new Refusal(reason, true), frame.correlationId());
			}
			else {
				write(new Hello(false, SimulatedPeers.this.host.name(), true), 0);
			}
		}

		private void handleSubmit(Frame frame, SubmitJob message) {
			JobId job = message.spec().id();
			HostId peer = this.accepted.origin();
			pendingRepliesTo(peer.value()).put(job, new Reply(frame.correlationId()));
			if (SimulatedPeers.this.listener.jobSubmitted(peer, message)) {
				SimulatedPeers.this.rules.submitted(this.accepted, job);
			}
			else {
				pendingRepliesTo(peer.value()).remove(job);
				write(new Refusal("this host is not the scheduler", false), frame.correlationId());
			}
		}

		private void handleWithdrawal(JobId job) {
			HostId peer = this.accepted.origin();
			SimulatedPeers.this.host.trace().job(job, "receives the withdrawal of " + peer);
			SimulatedPeers.this.rules.remove(peer, job);
			pendingRepliesTo(peer.value()).remove(job);
			SimulatedPeers.this.listener.jobWithdrawn(peer, job);
		}

		private void write(FleetMessage message, long correlationId) {
			if (!this.ended) {
				this.link.sendToOpener(new Frame(message, correlationId, SimulatedPeers.this.host.clockNanos(), 0));
			}
		}

		/** A reply to a submission that is sent later. */
		private final class Reply {

			private final long correlationId;

			Reply(long correlationId) {
				this.correlationId = correlationId;
			}

			void send(JobResult result) {
				write(result, this.correlationId);
			}

		}

	}

}
