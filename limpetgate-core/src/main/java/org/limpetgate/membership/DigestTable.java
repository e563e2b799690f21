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
 * The relay of a data centre sends its digest to one host of each other data centre; a
 * host that receives a digest from another data centre relays it within its own. The
 * traffic of a host thus grows with the number of data centres, not with the number of
 * hosts.
 * <p>
 * Not thread-safe: confined to the {@link Membership} that created it.
 */
final class DigestTable {

	private final DataCentreId dataCentre;

	private final long intervalNanos;

	private final Map<DataCentreId, DataCentreDigest> digests = new TreeMap<>();

	private final Map<DataCentreId, Long> receivedNanos = new TreeMap<>();

	private final Map<DataCentreId, Integer> rotations = new TreeMap<>();

	private final Map<DataCentreId, List<MemberAddress>> listedHosts = new TreeMap<>();

	private final Map<HostId, Incarnation> newestIncarnations = new HashMap<>();

	private final Set<DataCentreId> pendingRelay = new HashSet<>();

	private long nextSendNanos;

	DigestTable(DataCentreId dataCentre, long intervalNanos) {
		this.dataCentre = dataCentre;
		this.intervalNanos = intervalNanos;
	}

	void setListedHosts(Map<DataCentreId, List<MemberAddress>> addresses) {
		this.listedHosts.clear();
		this.listedHosts.putAll(addresses);
	}

	void storeDigests(List<DataCentreDigest> received, DataCentreId fromDataCentre, long nowNanos) {
		for (DataCentreDigest digest : received) {
			DataCentreDigest existing = this.digests.get(digest.dataCentre());
			if (digest.dataCentre().equals(this.dataCentre)
					|| (existing != null && existing.sentNanos() >= digest.sentNanos())) {
				continue;
			}
			this.digests.put(digest.dataCentre(), digest);
			this.receivedNanos.put(digest.dataCentre(), nowNanos);
			digest.members().keySet().forEach(this::recordIncarnation);
			if (!fromDataCentre.equals(this.dataCentre)) {
				this.pendingRelay.add(digest.dataCentre());
			}
		}
	}

	private void recordIncarnation(Incarnation incarnation) {
		this.newestIncarnations.merge(incarnation.host(), incarnation,
				(current, candidate) -> candidate.isLaterThan(current) ? candidate : current);
	}

	void tick(long nowNanos, boolean isRelay, List<Member> localMembers, Consumer<? super MembershipEffect> effects) {
		relayWithinDataCentre(localMembers, effects);
		if (nowNanos < this.nextSendNanos) {
			return;
		}
		this.nextSendNanos = nowNanos + this.intervalNanos;
		if (isRelay) {
			for (DataCentreId other : this.listedHosts.keySet()) {
				sendOwnDigest(other, effects);
			}
		}
	}

	private void relayWithinDataCentre(List<Member> localMembers, Consumer<? super MembershipEffect> effects) {
		if (this.pendingRelay.isEmpty()) {
			return;
		}
		List<DataCentreDigest> relayed = new ArrayList<>();
		this.pendingRelay.forEach((id) -> relayed.add(this.digests.get(id)));
		this.pendingRelay.clear();
		for (Member member : localMembers) {
			if (member.state().isServing()) {
				effects.accept(new MembershipEffect.SendDigests(member.address().host(), false, relayed));
			}
		}
	}

	// Sends to the hosts of the other data centre in turn, so that a dead host delays a
	// digest by one interval only.
	private void sendOwnDigest(DataCentreId other, Consumer<? super MembershipEffect> effects) {
		List<HostId> hosts = hosts(other);
		if (hosts.isEmpty()) {
			return;
		}
		int rotation = this.rotations.merge(other, 1, Integer::sum);
		HostId host = hosts.get(Math.floorMod(rotation, hosts.size()));
		effects.accept(new MembershipEffect.SendDigests(host, true, List.of()));
	}

	private List<HostId> hosts(DataCentreId other) {
		DataCentreDigest digest = this.digests.get(other);
		if (digest != null && !digest.members().isEmpty()) {
			return digest.members().keySet().stream().map(Incarnation::host).sorted().toList();
		}
		return this.listedHosts.get(other).stream().map(MemberAddress::host).sorted().toList();
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
		Incarnation newest = this.newestIncarnations.get(incarnation.host());
		return newest != null && newest.isLaterThan(incarnation);
	}

}
