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
 * Tells a host which host schedules, and whether it should do so itself.
 * <p>
 * Every host decides alone from the states that its live peers sent. Two hosts may
 * schedule at the same time for a while; the fencing tokens of the workers keep that
 * harmless, and the lower claim ends as soon as its host hears of the higher one. A host
 * that reaches neither half of the known hosts nor half of their data centres claims the
 * workers of its own data centre only, and only if it reaches half of the hosts there.
 * <p>
 * A host that answers this host can be worked with in both directions. One whose beats
 * arrive here without an answer to beats of this host counts for the size of what is
 * reached, but neither as the scheduler nor as a candidate.
 * <p>
 * Not thread-safe.
 */
public final class SchedulerElection {

	/** A peer that was not heard of for this long is taken for lost. */
	private static final long HEARTBEAT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

	/** A lost peer counts among the known hosts for this long. */
	private static final long LOST_PEER_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(8);

	/** How long no claim must be heard of before a new one is made. */
	private static final long VACANCY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(120);

	// From the time at which a new host is ready. Its links open one after the other
	// while
	// the process is still slow, and a claim that it has not heard of would be ended by
	// its
	// own.
	private static final long STARTUP_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

	private final Map<HostId, Peer> peers = new HashMap<>();

	/** When this host was first ready, 0 before. */
	private long readyNanos;

	private long vacantSinceNanos;

	private boolean vacant;

	/**
	 * Takes note of the state of a peer that answers this host.
	 * @param state the state, not null
	 * @param nowNanos the present time, nanoseconds since the Unix epoch
	 */
	public void heard(HostState state, long nowNanos) {
		Peer peer = peer(state);
		peer.answeredNanos = nowNanos;
		peer.lost = false;
	}

	/**
	 * Takes note of the state of a peer that sent it unasked.
	 * @param state the state, not null
	 * @param nowNanos the present time, nanoseconds since the Unix epoch
	 */
	public void received(HostState state, long nowNanos) {
		peer(state).heartbeatNanos = nowNanos;
	}

	private Peer peer(HostState state) {
		Peer peer = this.peers.computeIfAbsent(state.host(), (host) -> new Peer());
		peer.state = state;
		return peer;
	}

	/**
	 * Takes note of the peers to which beats are sent from now on. Only these can be
	 * found silent.
	 * @param hosts the peers, not null
	 * @param nowNanos the present time, nanoseconds since the Unix epoch
	 */
	public void expect(Set<HostId> hosts, long nowNanos) {
		this.peers.forEach((host, peer) -> {
			boolean isTarget = hosts.contains(host);
			if (isTarget && !peer.heartbeatTarget) {
				peer.targetSinceNanos = nowNanos;
			}
			peer.heartbeatTarget = isTarget;
		});
	}

	/**
	 * Takes note that the link to a peer is broken.
	 * @param host the peer, not null
	 */
	public void lost(HostId host) {
		Peer peer = this.peers.get(host);
		if (peer != null) {
			peer.lost = true;
			peer.heartbeatNanos = 0;
		}
	}

	/**
	 * Returns the peers that have not answered beats for too long. Each is returned once
	 * and counts as lost from then on.
	 * @param nowNanos the present time, nanoseconds since the Unix epoch
	 * @return the peers, not null
	 */
	public List<HostId> silent(long nowNanos) {
		List<HostId> silentPeers = this.peers.values()
			.stream()
			.filter((peer) -> !peer.lost && peer.heartbeatTarget
					&& nowNanos - Math.max(peer.answeredNanos, peer.targetSinceNanos) > HEARTBEAT_TIMEOUT_NANOS)
			.map((peer) -> peer.state.host())
			.toList();
		silentPeers.forEach(this::lost);
		return silentPeers;
	}

	private static boolean isLive(Peer peer, long nowNanos) {
		return !peer.lost && nowNanos - peer.answeredNanos <= HEARTBEAT_TIMEOUT_NANOS;
	}

	private static boolean isReachable(Peer peer, long nowNanos) {
		return isLive(peer, nowNanos) || nowNanos - peer.heartbeatNanos <= HEARTBEAT_TIMEOUT_NANOS;
	}

	/**
	 * Decides who schedules.
	 * @param self the state of this host, not null
	 * @param nowNanos the present time, nanoseconds since the Unix epoch
	 * @return the decision, not null
	 */
	public Decision decide(HostState self, long nowNanos) {
		this.peers.values()
			.removeIf(
					(peer) -> nowNanos - Math.max(peer.answeredNanos, peer.heartbeatNanos) > LOST_PEER_RETENTION_NANOS);
		if (self.ready() && this.readyNanos == 0) {
			this.readyNanos = nowNanos;
		}
		boolean wholeFleet = mayOwnWholeFleet(self, nowNanos);
		HostState scheduler = liveHosts(self, nowNanos).filter((state) -> !state.claim().isNone())
			.max(claimOrder())
			.orElse(null);
		boolean hasEligibleScheduler = scheduler != null && isEligible(scheduler);
		if (hasEligibleScheduler
				|| (scheduler != null && scheduler.host().equals(self.host()) && !hasOtherCandidate(self, nowNanos))) {
			this.vacant = false;
			return new Decision(scheduler.host(), false, wholeFleet);
		}
		if (!this.vacant) {
			this.vacant = true;
			this.vacantSinceNanos = nowNanos;
		}
		boolean mayClaim = (wholeFleet || reachesHalfOfDataCentre(self, nowNanos)) && this.readyNanos != 0
				&& nowNanos - this.readyNanos >= STARTUP_DELAY_NANOS
				&& nowNanos - this.vacantSinceNanos >= ((scheduler != null) ? 0 : VACANCY_DELAY_NANOS);
		boolean firstCandidate = liveHosts(self, nowNanos).filter(HostState::ready)
			.min(candidateOrder())
			.map((state) -> state.host().equals(self.host()))
			.orElse(false);
		HostId schedulerHost = (scheduler != null) ? scheduler.host() : null;
		return new Decision(schedulerHost, mayClaim && firstCandidate, wholeFleet);
	}

	private static boolean isEligible(HostState state) {
		return !state.leaving() && !state.overloaded();
	}

	private boolean hasOtherCandidate(HostState self, long nowNanos) {
		return liveHosts(self, nowNanos)
			.anyMatch((state) -> !state.host().equals(self.host()) && state.ready() && isEligible(state));
	}

	private static Comparator<HostState> claimOrder() {
		return Comparator.comparing(SchedulerElection::isEligible)
			.thenComparing(HostState::whole)
			.thenComparing(HostState::claim);
	}

	// Hosts with the most processor time first, apart from those that should not
	// schedule.
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
	 * Tells how many of the known hosts this host reaches.
	 * @param self the state of this host, not null
	 * @param nowNanos the present time, nanoseconds since the Unix epoch
	 * @return the share, not null
	 */
	public Reach reach(HostState self, long nowNanos) {
		long twiceReachable = 2 * reachableHosts(self, nowNanos).count();
		int known = this.peers.size() + 1;
		if (twiceReachable == 2L * known) {
			return Reach.ALL;
		}
		if (twiceReachable == known) {
			return Reach.HALF;
		}
		return (twiceReachable > known) ? Reach.MOST : Reach.FEW;
	}

	private boolean mayOwnWholeFleet(HostState self, long nowNanos) {
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

	private boolean reachesHalfOfDataCentre(HostState self, long nowNanos) {
		long reachable = reachableHosts(self, nowNanos).filter((state) -> state.dataCentre().equals(self.dataCentre()))
			.count();
		long known = 1 + this.peers.values()
			.stream()
			.filter((peer) -> peer.state.dataCentre().equals(self.dataCentre()))
			.count();
		return 2 * reachable >= known;
	}

	/**
	 * Returns the highest claim that was heard of.
	 * @return the token, not null
	 */
	public FencingToken highestClaim() {
		return this.peers.values()
			.stream()
			.map((peer) -> peer.state.claim())
			.max(Comparator.naturalOrder())
			.orElse(FencingToken.NONE);
	}

	/**
	 * Who schedules.
	 *
	 * @param scheduler the host that schedules, null if none is known
	 * @param claim whether this host should begin to schedule
	 * @param whole whether this host may own the workers of all data centres
	 */
	public record Decision(HostId scheduler, boolean claim, boolean whole) {

	}

	/** What is known of a peer; times are nanoseconds since the Unix epoch. */
	private static final class Peer {

		private HostState state;

		/** When it last answered a beat of this host. */
		private long answeredNanos;

		/** When a beat of its own last arrived. */
		private long heartbeatNanos;

		/** Whether its link is broken or silent, and it has not answered since. */
		private boolean lost;

		/** Whether beats are sent to it. */
		private boolean heartbeatTarget;

		private long targetSinceNanos;

	}

}
