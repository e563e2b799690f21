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
 * Tracks the other entry hosts with heartbeats and detects their failures.
 * <p>
 * Hosts of the same data centre send each other heartbeats. A host whose heartbeats do
 * not arrive still counts as alive while a live peer reports newer heartbeats of it, so
 * that packet loss on one link is not mistaken for a failure of the host. Other data
 * centres are known by their digests only, each of which is sent to one host and relayed
 * within its data centre.
 * <p>
 * The table may be wrong, so nothing that must happen at most once depends on it. The
 * incarnation number of a member never decreases.
 * <p>
 * Not thread-safe: confined to the control thread. Times are in nanoseconds since the
 * Unix epoch and do not decrease from call to call.
 */
public final class Membership {

	/**
	 * Only one in this many heartbeats reports the newest heartbeats that its sender has
	 * received. In every heartbeat, the report would be the largest part of the control
	 * traffic.
	 */
	static final int HEARTBEATS_PER_RECEIVED_REPORT = 3;

	private final Incarnation self;

	private final DataCentreId dataCentre;

	private final MembershipTimings timings;

	private final Map<HostId, Member> members = new TreeMap<>();

	private final Map<HostId, Heartbeat.ReceivedHeartbeat> receivedHeartbeats = new HashMap<>();

	private final Set<HostId> listedHosts = new HashSet<>();

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
	 * Sets the hosts named by the settings and by the platform's host list. The list is
	 * out of date: a listed host may be dead, and a live host may be missing.
	 * @param addresses the addresses, not null
	 */
	public void setListedHosts(Collection<MemberAddress> addresses) {
		this.listedHosts.clear();
		Map<DataCentreId, List<MemberAddress>> otherDataCentres = new TreeMap<>();
		for (MemberAddress address : addresses) {
			if (!address.host().equals(this.self.host())) {
				this.listedHosts.add(address.host());
				addListed(address);
			}
			if (!address.dataCentre().equals(this.dataCentre)) {
				otherDataCentres.computeIfAbsent(address.dataCentre(), (key) -> new ArrayList<>()).add(address);
			}
		}
		this.digests.setListedHosts(otherDataCentres);
	}

	private void addListed(MemberAddress address) {
		Member existing = this.members.get(address.host());
		if (existing == null) {
			replace(null, new Member(address, MemberState.LISTED, null, 0, true, null));
		}
		else if (!existing.state().mayHaveWorkInFlight() && !existing.address().equals(address)) {
			replace(existing, existing.withAddress(address));
		}
	}

	/**
	 * Processes a heartbeat. Heartbeats of earlier incarnations and those that arrive out
	 * of order are ignored.
	 * @param heartbeat the heartbeat, not null
	 * @param nowNanos the current time
	 * @return true if it was newer than all previous heartbeats of the host
	 */
	public boolean heartbeatReceived(Heartbeat heartbeat, long nowNanos) {
		HostId host = heartbeat.incarnation().host();
		Heartbeat.ReceivedHeartbeat received = new Heartbeat.ReceivedHeartbeat(heartbeat.incarnation(),
				heartbeat.sequence());
		if (host.equals(this.self.host()) || !received.isNewerThan(this.receivedHeartbeats.get(host))) {
			return false;
		}
		this.receivedHeartbeats.put(host, received);
		Member before = this.members.get(host);
		Member base = (before != null) ? before
				: new Member(heartbeat.address(), MemberState.LISTED, null, 0, true, null);
		boolean receivesOurHeartbeats = heartbeat.receivedHeartbeats().isEmpty() ? base.receivesOurHeartbeats()
				: receivesOurHeartbeats(heartbeat);
		replace(before, base.withHeartbeat(heartbeat, receivesOurHeartbeats, nowNanos));
		heartbeat.receivedHeartbeats().forEach((other, indirect) -> applyIndirectHeartbeat(other, indirect, nowNanos));
		return true;
	}

	private boolean receivesOurHeartbeats(Heartbeat heartbeat) {
		Heartbeat.ReceivedHeartbeat receivedFromSelf = heartbeat.receivedHeartbeats().get(this.self.host());
		if (receivedFromSelf == null || !receivedFromSelf.incarnation().equals(this.self)) {
			return false;
		}
		long heartbeatsUntilSuspect = this.timings.suspectNanos() / this.timings.heartbeatNanos();
		return this.sequence - receivedFromSelf.sequence() <= heartbeatsUntilSuspect + HEARTBEATS_PER_RECEIVED_REPORT;
	}

	private void applyIndirectHeartbeat(HostId host, Heartbeat.ReceivedHeartbeat indirect, long nowNanos) {
		Member member = this.members.get(host);
		if (member == null || host.equals(this.self.host())
				|| !indirect.isNewerThan(this.receivedHeartbeats.get(host))) {
			return;
		}
		this.receivedHeartbeats.put(host, indirect);
		MemberState state = (member.state() == MemberState.LEAVING
				&& indirect.incarnation().equals(member.incarnation())) ? MemberState.LEAVING : MemberState.JOINED;
		replace(member, member.withIndirectHeartbeat(state, indirect.incarnation(), nowNanos));
	}

	/**
	 * Processes digests of other data centres. Digests that are not newer than the stored
	 * ones are ignored.
	 * @param received the digests, not null
	 * @param fromDataCentre the data centre of the sender, not null
	 * @param nowNanos the current time
	 */
	public void digestsReceived(List<DataCentreDigest> received, DataCentreId fromDataCentre, long nowNanos) {
		this.digests.storeDigests(received, fromDataCentre, nowNanos);
	}

	/**
	 * Requests a heartbeat with the next tick, for changes that should not wait for the
	 * interval.
	 */
	public void requestHeartbeat() {
		this.heartbeatDue = true;
	}

	/**
	 * Emits the heartbeats, digests and changes that are due.
	 * @param nowNanos the current time
	 * @param effects receives each effect, not null
	 */
	public void tick(long nowNanos, Consumer<? super MembershipEffect> effects) {
		detectFailures(nowNanos);
		if (this.heartbeatDue || nowNanos >= this.nextHeartbeatNanos) {
			emitHeartbeats(nowNanos, effects);
		}
		this.digests.tick(nowNanos, isRelay(), localMembers(), effects);
		List<MembershipEffect> emitted = new ArrayList<>(this.changes);
		this.changes.clear();
		emitted.forEach(effects);
	}

	private void emitHeartbeats(long nowNanos, Consumer<? super MembershipEffect> effects) {
		this.heartbeatDue = false;
		this.nextHeartbeatNanos = nowNanos + this.timings.heartbeatNanos();
		this.sequence++;
		boolean withReceivedHeartbeats = this.sequence % HEARTBEATS_PER_RECEIVED_REPORT == 0;
		Map<HostId, Heartbeat.ReceivedHeartbeat> reported = withReceivedHeartbeats ? Map.copyOf(this.receivedHeartbeats)
				: Map.of();
		for (Member member : localMembers()) {
			effects.accept(new MembershipEffect.SendHeartbeat(member.address().host(), this.sequence, reported));
		}
	}

	private void detectFailures(long nowNanos) {
		for (Member member : List.copyOf(this.members.values())) {
			long silenceNanos = nowNanos - member.lastHeartbeatNanos();
			if (member.state().mayHaveWorkInFlight() && silenceNanos >= this.timings.deadNanos()) {
				replace(member, member.withState(MemberState.DEAD));
			}
			else if (member.state() == MemberState.JOINED && silenceNanos >= this.timings.suspectNanos()) {
				replace(member, member.withState(MemberState.SUSPECT));
			}
			else if (member.state() == MemberState.DEAD && silenceNanos >= this.timings.removalNanos()
					&& !this.listedHosts.contains(member.address().host())) {
				replace(member, null);
			}
		}
	}

	private void replace(Member before, Member after) {
		if (after == null) {
			this.members.remove(before.address().host());
			this.receivedHeartbeats.remove(before.address().host());
		}
		else {
			checkIncarnation(before, after);
			this.members.put(after.address().host(), after);
		}
		if (isReportable(before, after)) {
			this.changes.add(new MembershipEffect.MemberChanged(before, after));
		}
	}

	private static void checkIncarnation(Member before, Member after) {
		if (before != null && before.incarnation() != null && before.incarnation().isLaterThan(after.incarnation())) {
			throw new IllegalStateException("incarnation of " + after.address().host() + " decreased from "
					+ before.incarnation() + " to " + after.incarnation());
		}
	}

	private static boolean isReportable(Member before, Member after) {
		if (before == null || after == null) {
			return true;
		}
		return before.state() != after.state() || before.receivesOurHeartbeats() != after.receivesOurHeartbeats()
				|| !before.address().equals(after.address())
				|| !Objects.equals(before.incarnation(), after.incarnation());
	}

	/**
	 * Tests whether this host is the relay, which sends the digest of its data centre to
	 * the others. The role only saves messages: two relays at the same time do no harm.
	 * @return true if this host ranks first among the live hosts of its data centre
	 */
	public boolean isRelay() {
		List<HostId> live = new ArrayList<>();
		live.add(this.self.host());
		for (Member member : localMembers()) {
			if (member.state().isServing()) {
				live.add(member.address().host());
			}
		}
		return Rendezvous.rank("relay", live).get(0).equals(this.self.host());
	}

	private List<Member> localMembers() {
		return this.members.values().stream().filter((member) -> isLocal(member)).toList();
	}

	private boolean isLocal(Member member) {
		return member.address().dataCentre().equals(this.dataCentre);
	}

	/**
	 * Returns the other hosts of this data centre and the listed hosts of other data
	 * centres.
	 * @return the members ordered by host, not null, not modifiable
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
	 * Returns when the newest digest of another data centre was received, by the clock of
	 * this host, which may differ from that of the sender.
	 * @param other a data centre whose digest is present, not null
	 * @return the time, in nanoseconds since the Unix epoch
	 */
	public long digestReceivedNanos(DataCentreId other) {
		return this.digests.receivedNanos(other);
	}

	/**
	 * Returns the hosts to contact in a data centre. In another data centre, hosts that
	 * are believed live come first, in an order that depends on this host, so that the
	 * connections to a data centre are spread over its hosts.
	 * @param other the data centre, not null
	 * @return the addresses, not null
	 */
	public List<MemberAddress> contacts(DataCentreId other) {
		if (other.equals(this.dataCentre)) {
			return localMembers().stream().filter((member) -> member.state().isServing()).map(Member::address).toList();
		}
		Map<HostId, MemberAddress> live = new TreeMap<>();
		digest(other)
			.ifPresent((digest) -> digest.members().values().forEach((address) -> live.put(address.host(), address)));
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
	 * Returns the address at which a host of any data centre accepts connections of its
	 * peers.
	 * @param host the host, not null
	 * @return the address, or empty if the host is not known
	 */
	public Optional<MemberAddress> address(HostId host) {
		Optional<MemberAddress> fromDigest = this.digests.address(host);
		return fromDigest.isPresent() ? fromDigest : member(host).map(Member::address);
	}

	/**
	 * Tests whether an incarnation has certainly ended, because a later one of the same
	 * host is known.
	 * @param incarnation the incarnation, not null
	 * @return true if it has ended; false if it may still be running
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
	 * Returns when the next tick is due if no message is received before.
	 * @return the time, 0 if a tick is due immediately
	 */
	public long nextWakeNanos() {
		return this.heartbeatDue ? 0 : this.nextHeartbeatNanos;
	}

}
