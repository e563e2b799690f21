package org.limpetgate.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import net.jqwik.api.Example;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Membership}, in virtual time with simulated links.
 */
class MembershipTests {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long STEP_NANOS = 20 * NANOS_PER_MILLI;

	private static final MembershipTimings TIMINGS = MembershipTimings.DEFAULT;

	/** Guards against a host that never joins, or joins without a heartbeat. */
	@Example
	void hostsJoinAfterOneInterval() {
		Network network = new Network(1, 3);
		network.run(1000 * NANOS_PER_MILLI);
		network.assertStates(MemberState.JOINED);
	}

	/** Guards against a dead host that still counts as live. */
	@Example
	void killedHostBecomesSuspectThenDead() {
		Network network = new Network(1, 3);
		network.run(1000 * NANOS_PER_MILLI);
		network.kill("a0");
		network.run(TIMINGS.suspectNanos() + 3 * TIMINGS.heartbeatNanos());
		assertThat(network.state("a1", "a0")).isEqualTo(MemberState.SUSPECT);
		network.run(TIMINGS.deadNanos());
		assertThat(network.state("a1", "a0")).isEqualTo(MemberState.DEAD);
	}

	/**
	 * Guards against mistaking a restarted process for the previous one at the same
	 * address.
	 */
	@Example
	void restartIsANewIncarnation() {
		Network network = new Network(1, 2);
		network.run(1000 * NANOS_PER_MILLI);
		Incarnation before = network.host("a0").self;
		network.kill("a0");
		network.start("a0");
		network.run(1000 * NANOS_PER_MILLI);
		assertThat(network.state("a1", "a0")).isEqualTo(MemberState.JOINED);
		assertThat(network.host("a1").membership.isEnded(before)).isTrue();
		assertThat(network.host("a1").membership.isEnded(network.host("a0").self)).isFalse();
	}

	/** Guards against reporting a paused process as ended, since it may resume. */
	@Example
	void pausedHostIsDeadButNotEndedAndRejoins() {
		Network network = new Network(1, 2);
		network.run(1000 * NANOS_PER_MILLI);
		network.paused.put("a0", true);
		network.run(2 * TIMINGS.deadNanos());
		assertThat(network.state("a1", "a0")).isEqualTo(MemberState.DEAD);
		assertThat(network.host("a1").membership.isEnded(network.host("a0").self)).isFalse();
		network.paused.remove("a0");
		network.run(1000 * NANOS_PER_MILLI);
		network.assertStates(MemberState.JOINED);
	}

	/**
	 * Guards against inconsistent views when heartbeats are lost in one direction of a
	 * link.
	 */
	@Example
	void oneWayLossIsMaskedByAThirdHost() {
		Network network = new Network(1, 3);
		network.run(1000 * NANOS_PER_MILLI);
		network.droppedLinks.put("a0>a1", true);
		network.run(2 * TIMINGS.deadNanos());
		assertThat(network.state("a1", "a0")).isEqualTo(MemberState.JOINED);
		assertThat(network.state("a0", "a1")).isEqualTo(MemberState.JOINED);
	}

	/**
	 * Guards against a host that does not detect that its only peer receives none of its
	 * heartbeats.
	 */
	@Example
	void oneWayLossBetweenTwoHostsIsDetected() {
		Network network = new Network(1, 2);
		network.run(1000 * NANOS_PER_MILLI);
		network.droppedLinks.put("a0>a1", true);
		network.run(2 * TIMINGS.deadNanos());
		assertThat(network.host("a0").membership.member(HostId.of("a1")).get().receivesOurHeartbeats()).isFalse();
	}

	/** Guards against forwarding work to a leaving host. */
	@Example
	void leavingHostIsNotServing() {
		Network network = new Network(1, 3);
		network.run(1000 * NANOS_PER_MILLI);
		network.host("a0").leaving = true;
		network.host("a0").membership.requestHeartbeat();
		network.run(STEP_NANOS * 3);
		assertThat(network.state("a1", "a0")).isEqualTo(MemberState.LEAVING);
	}

	/** Guards against digests that reach only one host of a data centre. */
	@Example
	void digestsReachEveryHostOfOtherDataCentres() {
		Network network = new Network(3, 3);
		network.run(5000 * NANOS_PER_MILLI);
		for (FakeHost host : network.hosts.values()) {
			for (DataCentreId other : network.dataCentres) {
				if (!other.equals(host.address.dataCentre())) {
					assertThat(host.membership.digest(other)).isPresent();
					assertThat(host.membership.contacts(other)).hasSize(3);
				}
			}
		}
	}

	/**
	 * Guards against a surge of messages, and against permanently inconsistent views,
	 * after an isolated data centre is reconnected.
	 */
	@Example
	void reconnectionConvergesWithoutMessageSurge() {
		Network network = new Network(3, 2);
		network.run(5000 * NANOS_PER_MILLI);
		network.messages = 0;
		network.run(10_000 * NANOS_PER_MILLI);
		long messagesBefore = network.messages;
		network.isolated = "a";
		network.run(30_000 * NANOS_PER_MILLI);
		network.isolated = null;
		network.messages = 0;
		network.run(10_000 * NANOS_PER_MILLI);
		assertThat(network.messages).isLessThanOrEqualTo(messagesBefore * 3 / 2);
		network.assertStates(MemberState.JOINED);
	}

	/**
	 * Guards against views that remain wrong after faults have ended, with fixed seeds.
	 * {@link Membership} itself checks that incarnation numbers never decrease.
	 */
	@Example
	void viewsConvergeAfterRandomFaults() {
		for (long seed = 1; seed <= 20; seed++) {
			Network network = new Network(2, 4);
			Random random = new Random(seed);
			for (int step = 0; step < 200; step++) {
				network.randomFault(random);
				network.run((1 + random.nextInt(600)) * NANOS_PER_MILLI);
			}
			network.endFaults();
			network.run(3 * TIMINGS.deadNanos());
			network.assertStates(MemberState.JOINED);
		}
	}

	/** A network of hosts with links that delay and drop messages. */
	private static final class Network {

		private final Map<String, FakeHost> hosts = new HashMap<>();

		private final Map<String, Boolean> droppedLinks = new HashMap<>();

		private final Map<String, Boolean> paused = new HashMap<>();

		private final List<DataCentreId> dataCentres = new ArrayList<>();

		private final List<MemberAddress> addresses = new ArrayList<>();

		private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>();

		private String isolated;

		private long now = 1_000_000 * NANOS_PER_MILLI;

		private long messages;

		Network(int dataCentreCount, int hostsEach) {
			for (int index = 0; index < dataCentreCount; index++) {
				String name = String.valueOf((char) ('a' + index));
				this.dataCentres.add(DataCentreId.of(name));
				for (int number = 0; number < hostsEach; number++) {
					this.addresses.add(new MemberAddress(HostId.of(name + number), DataCentreId.of(name), "127.0.0.1",
							1000 + number));
				}
			}
			this.addresses.forEach((address) -> start(address.host().value()));
		}

		void start(String name) {
			MemberAddress address = this.addresses.stream()
				.filter((candidate) -> candidate.host().value().equals(name))
				.findFirst()
				.orElseThrow();
			this.hosts.put(name, new FakeHost(address, this.now, this.addresses));
		}

		void kill(String name) {
			this.hosts.remove(name);
		}

		FakeHost host(String name) {
			return this.hosts.get(name);
		}

		MemberState state(String viewer, String of) {
			return host(viewer).membership.member(HostId.of(of)).get().state();
		}

		void run(long nanos) {
			long end = this.now + nanos;
			while (this.now < end) {
				this.now += STEP_NANOS;
				deliver();
				List.copyOf(this.hosts.values()).forEach(this::tick);
			}
		}

		private void deliver() {
			while (!this.deliveries.isEmpty() && this.deliveries.peek().atNanos() <= this.now) {
				Delivery delivery = this.deliveries.poll();
				FakeHost to = this.hosts.get(delivery.to());
				if (to != null && !this.paused.containsKey(delivery.to())) {
					to.receive(delivery.message(), DataCentreId.of(delivery.from().substring(0, 1)), this.now);
				}
			}
		}

		private void tick(FakeHost host) {
			String from = host.address.host().value();
			if (!this.paused.containsKey(from)) {
				host.tick(this.now, (to, message) -> send(from, to, message));
			}
		}

		private void send(String from, String to, Object message) {
			this.messages++;
			boolean crosses = this.isolated != null && from.startsWith(this.isolated) != to.startsWith(this.isolated);
			if (!crosses && !this.droppedLinks.containsKey(from + ">" + to)) {
				this.deliveries.add(new Delivery(this.now + STEP_NANOS, from, to, message));
			}
		}

		void randomFault(Random random) {
			String one = this.addresses.get(random.nextInt(this.addresses.size())).host().value();
			String other = this.addresses.get(random.nextInt(this.addresses.size())).host().value();
			switch (random.nextInt(7)) {
				case 0 -> kill(one);
				case 1 -> start(one);
				case 2 -> this.paused.put(one, true);
				case 3 -> this.paused.remove(one);
				case 4 -> this.droppedLinks.put(one + ">" + other, true);
				case 5 -> this.droppedLinks.remove(one + ">" + other);
				default -> isolate(random.nextBoolean() ? one.substring(0, 1) : null);
			}
		}

		private void isolate(String dataCentre) {
			this.isolated = dataCentre;
		}

		void endFaults() {
			this.droppedLinks.clear();
			this.paused.clear();
			this.isolated = null;
			for (MemberAddress address : this.addresses) {
				if (!this.hosts.containsKey(address.host().value())) {
					start(address.host().value());
				}
			}
		}

		void assertStates(MemberState expected) {
			for (FakeHost host : this.hosts.values()) {
				for (Member member : host.membership.members()) {
					if (member.address().dataCentre().equals(host.address.dataCentre())) {
						assertThat(member.state()).as("%s at %s", member.address().host(), host.address.host())
							.isEqualTo(expected);
						assertThat(member.incarnation()).isEqualTo(host(member.address().host().value()).self);
					}
				}
			}
		}

	}

	private record Delivery(long atNanos, String from, String to, Object message) implements Comparable<Delivery> {

		@Override
		public int compareTo(Delivery other) {
			return Long.compare(this.atNanos, other.atNanos);
		}

	}

	private interface Sender {

		void send(String to, Object message);

	}

	private static final class FakeHost {

		private final MemberAddress address;

		private final Incarnation self;

		private final Membership membership;

		private boolean leaving;

		FakeHost(MemberAddress address, long now, List<MemberAddress> listed) {
			this.address = address;
			this.self = Incarnation.of(address.host(), now);
			this.membership = new Membership(this.self, address.dataCentre(), TIMINGS);
			this.membership.setListedHosts(listed);
		}

		void tick(long now, Sender sender) {
			this.membership.tick(now, (effect) -> {
				if (effect instanceof MembershipEffect.SendHeartbeat heartbeat) {
					sender.send(heartbeat.to().value(), new Heartbeat(this.self, this.address, heartbeat.sequence(), 0,
							1, this.leaving, Map.of(), heartbeat.receivedHeartbeats(), List.of()));
				}
				else if (effect instanceof MembershipEffect.SendDigests digests) {
					List<DataCentreDigest> all = new ArrayList<>(digests.relayed());
					if (digests.includeOwn()) {
						all.add(ownDigest(now));
					}
					sender.send(digests.to().value(), all);
				}
			});
		}

		private DataCentreDigest ownDigest(long now) {
			Map<Incarnation, MemberAddress> live = new HashMap<>();
			live.put(this.self, this.address);
			this.membership.members()
				.stream()
				.filter((member) -> member.state().isServing())
				.forEach((member) -> live.put(member.incarnation(), member.address()));
			return new DataCentreDigest(this.address.dataCentre(), now, 0, Map.of(), live);
		}

		@SuppressWarnings("unchecked")
		void receive(Object message, DataCentreId from, long now) {
			if (message instanceof Heartbeat heartbeat) {
				this.membership.heartbeatReceived(heartbeat, now);
			}
			else {
				this.membership.digestsReceived((List<DataCentreDigest>) message, from, now);
			}
		}

	}

}
