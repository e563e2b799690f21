package org.limpetgate.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;

/**
 * The newest digest of each other data centre.
 * <p>
 * The relay of a data centre sends the own digest to one host of each other data centre;
 * a host that gets a digest from outside passes it on inside. Traffic of a host thus
 * grows with the number of data centres and not with the number of hosts.
 * <p>
 * Not thread-safe: it belongs to the {@link Membership} that created it.
 */
final class DigestTable {

	private final DataCentreId dataCentre;

	private final long intervalNanos;

	private final Map<DataCentreId, DataCentreDigest> digests = new TreeMap<>();

	private final Map<DataCentreId, Long> receivedNanos = new TreeMap<>();

	private final Map<DataCentreId, Integer> targets = new TreeMap<>();

	private final Map<DataCentreId, List<MemberAddress>> listed = new TreeMap<>();

	private final Map<HostId, Incarnation> newest = new HashMap<>();

	private final Set<DataCentreId> toRelay = new HashSet<>();

	private long nextNanos;

	DigestTable(DataCentreId dataCentre, long intervalNanos) {
		this.dataCentre = dataCentre;
		this.intervalNanos = intervalNanos;
	}

	void listed(Map<DataCentreId, List<MemberAddress>> addresses) {
		this.listed.clear();
		this.listed.putAll(addresses);
	}

	void received(List<DataCentreDigest> received, DataCentreId fromDataCentre, long nowNanos) {
		for (DataCentreDigest digest : received) {
			DataCentreDigest known = this.digests.get(digest.dataCentre());
			if (digest.dataCentre().equals(this.dataCentre)
					|| (known != null && known.sentNanos() >= digest.sentNanos())) {
				continue;
			}
			this.digests.put(digest.dataCentre(), digest);
			this.receivedNanos.put(digest.dataCentre(), nowNanos);
			digest.members().keySet().forEach(this::remember);
			if (!fromDataCentre.equals(this.dataCentre)) {
				this.toRelay.add(digest.dataCentre());
			}
		}
	}

	private void remember(Incarnation incarnation) {
		this.newest.merge(incarnation.host(), incarnation, (known, other) -> other.isLaterThan(known) ? other : known);
	}

	void tick(long nowNanos, boolean relay, List<Member> inDataCentre, Consumer<? super MembershipEffect> effects) {
		relayInside(inDataCentre, effects);
		if (nowNanos < this.nextNanos) {
			return;
		}
		this.nextNanos = nowNanos + this.intervalNanos;
		if (relay) {
			for (DataCentreId other : this.listed.keySet()) {
				sendOwn(other, effects);
			}
		}
	}

	private void relayInside(List<Member> inDataCentre, Consumer<? super MembershipEffect> effects) {
		if (this.toRelay.isEmpty()) {
			return;
		}
		List<DataCentreDigest> relayed = new ArrayList<>();
		this.toRelay.forEach((id) -> relayed.add(this.digests.get(id)));
		this.toRelay.clear();
		for (Member member : inDataCentre) {
			if (member.state().isServing()) {
				effects.accept(new MembershipEffect.SendDigests(member.address().host(), false, relayed));
			}
		}
	}

	// Rotates over the hosts of the other data centre, so that a dead one delays a digest
	// by one interval only.
	private void sendOwn(DataCentreId other, Consumer<? super MembershipEffect> effects) {
		List<HostId> hosts = hosts(other);
		if (hosts.isEmpty()) {
			return;
		}
		int turn = this.targets.merge(other, 1, Integer::sum);
		HostId host = hosts.get(Math.floorMod(turn, hosts.size()));
		effects.accept(new MembershipEffect.SendDigests(host, true, List.of()));
	}

	private List<HostId> hosts(DataCentreId other) {
		DataCentreDigest digest = this.digests.get(other);
		if (digest != null && !digest.members().isEmpty()) {
			return digest.members().keySet().stream().map(Incarnation::host).sorted().toList();
		}
		return this.listed.get(other).stream().map(MemberAddress::host).sorted().toList();
	}

	Optional<DataCentreDigest> digest(DataCentreId other) {
		return Optional.ofNullable(this.digests.get(other));
	}

	long receivedNanos(DataCentreId other) {
		return this.receivedNanos.get(other);
	}

	Optional<MemberAddress> address(HostId host) {
		return this.digests.values()
			.stream()
			.flatMap((digest) -> digest.members().values().stream())
			.filter((address) -> address.host().equals(host))
			.findFirst();
	}

	boolean isEnded(Incarnation incarnation) {
		Incarnation known = this.newest.get(incarnation.host());
		return known != null && known.isLaterThan(incarnation);
	}

}
