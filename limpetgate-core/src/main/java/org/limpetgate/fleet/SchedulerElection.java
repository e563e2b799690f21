package org.limpetgate.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.scheduling.FencingToken;

/**
 * Elects the host that schedules, from the view of one host.
 * <p>
 * Every host decides independently from the states that its live peers sent. Two hosts
 * may schedule at the same time for a while. The fencing tokens of the workers make that
 * safe, and the host with the lower scheduler token stops once it receives the higher
 * one. A host that reaches neither half of the known hosts nor more than half of their
 * data centres schedules on the workers of its own data centre only, and only if it
 * reaches half of the hosts there.
 * <p>
 * A live peer answers the heartbeats of this host, so messages pass in both directions. A
 * peer whose heartbeats arrive but that does not answer those of this host counts as
 * reachable, but neither as the scheduler nor as a candidate.
 * <p>
 * Not thread-safe.
 */
public final class SchedulerElection {

	/**
	 * A peer counts as lost when it has not answered, and as unreachable when it has
	 * neither answered nor sent a heartbeat, for longer than this.
	 */
	static final long HEARTBEAT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

	/** A lost peer still counts as a known host for this long. */
	private static final long LOST_PEER_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(8);

	/**
	 * How long the scheduler of one data centre waits after a partition has healed before
	 * it schedules for all of them. In this time it hears of a scheduler that has served
	 * the others all along, and gives way to it.
	 */
	private static final long WIDER_SCOPE_DELAY_NANOS = HEARTBEAT_TIMEOUT_NANOS;

	/** How long there must be no active scheduler before a new one is elected. */
	private static final long VACANCY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(120);

	// The longest time between the readiness of this host and its first activation. Its
	// links open one after the other while the process is still warming up, and its
	// new, higher scheduler token would replace a scheduler that it does not know of
	// yet. The delay ends early once no known peer can be a scheduler without this
	// host knowing it.
	private static final long STARTUP_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

	private final Map<HostId, Peer> peers = new HashMap<>();

	/** The peers of the fleet, null until their list is known. */
	private Set<HostId> knownPeers;

	/** The peers that did not run when this host tried to connect to them. */
	private final Set<HostId> endedPeers = new HashSet<>();

	/** When this host was first ready, 0 before. */
	private long readyNanos;

	private long vacantSinceNanos;

	private boolean vacant;

	/**
	 * Since when this host, which schedules for its data centre only, could schedule for
	 * all of them, 0 if it cannot.
	 */
	private long widerScopeNanos;

	/**
	 * Records the state in a peer's answer to a heartbeat of this host.
	 * @param state the state, not null
	 * @param sentNanos when the heartbeat was sent, nanoseconds since the Unix epoch
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 */
	public void answerReceived(HostState state, long sentNanos, long nowNanos) {
		Peer peer = peer(state);
		peer.answeredNanos = nowNanos;
		peer.answeredHeartbeatNanos = Math.max(peer.answeredHeartbeatNanos, sentNanos);
		peer.lost = false;
	}

	/**
	 * Records the state in a heartbeat that a peer sent.
	 * @param state the state, not null
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 */
	public void heartbeatReceived(HostState state, long nowNanos) {
		peer(state).heartbeatNanos = nowNanos;
	}

	private Peer peer(HostState state) {
		Peer peer = this.peers.computeIfAbsent(state.host(), (host) -> new Peer());
		peer.state = state;
		return peer;
	}

	/**
	 * Sets the peers to which heartbeats are sent from now on. Only these can time out.
	 * @param hosts the peers, not null
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 */
	public void setHeartbeatTargets(Set<HostId> hosts, long nowNanos) {
		this.peers.forEach((host, peer) -> {
			boolean isTarget = hosts.contains(host);
			if (isTarget && !peer.heartbeatTarget) {
				peer.targetSinceNanos = nowNanos;
			}
			peer.heartbeatTarget = isTarget;
		});
	}

	/**
	 * Sets the peers of the fleet, as the directory and other hosts list them.
	 * @param hosts the peers, reachable or not, not null
	 */
	public void setKnownPeers(Set<HostId> hosts) {
		this.knownPeers = Set.copyOf(hosts);
	}

	/**
	 * Records that no process runs at the address of a peer. If the peer starts later, it
	 * contacts this host before it can become the scheduler.
	 * @param host the peer, not null
	 */
	public void peerEnded(HostId host) {
		this.endedPeers.add(host);
	}

	/**
	 * Records that the link to a peer is broken.
	 * @param host the peer, not null
	 */
	public void peerLost(HostId host) {
		Peer peer = this.peers.get(host);
		if (peer != null) {
			peer.lost = true;
			peer.heartbeatNanos = 0;
		}
	}

	/**
	 * Returns the peers that have timed out, that is, have not answered heartbeats for
	 * too long. Each is returned once and counts as lost from then on.
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return the peers, not null
	 */
	public List<HostId> detectTimedOutPeers(long nowNanos) {
		List<HostId> timedOutPeers = this.peers.values()
			.stream()
			.filter((peer) -> !peer.lost && peer.heartbeatTarget
					&& nowNanos - Math.max(peer.answeredNanos, peer.targetSinceNanos) > HEARTBEAT_TIMEOUT_NANOS)
			.map((peer) -> peer.state.host())
			.toList();
		timedOutPeers.forEach(this::peerLost);
		return timedOutPeers;
	}

	private static boolean isLive(Peer peer, long nowNanos) {
		return !peer.lost && nowNanos - peer.answeredNanos <= HEARTBEAT_TIMEOUT_NANOS;
	}

	private static boolean isReachable(Peer peer, long nowNanos) {
		return isLive(peer, nowNanos) || nowNanos - peer.heartbeatNanos <= HEARTBEAT_TIMEOUT_NANOS;
	}

	/**
	 * Decides which host schedules.
	 * @param self the state of this host, not null
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return the decision, not null
	 */
	public Decision decide(HostState self, long nowNanos) {
		this.peers.values()
			.removeIf(
					(peer) -> nowNanos - Math.max(peer.answeredNanos, peer.heartbeatNanos) > LOST_PEER_RETENTION_NANOS);
		if (self.ready() && this.readyNanos == 0) {
			this.readyNanos = nowNanos;
		}
		boolean allDataCentres = mayOwnAllDataCentres(self, nowNanos) && !staysInItsDataCentre(self, nowNanos);
		HostState scheduler = liveHosts(self, nowNanos).filter((state) -> !state.schedulerToken().isNone())
			.max(schedulerOrder())
			.orElse(null);
		boolean hasEligibleScheduler = scheduler != null && isEligible(scheduler);
		if (hasEligibleScheduler
				|| (scheduler != null && scheduler.host().equals(self.host()) && !hasOtherCandidate(self, nowNanos))) {
			this.vacant = false;
			return new Decision(scheduler.host(), false, allDataCentres);
		}
		if (!this.vacant) {
			this.vacant = true;
			this.vacantSinceNanos = nowNanos;
		}
		boolean mayBecomeScheduler = (allDataCentres || reachesHalfOfDataCentre(self, nowNanos)) && isSettled(nowNanos)
				&& nowNanos - this.vacantSinceNanos >= ((scheduler != null) ? 0 : VACANCY_DELAY_NANOS);
		boolean firstCandidate = liveHosts(self, nowNanos).filter(HostState::ready)
			.min(candidateOrder())
			.map((state) -> state.host().equals(self.host()))
			.orElse(false);
		HostId schedulerHost = (scheduler != null) ? scheduler.host() : null;
		return new Decision(schedulerHost, mayBecomeScheduler && firstCandidate, allDataCentres);
	}

	/**
	 * Tests whether the start-up delay of this host is over.
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return true if it is over, false also before the host is ready
	 */
	public boolean isSettled(long nowNanos) {
		return this.readyNanos != 0 && (nowNanos - this.readyNanos >= STARTUP_DELAY_NANOS || areAllPeersAccountedFor());
	}

	// Each peer must have answered a heartbeat that was sent when this host was ready, or
	// have been found not to run. Of two hosts that start at the same time, at least one
	// then knows that the other one is ready, so that not both become the scheduler.
	private boolean areAllPeersAccountedFor() {
		return this.knownPeers != null && this.knownPeers.stream().allMatch(this::isAccountedFor);
	}

	private boolean isAccountedFor(HostId host) {
		Peer peer = this.peers.get(host);
		if (peer == null) {
			return this.endedPeers.contains(host);
		}
		return peer.answeredHeartbeatNanos >= this.readyNanos;
	}

	private static boolean isEligible(HostState state) {
		return !state.leaving() && !state.overloaded();
	}

	private boolean hasOtherCandidate(HostState self, long nowNanos) {
		return liveHosts(self, nowNanos)
			.anyMatch((state) -> !state.host().equals(self.host()) && state.ready() && isEligible(state));
	}

	private static Comparator<HostState> schedulerOrder() {
		return Comparator.comparing(SchedulerElection::isEligible)
			.thenComparing(HostState::allDataCentres)
			.thenComparing(HostState::schedulerToken);
	}

	// Orders hosts by processor share, largest first, with the hosts that should not
	// schedule last.
	static Comparator<HostState> candidateOrder() {
		return Comparator.<HostState, Boolean>comparing((state) -> !isEligible(state))
			.thenComparing(Comparator.comparingInt(HostState::cpuMillis).reversed())
			.thenComparingInt((state) -> state.host().hashCode())
			.thenComparing(HostState::host);
	}

	private Stream<HostState> liveHosts(HostState self, long nowNanos) {
		return Stream.concat(Stream.of(self),
				this.peers.values().stream().filter((peer) -> isLive(peer, nowNanos)).map((peer) -> peer.state));
	}

	private Stream<HostState> reachableHosts(HostState self, long nowNanos) {
		return Stream.concat(Stream.of(self),
				this.peers.values().stream().filter((peer) -> isReachable(peer, nowNanos)).map((peer) -> peer.state));
	}

	/**
	 * Returns the share of the known hosts that this host reaches.
	 * @param self the state of this host, not null
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return the share, not null
	 */
	public Reachability reachability(HostState self, long nowNanos) {
		long twiceReachable = 2 * reachableHosts(self, nowNanos).count();
		int knownHosts = this.peers.size() + 1;
		if (twiceReachable == 2L * knownHosts) {
			return Reachability.ALL;
		}
		if (twiceReachable == knownHosts) {
			return Reachability.HALF;
		}
		return (twiceReachable > knownHosts) ? Reachability.MAJORITY : Reachability.MINORITY;
	}

	private boolean mayOwnAllDataCentres(HostState self, long nowNanos) {
		List<HostState> reachable = reachableHosts(self, nowNanos).toList();
		if (2 * reachable.size() >= this.peers.size() + 1) {
			return true;
		}
		Set<DataCentreId> reachableDataCentres = new HashSet<>();
		reachable.forEach((state) -> reachableDataCentres.add(state.dataCentre()));
		Set<DataCentreId> knownDataCentres = new HashSet<>(reachableDataCentres);
		this.peers.values().forEach((peer) -> knownDataCentres.add(peer.state.dataCentre()));
		return 2 * reachableDataCentres.size() > knownDataCentres.size();
	}

	// Tests whether this host still schedules for its data centre only, although it
	// reaches the others again. Its token is newer than that of the scheduler on the
	// other side of the partition, which would otherwise have to hand over all its jobs.
	private boolean staysInItsDataCentre(HostState self, long nowNanos) {
		if (self.schedulerToken().isNone() || self.allDataCentres() || !mayOwnAllDataCentres(self, nowNanos)) {
			this.widerScopeNanos = 0;
			return false;
		}
		if (this.widerScopeNanos == 0) {
			this.widerScopeNanos = nowNanos;
		}
		return nowNanos - this.widerScopeNanos < WIDER_SCOPE_DELAY_NANOS;
	}

	private boolean reachesHalfOfDataCentre(HostState self, long nowNanos) {
		long reachableHosts = reachableHosts(self, nowNanos)
			.filter((state) -> state.dataCentre().equals(self.dataCentre()))
			.count();
		long knownHosts = 1 + this.peers.values()
			.stream()
			.filter((peer) -> peer.state.dataCentre().equals(self.dataCentre()))
			.count();
		return 2 * reachableHosts >= knownHosts;
	}

	/**
	 * Returns the highest scheduler token received from a peer.
	 * @return the token, not null
	 */
	public FencingToken highestSchedulerToken() {
		return this.peers.values()
			.stream()
			.map((peer) -> peer.state.schedulerToken())
			.max(Comparator.naturalOrder())
			.orElse(FencingToken.NONE);
	}

	/**
	 * The result of an election.
	 *
	 * @param scheduler the host that schedules, null if none is known
	 * @param activate whether this host should become the scheduler
	 * @param allDataCentres whether this host may own the workers of all data centres
	 */
	public record Decision(HostId scheduler, boolean activate, boolean allDataCentres) {

	}

	/** The state of a peer. Times are nanoseconds since the Unix epoch. */
	private static final class Peer {

		private HostState state;

		/** When its last answer to a heartbeat of this host arrived. */
		private long answeredNanos;

		/** When the newest heartbeat that it has answered was sent. */
		private long answeredHeartbeatNanos;

		/** When its last heartbeat arrived. */
		private long heartbeatNanos;

		/** Whether its link broke or timed out, and it has not answered since. */
		private boolean lost;

		/** Whether heartbeats are sent to it. */
		private boolean heartbeatTarget;

		private long targetSinceNanos;

	}

}
