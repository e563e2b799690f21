package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import org.limpetgate.scheduling.FleetNetwork.Impairment;

/**
 * The faults of {@link FleetSimulation}, which it can inject at random, in series that
 * overlap. Not thread-safe.
 */
final class FleetFaults {

	private static final int MIN_PARTITION_MILLIS = 100;

	private static final int MAX_PARTITION_MILLIS = 10_000;

	private static final int MIN_PAUSE_MILLIS = 50;

	private static final int MAX_PAUSE_MILLIS = 4000;

	/** One in so many interruptions resets the links that it interrupts. */
	private static final int RESETTING_INTERRUPTIONS = 3;

	private static final int MIN_RESTART_MILLIS = 300;

	private static final int MAX_RESTART_MILLIS = 3000;

	private static final int MIN_INTERVAL_MILLIS = 800;

	private static final int MAX_INTERVAL_MILLIS = 8000;

	private final FleetSimulation fleet;

	private final FleetNetwork network;

	private final Random random;

	private final FleetTrace.Writer trace;

	/** The longest time between two faults of this simulation. */
	private final int intervalMillis;

	private boolean stopped;

	FleetFaults(FleetSimulation fleet, FleetNetwork network, FleetTrace trace) {
		this.fleet = fleet;
		this.network = network;
		this.random = network.random();
		this.trace = trace.writer("net");
		this.intervalMillis = MIN_INTERVAL_MILLIS + this.random.nextInt(MAX_INTERVAL_MILLIS - MIN_INTERVAL_MILLIS);
	}

	void start() {
		scheduleNext();
	}

	// Starts no more faults; those that last end by themselves.
	void stop() {
		this.stopped = true;
	}

	private void scheduleNext() {
		this.network.time().schedule(this.random.nextInt(this.intervalMillis) * FleetNetwork.MILLI, () -> {
			if (!this.stopped) {
				inject();
				scheduleNext();
			}
		});
	}

	private void inject() {
		switch (this.random.nextInt(16)) {
			case 0, 1 -> partitionDataCentre();
			case 2 -> partitionHost();
			case 3, 4 -> partitionHosts();
			case 5, 6 -> silenceHost();
			case 7 -> resetLink();
			case 8, 9 -> silenceLink();
			case 10, 11 -> pauseHost();
			case 12 -> killHost();
			case 13, 14 -> partitionWorker();
			default -> restartWorker();
		}
	}

	// Returns a time whose logarithm is uniformly distributed.
	private long randomNanos(int minMillis, int maxMillis) {
		double millis = minMillis * Math.pow((double) maxMillis / minMillis, this.random.nextDouble());
		return (long) (millis * FleetNetwork.MILLI);
	}

	private String anyHost() {
		return this.fleet.hostNames().get(this.random.nextInt(this.fleet.hostNames().size()));
	}

	private String anyWorker() {
		return this.fleet.workerNames().get(this.random.nextInt(this.fleet.workerNames().size()));
	}

	private List<String> select(Predicate<String> condition) {
		List<String> names = new ArrayList<>(this.fleet.hostNames());
		names.addAll(this.fleet.workerPlaces());
		return names.stream().filter(condition).toList();
	}

	private void partitionDataCentre() {
		String dataCentre = this.fleet.dataCentre(anyHost());
		interrupt("data centre " + dataCentre, select((name) -> this.fleet.dataCentre(name).equals(dataCentre)),
				select((name) -> !this.fleet.dataCentre(name).equals(dataCentre)), true);
	}

	private void partitionHost() {
		String host = anyHost();
		interrupt("host " + host, List.of(host), select((name) -> !name.equals(host)), true);
	}

	private void partitionHosts() {
		String host = anyHost();
		String other = anyHost();
		if (!host.equals(other)) {
			interrupt("hosts", List.of(host), List.of(other), true);
		}
	}

	private void silenceHost() {
		String host = anyHost();
		boolean outgoing = this.random.nextBoolean();
		List<String> others = select((name) -> !name.equals(host) && this.random.nextBoolean());
		interrupt("one way", outgoing ? List.of(host) : others, outgoing ? others : List.of(host), false);
	}

	private void partitionWorker() {
		String worker = anyWorker();
		interrupt("worker", List.of(worker),
				this.fleet.hostNames().stream().filter((host) -> this.random.nextBoolean()).toList(), true);
	}

	private void interrupt(String kind, List<String> side, List<String> others, boolean bothWays) {
		Runnable healing = beginInterruption(kind, side, others, bothWays);
		if (this.random.nextInt(RESETTING_INTERRUPTIONS) == 0) {
			resetLinks(side, others);
		}
		this.network.time().schedule(randomNanos(MIN_PARTITION_MILLIS, MAX_PARTITION_MILLIS), healing);
	}

	// Returns the action that ends the interruption.
	private Runnable beginInterruption(String kind, List<String> side, List<String> others, boolean bothWays) {
		String text = kind + " " + side + (bothWays ? " and " : " to ") + others;
		this.trace.event("INTERRUPTED " + text);
		forEachDirection(side, others, bothWays, this.network::interrupt);
		return () -> {
			this.trace.event("HEALED " + text);
			forEachDirection(side, others, bothWays, this.network::heal);
		};
	}

	private static void forEachDirection(List<String> side, List<String> others, boolean bothWays,
			BiConsumer<String, String> action) {
		for (String name : side) {
			for (String other : others) {
				action.accept(name, other);
				if (bothWays) {
					action.accept(other, name);
				}
			}
		}
	}

	/**
	 * Interrupts a part of the network silently.
	 * @param kind what is cut off, for the trace
	 * @param side the hosts and workers on one side
	 * @param others the hosts and workers on the other side
	 * @param bothWays whether nothing passes from the other side either
	 * @param nanos the duration
	 */
	void interrupt(String kind, List<String> side, List<String> others, boolean bothWays, long nanos) {
		this.network.time().schedule(nanos, beginInterruption(kind, side, others, bothWays));
	}

	/**
	 * Makes half of the orders between hosts and workers, and of their answers, get lost
	 * or late.
	 * @param workers the workers
	 * @param hosts the hosts
	 * @param nanos the duration
	 */
	void disturbOrders(List<String> workers, List<String> hosts, long nanos) {
		impair(Impairment.UNRELIABLE, workers, hosts, true, nanos);
	}

	/**
	 * Makes orders that meet an interruption get lost, as the connections of orders are
	 * closed when they time out.
	 * @param hosts the hosts
	 * @param workers the workers
	 * @param nanos the duration
	 */
	void loseInterruptedOrders(List<String> hosts, List<String> workers, long nanos) {
		impair(Impairment.LOSSY, hosts, workers, false, nanos);
	}

	/**
	 * Fills the write buffers of the links from one host to others. What is written
	 * nevertheless waits behind the bytes in the buffers.
	 * @param host the host
	 * @param others the hosts to which it opened the links
	 * @param delayNanos how long it waits, in nanoseconds
	 * @param nanos the duration
	 */
	void fillLinks(String host, List<String> others, long delayNanos, long nanos) {
		impair(Impairment.FULL, List.of(host), others, false, nanos);
		others.forEach((other) -> this.network.setQueueingDelay(host, other, delayNanos));
		this.network.time()
			.schedule(nanos, () -> others.forEach((other) -> this.network.setQueueingDelay(host, other, 0)));
	}

	private void impair(Impairment kind, List<String> side, List<String> others, boolean bothWays, long nanos) {
		this.trace.event(kind + " " + side + " to " + others);
		forEachDirection(side, others, bothWays, (from, to) -> this.network.impair(kind, from, to));
		this.network.time().schedule(nanos, () -> {
			this.trace.event("no longer " + kind + " " + side + " to " + others);
			forEachDirection(side, others, bothWays, (from, to) -> this.network.repair(kind, from, to));
		});
	}

	/**
	 * Slows the links between hosts down; the order of the messages stays.
	 * @param host the host on one side
	 * @param others the hosts on the other side
	 * @param delayNanos the queueing delay in each direction, in nanoseconds
	 * @param nanos the duration
	 */
	void slowLinks(String host, List<String> others, long delayNanos, long nanos) {
		this.trace.event("SLOW " + host + " and " + others + " by " + delayNanos / FleetNetwork.MILLI + " ms");
		forEachDirection(List.of(host), others, true,
				(from, to) -> this.network.setQueueingDelay(from, to, delayNanos));
		this.network.time().schedule(nanos, () -> {
			this.trace.event("no longer SLOW " + host + " and " + others);
			forEachDirection(List.of(host), others, true, (from, to) -> this.network.setQueueingDelay(from, to, 0));
		});
	}

	/**
	 * Loses the machine of a host: its peers notice that by its silence only.
	 * @param name the host
	 */
	void loseHost(String name) {
		if (this.fleet.host(name).isUp()) {
			kill(name);
			restartLater(name);
		}
	}

	/**
	 * Pauses a host unless it is paused already.
	 * @param name the host
	 * @param nanos the duration
	 */
	void pauseHost(String name, long nanos) {
		SimulatedHost host = this.fleet.host(name);
		if (host.isUp() && !host.isPaused()) {
			host.pause();
			this.network.time().schedule(nanos, host::resume);
		}
	}

	// Resets links as a firewall does, which answers the first frame after an
	// interruption instead of the peer.
	private void resetLinks(List<String> side, List<String> others) {
		for (FleetLink link : List.copyOf(this.network.links())) {
			if (side.contains(link.opener()) && others.contains(link.acceptor())) {
				this.trace.event("RESET link " + link + " at its opener");
				link.resetOpener();
			}
		}
	}

	private FleetLink anyLink() {
		return this.network.links().get(this.random.nextInt(this.network.links().size()));
	}

	private void resetLink() {
		FleetLink link = anyLink();
		this.trace.event("RESET link " + link);
		link.reset();
	}

	private void silenceLink() {
		FleetLink link = anyLink();
		this.trace.event("SILENT link " + link);
		link.silence();
		if (this.random.nextBoolean()) {
			this.network.time().schedule(randomNanos(MIN_PARTITION_MILLIS, MAX_PARTITION_MILLIS), link::resume);
		}
	}

	private void pauseHost() {
		SimulatedHost host = this.fleet.host(anyHost());
		if (host.isUp() && !host.isPaused()) {
			host.pause();
			this.network.time().schedule(randomNanos(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS), host::resume);
		}
	}

	private void killHost() {
		endHost(anyHost());
	}

	/**
	 * Kills the process of a host unless it is down already.
	 * @param name the host
	 */
	void endHost(String name) {
		if (this.fleet.host(name).isUp()) {
			kill(name);
			endLinks(name);
			restartLater(name);
		}
	}

	private void kill(String name) {
		this.fleet.host(name).kill();
		this.fleet.callers().hostKilled(this.fleet.host(name));
	}

	private void restartLater(String name) {
		this.network.time()
			.schedule(randomNanos(MIN_RESTART_MILLIS, MAX_RESTART_MILLIS), () -> this.fleet.restartHost(name));
	}

	// The kernel of a killed process closes its links; a lost machine does not.
	private void endLinks(String name) {
		int kind = this.random.nextInt(3);
		for (FleetLink link : this.network.links()) {
			boolean opener = link.opener().equals(name);
			if (!opener && !link.acceptor().equals(name)) {
				continue;
			}
			if (kind == 0 && opener) {
				link.closeByOpener();
			}
			else if (kind == 0) {
				link.closeByAcceptor();
			}
			else if (kind == 1 && opener) {
				link.resetByOpener();
			}
			else if (kind == 1) {
				link.resetByAcceptor();
			}
		}
	}

	private void restartWorker() {
		String name = anyWorker();
		this.trace.event("RESTARTED worker " + name);
		this.fleet.restartWorker(name);
	}

}
