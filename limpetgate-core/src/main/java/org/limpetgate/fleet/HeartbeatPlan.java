package org.limpetgate.fleet;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;

/**
 * Selects the peers with which a host exchanges heartbeats.
 * <p>
 * In a small fleet these are all peers. In a larger one, where heartbeats between all
 * hosts would use most of the processor time of small hosts, they are the active
 * schedulers, the best candidates for the election, the peers that have not sent a
 * heartbeat yet, and one other peer in round-robin order, which spreads configurations
 * and finds peers that have returned. An active scheduler exchanges heartbeats with all
 * peers, since it must notice the loss of any.
 * <p>
 * All hosts rank the candidates in the same order, so that they select the same successor
 * when one is lost. Not thread-safe.
 */
public final class HeartbeatPlan {

	/** The largest number of peers with which heartbeats go to all of them. */
	private static final int FULL_MESH_SIZE = 12;

	/**
	 * More than one, so that one remains when hosts of a data centre are lost together.
	 */
	private static final int CANDIDATE_COUNT = 5;

	private final Map<HostId, Peer> peers = new LinkedHashMap<>();

	private int probeIndex;

	/**
	 * Adds a peer, which need not be reachable.
	 * @param host the host, not null, not this host
	 * @return true if it was added, false if it was present
	 */
	public boolean addPeer(HostId host) {
		return this.peers.putIfAbsent(host, new Peer()) == null;
	}

	/**
	 * Records the state that a peer sent.
	 * @param state the state, not null
	 */
	public void stateReceived(HostState state) {
		Peer peer = this.peers.computeIfAbsent(state.host(), (host) -> new Peer());
		peer.state = state;
		peer.lost = false;
	}

	/**
	 * Records that the link to a peer is broken or its heartbeat timed out.
	 * @param host the host, not null
	 */
	public void peerLost(HostId host) {
		Peer peer = this.peers.get(host);
		if (peer != null) {
			peer.lost = true;
		}
	}

	/**
	 * Returns all peers, including lost ones and those that have not sent a heartbeat
	 * yet.
	 * @return the peers, in no particular order, not null
	 */
	public Set<HostId> peers() {
		return Set.copyOf(this.peers.keySet());
	}

	/**
	 * Returns the data centre of a peer as its last state gave it.
	 * @param host the peer, not null
	 * @return the data centre, empty before the first state
	 */
	public Optional<DataCentreId> dataCentreOf(HostId host) {
		Peer peer = this.peers.get(host);
		return (peer != null && peer.state != null) ? Optional.of(peer.state.dataCentre()) : Optional.empty();
	}

	/**
	 * Selects the peers for the next heartbeat.
	 * @param schedules whether this host is the active scheduler
	 * @return the peers, not null
	 */
	public Set<HostId> nextTargets(boolean schedules) {
		if (schedules || this.peers.size() <= FULL_MESH_SIZE) {
			return peers();
		}
		Set<HostId> targets = new HashSet<>();
		this.peers.forEach((host, peer) -> {
			if (peer.state == null || (!peer.lost && !peer.state.schedulerToken().isNone())) {
				targets.add(host);
			}
		});
		this.peers.values()
			.stream()
			.filter((peer) -> peer.state != null && !peer.lost)
			.map((peer) -> peer.state)
			.sorted(SchedulerElection.candidateOrder())
			.limit(CANDIDATE_COUNT)
			.forEach((state) -> targets.add(state.host()));
		targets.add(nextProbe());
		return targets;
	}

	private HostId nextProbe() {
		this.probeIndex = (this.probeIndex + 1) % this.peers.size();
		return this.peers.keySet().stream().skip(this.probeIndex).findFirst().orElseThrow();
	}

	private static final class Peer {

		/** The last state received, null before the first one. */
		private HostState state;

		private boolean lost;

	}

}
