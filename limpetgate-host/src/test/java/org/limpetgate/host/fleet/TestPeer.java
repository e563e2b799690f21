package org.limpetgate.host.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.JobId;
import org.limpetgate.fleet.DataCentreDrains;
import org.limpetgate.fleet.HostState;
import org.limpetgate.fleet.SubmissionLeases;
import org.limpetgate.net.peer.InboundLink;
import org.limpetgate.proto.HostBeat;
import org.limpetgate.proto.JobStatus;
import org.limpetgate.proto.QueueStatus;
import org.limpetgate.proto.SubmitJob;
import org.limpetgate.scheduling.FencingToken;
import org.limpetgate.scheduling.SchedulerSettings;

/**
 * The links of a host that keeps each job that is submitted to it until the job is
 * withdrawn or its lease expires.
 * <p>
 * Sends heartbeats like a {@link FleetHost}. Thread-safe: the state is confined to the
 * event loop.
 */
final class TestPeer implements AutoCloseable {

	private static final long HEARTBEAT_INTERVAL_MILLIS = 200;

	private static final long TICK_INTERVAL_MILLIS = 20;

	private static final int CPU_MILLIS = 500;

	private static final int PEER_KEY_BYTES = 32;

	private static final DataCentreId DATA_CENTRE = DataCentreId.of("first");

	private final EventLoopGroup group;

	private final EventLoop loop;

	private final Incarnation self;

	private final FleetPeers peers;

	private final Set<JobId> jobs = new HashSet<>();

	private final List<String> refusedMessages = new ArrayList<>();

	private int heartbeatsReceived;

	TestPeer(InetSocketAddress address, HostId peer, UnaryOperator<InetSocketAddress> route, LongSupplier clock) {
		this.group = new RoutedEventLoopGroup(route);
		this.loop = this.group.next();
		FleetSettings settings = new FleetSettings(DATA_CENTRE, address, List.of(peer), CPU_MILLIS,
				new byte[PEER_KEY_BYTES], SchedulerSettings.of(1, 1000, 40, 1.5));
		this.self = Incarnation.of(settings.host(), 1);
		this.peers = FleetPeers.start(this.group, settings, this.self, clock, new Listener());
		onLoop(() -> this.peers.addHosts(List.of(peer)));
		this.loop.scheduleAtFixedRate(() -> this.peers.sendHeartbeats(state()), HEARTBEAT_INTERVAL_MILLIS,
				HEARTBEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(() -> this.peers.expireLeases(clock.getAsLong()), TICK_INTERVAL_MILLIS,
				TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private HostState state() {
		return new HostState(this.self, DATA_CENTRE, false, true, false, CPU_MILLIS, FencingToken.NONE, true);
	}

	HostId id() {
		return this.self.host();
	}

	// Submits jobs and then withdraws others, before the event loop does anything else.
	void submitAndWithdraw(HostId scheduler, List<SubmitJob> submitted, List<JobId> withdrawn) {
		onLoop(() -> {
			submitted.forEach((job) -> this.peers.submit(scheduler, job, TimeUnit.MINUTES.toNanos(1)));
			withdrawn.forEach((job) -> this.peers.withdraw(scheduler, job));
		});
	}

	// Tests whether this host may still act on a job of another host.
	boolean keeps(JobId job) {
		return this.loop.submit(() -> this.jobs.contains(job)).syncUninterruptibly().getNow();
	}

	int heartbeatsReceived() {
		return this.loop.submit(() -> this.heartbeatsReceived).syncUninterruptibly().getNow();
	}

	// Returns the types of the messages that were refused as too old, heartbeats
	// excepted.
	List<String> refusedMessages() {
		return this.loop.submit(() -> List.copyOf(this.refusedMessages)).syncUninterruptibly().getNow();
	}

	private void onLoop(Runnable task) {
		this.loop.submit(task).syncUninterruptibly();
	}

	@Override
	public void close() {
		onLoop(this.peers::close);
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private final class Listener implements PeerEvents {

		@Override
		public HostBeat heartbeat(long peerVersion) {
			return TestPeer.this.peers.newHeartbeat(state()).build();
		}

		@Override
		public void heartbeatAnswered(HostState state, long sentNanos, long nowNanos) {
		}

		@Override
		public void heartbeatReceived(HostState state, long nowNanos) {
			TestPeer.this.heartbeatsReceived++;
		}

		@Override
		public void drainsReceived(DataCentreDrains drains) {
		}

		@Override
		public void peersAdded(Set<HostId> known) {
		}

		@Override
		public void linkLost(HostId peer) {
		}

		@Override
		public void incarnationEnded(HostId peer) {
		}

		@Override
		public void leaseExpired(SubmissionLeases.Link link, List<JobId> expired) {
			TestPeer.this.jobs.removeAll(expired);
		}

		@Override
		public void configurationOffered(byte[] text) {
		}

		@Override
		public void staleMessage(InboundLink link, String message, long maxAgeNanos) {
			TestPeer.this.refusedMessages.add(message);
		}

		@Override
		public void submissionReceived(InboundLink link, SubmitJob job, long maxAgeNanos) {
		}

		@Override
		public boolean jobSubmitted(HostId peer, SubmitJob job) {
			return TestPeer.this.jobs.add(JobId.of(job.getJobId()));
		}

		@Override
		public void jobWithdrawn(HostId peer, JobId job) {
			TestPeer.this.jobs.remove(job);
		}

		@Override
		public void withdrawalNotSent(HostId scheduler, JobId job, String reason) {
		}

		@Override
		public CompletableFuture<JobStatus> jobQueried(JobId job, boolean cancel) {
			throw new UnsupportedOperationException();
		}

		@Override
		public QueueStatus queueQueried(String queue) {
			throw new UnsupportedOperationException();
		}

	}

}
