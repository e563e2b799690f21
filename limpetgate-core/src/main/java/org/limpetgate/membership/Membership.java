package org.limpetgate.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;

/**
 * The other entry hosts, as far as this host can tell.
 * <p>
 * Hosts of the same data centre send each other heartbeats. A host that is not heard from
 * directly still counts as alive while a live peer has seen a newer heartbeat of it, so
 * that loss on one link does not make it dead. Of other data centres only digests are
 * known; they arrive at one host, which relays them inside its data centre.
 * <p>
 * The table is a belief, never a right: nothing that must happen at most once depends on
 * it. The incarnation of a member never falls.
 * <p>
 * Not thread-safe: it belongs to the control thread. Times are nanoseconds since the Unix
 * epoch and do not decrease from call to call.
 */
public final class Membership {

	/**
	 * One in so many heartbeats tells what its sender has heard. In each one it would be
	 * the largest part of the control traffic.
	 */
	static final int HEARTBEATS_PER_SEEN = 3;

	private final Incarnation self;

	private final DataCentreId dataCentre;

	private final MembershipTimings timings;

	private final Map<HostId, Member> members = new TreeMap<>();

	private final Map<HostId, Heartbeat.Seen> seen = new HashMap<>();

	private final Set<HostId> listed = new HashSet<>();

	private final DigestTable digests;

	private final List<MembershipEffect> changes = new ArrayList<>();

	private long sequence;

	private long nextHeartbeatNanos;

	private boolean heartbeatDue;

	/**
	 * Creates a table without members.
	 * @param self this host, not null
	 * @param dataCentre the data centre of this host, not null
	 * @param timings the intervals, not null
	 */
	public Membership(Incarnation self, DataCentreId dataCentre, MembershipTimings timings) {
		this.self = self;
		this.dataCentre = dataCentre;
		this.timings = timings;
		this.digests = new DigestTable(dataCentre, timings.digestNanos());
	}

	/**
	 * Sets the hosts that settings and the platform's host list name. The list lags: a
	 * host on it may be dead, and a live one may be missing.
	 * @param addresses the addresses, not null
	 */
	public void listed(Collection<MemberAddress> addresses) {
		this.listed.clear();
		Map<DataCentreId, List<MemberAddress>> elsewhere = new TreeMap<>();
		for (MemberAddress address : addresses) {
			if (!address.host().equals(this.self.host())) {
				this.listed.add(address.host());
				addListed(address);
			}
			if (!address.dataCentre().equals(this.dataCentre)) {
				elsewhere.computeIfAbsent(address.dataCentre(), (key) -> new ArrayList<>()).add(address);
			}
		}
		this.digests.listed(elsewhere);
	}

	private void addListed(MemberAddress address) {
		Member known = this.members.get(address.host());
		if (known == null) {
			replace(null, new Member(address, MemberState.LISTED, null, 0, true, null));
		}
		else if (!known.state().isHoldingCapacity() && !known.address().equals(address)) {
			replace(known, known.withAddress(address));
		}
	}

	/**
	 * Takes a heartbeat. Heartbeats of earlier incarnations and those that arrive out of
	 * order are dropped.
	 * @param heartbeat the heartbeat, not null
	 * @param nowNanos the present time
	 * @return true if it was newer than the ones before
	 */
	public boolean heartbeatReceived(Heartbeat heartbeat, long nowNanos) {
		HostId host = heartbeat.incarnation().host();
		Heartbeat.Seen received = new Heartbeat.Seen(heartbeat.incarnation(), heartbeat.sequence());
		if (host.equals(this.self.host()) || !received.isNewerThan(this.seen.get(host))) {
			return false;
		}
		this.seen.put(host, received);
		Member before = this.members.get(host);
		Member base = (before != null) ? before
				: new Member(heartbeat.address(), MemberState.LISTED, null, 0, true, null);
		boolean hears = heartbeat.seen().isEmpty() ? base.hearsThisHost() : hearsThisHost(heartbeat);
		replace(before, base.withHeartbeat(heartbeat, hears, nowNanos));
		heartbeat.seen().forEach((other, indirect) -> seenIndirectly(other, indirect, nowNanos));
		return true;
	}

	private boolean hearsThisHost(Heartbeat heartbeat) {
		Heartbeat.Seen ofThis = heartbeat.seen().get(this.self.host());
		if (ofThis == null || !ofThis.incarnation().equals(this.self)) {
			return false;
		}
		long heartbeatsUntilSuspect = this.timings.suspectNanos() / this.timings.heartbeatNanos();
		return this.sequence - ofThis.sequence() <= heartbeatsUntilSuspect + HEARTBEATS_PER_SEEN;
	}

	private void seenIndirectly(HostId host, Heartbeat.Seen indirect, long nowNanos) {
		Member member = this.members.get(host);
		if (member == null || host.equals(this.self.host()) || !indirect.isNewerThan(this.seen.get(host))) {
			return;
		}
		this.seen.put(host, indirect);
		MemberState state = (member.state() == MemberState.LEAVING
				&& indirect.incarnation().equals(member.incarnation())) ? MemberState.LEAVING : MemberState.JOINED;
		replace(member, member.withSign(state, indirect.incarnation(), nowNanos));
	}

	/**
	 * Takes digests of other data centres. Older ones than those known are dropped.
	 * @param received the digests, not null
	 * @param fromDataCentre the data centre of the sender, not null
	 * @param nowNanos the present time
	 */
	public void digestsReceived(List<DataCentreDigest> received, DataCentreId fromDataCentre, long nowNanos) {
		this.digests.received(received, fromDataCentre, nowNanos);
	}

	/**
	 * Asks for a heartbeat with the next tick, for news that should not wait for the
	 * interval.
	 */
	public void announce() {
		this.heartbeatDue = true;
	}

	/**
	 * Emits the heartbeats, digests and changes that are due.
	 * @param nowNanos the present time
	 * @param effects takes each effect, not null
	 */
	public void tick(long nowNanos, Consumer<? super MembershipEffect> effects) {
		detectFailures(nowNanos);
		if (this.heartbeatDue || nowNanos >= this.nextHeartbeatNanos) {
			emitHeartbeats(nowNanos, effects);
		}
		this.digests.tick(nowNanos, isRelay(), inDataCentre(), effects);
		List<MembershipEffect> emitted = new ArrayList<>(this.changes);
		this.changes.clear();
		emitted.forEach(effects);
	}

	private void emitHeartbeats(long nowNanos, Consumer<? super MembershipEffect> effects) {
		this.heartbeatDue = false;
		this.nextHeartbeatNanos = nowNanos + this.timings.heartbeatNanos();
		this.sequence++;
		boolean withSeen = this.sequence % HEARTBEATS_PER_SEEN == 0;
		Map<HostId, Heartbeat.Seen> copy = withSeen ? Map.copyOf(this.seen) : Map.of();
		for (Member member : inDataCentre()) {
			effects.accept(new MembershipEffect.SendHeartbeat(member.address().host(), this.sequence, copy));
		}
	}

	private void detectFailures(long nowNanos) {
		for (Member member : List.copyOf(this.members.values())) {
			long silence = nowNanos - member.heardNanos();
			if (member.state().isHoldingCapacity() && silence >= this.timings.deadNanos()) {
				replace(member, member.withState(MemberState.DEAD));
			}
			else if (member.state() == MemberState.JOINED && silence >= this.timings.suspectNanos()) {
				replace(member, member.withState(MemberState.SUSPECT));
			}
			else if (member.state() == MemberState.DEAD && silence >= this.timings.forgetNanos()
					&& !this.listed.contains(member.address().host())) {
				replace(member, null);
			}
		}
	}

	private void replace(Member before, Member after) {
		if (after == null) {
			this.members.remove(before.address().host());
			this.seen.remove(before.address().host());
		}
		else {
			checkIncarnation(before, after);
			this.members.put(after.address().host(), after);
		}
		if (isChange(before, after)) {
			this.changes.add(new MembershipEffect.MemberChanged(before, after));
		}
	}

	private static void checkIncarnation(Member before, Member after) {
		if (before != null && before.incarnation() != null && before.incarnation().isLaterThan(after.incarnation())) {
			throw new IllegalStateException("incarnation of " + after.address().host() + " fell from "
					+ before.incarnation() + " to " + after.incarnation());
		}
	}

	private static boolean isChange(Member before, Member after) {
		if (before == null || after == null) {
			return true;
		}
		return before.state() != after.state() || before.hearsThisHost() != after.hearsThisHost()
				|| !before.address().equals(after.address())
				|| !Objects.equals(before.incarnation(), after.incarnation());
	}

	/**
	 * Tests whether this host relays the digests of its data centre. The role is for
	 * efficiency only: two relays at the same time merely send more messages.
	 * @return true if it ranks first among the live hosts
	 */
	public boolean isRelay() {
		List<HostId> live = new ArrayList<>();
		live.add(this.self.host());
		for (Member member : inDataCentre()) {
			if (member.state().isServing()) {
				live.add(member.address().host());
			}
		}
		return Rendezvous.rank("relay", live).get(0).equals(this.self.host());
	}

	private List<Member> inDataCentre() {
		return this.members.values().stream().filter((member) -> isInDataCentre(member)).toList();
	}

	private boolean isInDataCentre(Member member) {
		return member.address().dataCentre().equals(this.dataCentre);
	}

	/**
	 * Returns the other hosts of the own data centre and those that are listed elsewhere.
	 * @return the members by host, not null, not modifiable
	 */
	public Collection<Member> members() {
		return Collections.unmodifiableCollection(this.members.values());
	}

	/**
	 * Returns a member.
	 * @param host the host, not null
	 * @return the member, or empty if it is not known
	 */
	public Optional<Member> member(HostId host) {
		return Optional.ofNullable(this.members.get(host));
	}

	/**
	 * Returns the newest digest of another data centre.
	 * @param other the data centre, not null
	 * @return the digest, or empty if none was received
	 */
	public Optional<DataCentreDigest> digest(DataCentreId other) {
		return this.digests.digest(other);
	}

	/**
	 * Returns when the newest digest of another data centre arrived, by the clock of this
	 * host; the clock of its sender may differ.
	 * @param other a data centre whose digest is present, not null
	 * @return the time, in nanoseconds since the Unix epoch
	 */
	public long digestReceivedNanos(DataCentreId other) {
		return this.digests.receivedNanos(other);
	}

	/**
	 * Returns the hosts that can be asked in a data centre. Those that are believed live
	 * come first, in an order that differs from host to host, so that the links to a data
	 * centre are spread over its hosts.
	 * @param other the data centre, not null
	 * @return the addresses, not null
	 */
	public List<MemberAddress> contacts(DataCentreId other) {
		if (other.equals(this.dataCentre)) {
			return inDataCentre().stream().filter((member) -> member.state().isServing()).map(Member::address).toList();
		}
		Map<HostId, MemberAddress> live = new TreeMap<>();
		digest(other).ifPresent((digest) -> digest.members().values().forEach((to) -> live.put(to.host(), to)));
		Map<HostId, MemberAddress> listed = new TreeMap<>();
		for (Member member : this.members.values()) {
			if (member.address().dataCentre().equals(other) && !live.containsKey(member.address().host())) {
				listed.put(member.address().host(), member.address());
			}
		}
		List<MemberAddress> contacts = new ArrayList<>();
		ranked(live.keySet()).forEach((host) -> contacts.add(live.get(host)));
		ranked(listed.keySet()).forEach((host) -> contacts.add(listed.get(host)));
		return contacts;
	}

	private List<HostId> ranked(Collection<HostId> hosts) {
		return Rendezvous.rank(this.self.host().value(), hosts);
	}

	/**
	 * Returns where a host accepts connections of its peers, in any data centre.
	 * @param host the host, not null
	 * @return the address, or empty if the host is not known
	 */
	public Optional<MemberAddress> address(HostId host) {
		Optional<MemberAddress> announced = this.digests.address(host);
		return announced.isPresent() ? announced : member(host).map(Member::address);
	}

	/**
	 * Tests whether an incarnation has certainly ended: a later one of the same host was
	 * heard of.
	 * @param incarnation the incarnation, not null
	 * @return true if it has ended; false if it may still run
	 */
	public boolean isEnded(Incarnation incarnation) {
		if (incarnation.host().equals(this.self.host())) {
			return !incarnation.equals(this.self);
		}
		Member member = this.members.get(incarnation.host());
		if (member != null && member.incarnation() != null && member.incarnation().isLaterThan(incarnation)) {
			return true;
		}
		return this.digests.isEnded(incarnation);
	}

	/**
	 * Returns when the next tick is due if nothing else happens.
	 * @return the time
	 */
	public long nextWakeNanos() {
		return this.heartbeatDue ? 0 : this.nextHeartbeatNanos;
	}

}
