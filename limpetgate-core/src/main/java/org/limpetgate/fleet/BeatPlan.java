package org.limpetgate.fleet;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.limpetgate.HostId;

/**
 * Chooses the hosts with which a host exchanges beats.
 * <p>
 * In a small fleet these are all hosts. In a larger one, where beats between all hosts
 * would take most of the processor time of small hosts, they are the hosts that schedule,
 * those that would be elected next, those that were not heard of yet, and one of the
 * others in turn, which spreads configurations and finds hosts that are back. A host that
 * schedules exchanges beats with all hosts, since it must notice the loss of any.
 * <p>
 * All hosts rank the candidates alike, so that when one is lost they turn to the same
 * next one. Not thread-safe.
 */
public final class BeatPlan {

	/** Up to this many other hosts, beats go to all. */
	private static final int FULL_MESH_SIZE = 12;

	/** Several, so that one is left when hosts of a data centre are lost together. */
	private static final int CANDIDATE_COUNT = 5;

	private final Map<HostId, Peer> peers = new LinkedHashMap<>();

	private int probeIndex;

	/**
	 * Adds a host that may exist.
	 * @param host the host, not null, not this host
	 * @return true if it was not known
	 */
	public boolean learn(HostId host) {
		return this.peers.putIfAbsent(host, new Peer()) == null;
	}

	/**
	 * Takes note of the state of a host.
	 * @param state the state, not null
	 */
	public void heard(HostState state) {
		Peer member = this.peers.computeIfAbsent(state.host(), (host) -> new Peer());
		member.state = state;
		member.lost = false;
	}

	/**
	 * Takes note that the link to a host is broken or silent.
	 * @param host the host, not null
	 */
	public void lost(HostId host) {
		Peer member = this.peers.get(host);
		if (member != null) {
			member.lost = true;
		}
	}

	/**
	 * Returns all hosts that may exist.
	 * @return the hosts in the order in which they were learned, not null
	 */
	public Set<HostId> hosts() {
		return Set.copyOf(this.peers.keySet());
	}

	/**
	 * Chooses the hosts for the next beat.
	 * @param schedules whether this host schedules
	 * @return the hosts, not null
	 */
	public Set<HostId> next(boolean schedules) {
		if (schedules || this.peers.size() <= FULL_MESH_SIZE) {
			return hosts();
		}
		Set<HostId> targets = new HashSet<>();
		this.peers.forEach((host, member) -> {
			if (member.state == null || (!member.lost && !member.state.claim().isNone())) {
				targets.add(host);
			}
		});
		this.peers.values()
			.stream()
			.filter((member) -> member.state != null && !member.lost)
			.map((member) -> member.state)
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

		/** The state that was last heard, null before. */
		private HostState state;

		private boolean lost;

	}

}
