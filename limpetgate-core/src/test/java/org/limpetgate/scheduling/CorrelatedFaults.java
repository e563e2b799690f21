package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.JobId;

/**
 * Injects sequences of faults that meet at the same job of {@link FleetSimulation}, which
 * independent faults almost never do: the network is partitioned, so that two hosts
 * schedule, the caller of a job loses its connection and sends the job to the side of the
 * other scheduler, and meanwhile the first one has trouble to end the runs. Not
 * thread-safe.
 */
final class CorrelatedFaults {

	/** The time from the end of a partition to the next sequence. */
	private static final int MIN_INTERVAL_MILLIS = 500;

	private static final int MAX_INTERVAL_MILLIS = 1500;

	/**
	 * How long before the job is sent a partition begins. Both sides have a scheduler
	 * after about 0.9 s.
	 */
	private static final int MIN_PARTITION_LEAD_MILLIS = 800;

	private static final int MAX_PARTITION_LEAD_MILLIS = 2500;

	/** How long after the job is sent a partition begins otherwise. */
	private static final int MIN_PARTITION_DELAY_MILLIS = 10;

	private static final int MAX_PARTITION_DELAY_MILLIS = 500;

	/** The earliest and latest time from the loss of the caller to the healing. */
	private static final int MIN_HEALING_MILLIS = 1000;

	private static final int MAX_HEALING_MILLIS = 4000;

	/** Heals about when the caller sends its job again. */
	private static final int MAX_NEAR_HEALING_MILLIS = 1500;

	private static final int MIN_CONNECTION_MILLIS = 20;

	private static final int MAX_CONNECTION_MILLIS = 400;

	/** How long a caller waits that loses its job to a deadline. */
	private static final int MIN_WAIT_MILLIS = 300;

	private static final int MAX_WAIT_MILLIS = 1500;

	private static final int MIN_QUEUEING_MILLIS = 200;

	private static final int MAX_QUEUEING_MILLIS = 900;

	/** Links with a longer queueing delay are lost. */
	private static final int MAX_BORNE_QUEUEING_MILLIS = 400;

	/** How long a message waits behind the bytes in a full write buffer. */
	private static final int MIN_DRAINING_MILLIS = 20;

	private static final int MAX_DRAINING_MILLIS = 500;

	/** How long a host lives after the job was sent to it. */
	private static final int MIN_SURVIVAL_MILLIS = 3;

	private static final int MAX_SURVIVAL_MILLIS = 150;

	/** Of more kinds of trouble a sequence selects some. */
	private static final int MAX_TROUBLES = 2;

	/** One in so many callers of a sequence loses its job to a deadline. */
	private static final int EARLY_DEADLINES = 4;

	/** One in so many repeated jobs may stay on the side of the first scheduler. */
	private static final int SAME_SIDE_RETRIES = 4;

	private final FleetSimulation fleet;

	private final FleetFaults faults;

	private final VirtualTime time;

	private final Random random;

	private final List<Trouble> troubles;

	private boolean stopped;

	CorrelatedFaults(FleetSimulation fleet, FleetFaults faults, FleetNetwork network, Set<Trouble> troubles) {
		this.fleet = fleet;
		this.faults = faults;
		this.time = network.time();
		this.random = network.random();
		this.troubles = List.copyOf(new TreeSet<>(troubles));
	}

	void start() {
		this.time.schedule(randomNanos(MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS), () -> {
			if (!this.stopped) {
				long nanos = new Sequence().begin();
				this.time.schedule(nanos, this::start);
			}
		});
	}

	// Starts no more sequences.
	void stop() {
		this.stopped = true;
	}

	private long randomNanos(int minMillis, int maxMillis) {
		return (minMillis + this.random.nextInt(maxMillis - minMillis)) * FleetNetwork.MILLI;
	}

	private boolean oneIn(int count) {
		return this.random.nextInt(count) == 0;
	}

	private <T> T any(List<T> values) {
		return values.get(this.random.nextInt(values.size()));
	}

	// Returns about half of the values, but at least one.
	private <T> List<T> some(List<T> values) {
		List<T> selected = new ArrayList<>(values.stream().filter((value) -> this.random.nextBoolean()).toList());
		return selected.isEmpty() ? List.of(any(values)) : selected;
	}

	private List<String> hosts(Predicate<String> condition) {
		return this.fleet.hostNames().stream().filter(condition).toList();
	}

	private List<String> workers(Predicate<String> condition) {
		return this.fleet.workerPlaces().stream().filter(condition).toList();
	}

	/** What meets the job of a sequence beside a partition and the loss of its caller. */
	enum Trouble {

		/** Workers with runs of the job lose the path to hosts, in one or both ways. */
		WORKERS_CUT_OFF(-300, 900, 200, 2500),
		/** Orders to these workers, and their answers, are lost or late. */
		ORDERS_LOST(-300, 300, 1000, 3500),
		/** Messages between the host of the job and others wait in queues. */
		LINKS_SLOW(-2000, 100, 500, 4000),
		/** The links of the host of the job carry no more one-way messages. */
		LINKS_FULL(-100, 10, 100, 1000),
		/** The host of the job, or its scheduler, is paused. */
		HOST_PAUSED(-500, 800, 100, 2000),
		/** The machine of the host is lost soon after it has submitted the job. */
		HOST_LOST(0, 1, 0, 1),
		/**
		 * The data centre of the scheduler, or that of the host of the job, is drained.
		 */
		DATA_CENTRE_DRAINED(-6000, 300, 2000, 12_000);

		private final int earliestMillis;

		private final int latestMillis;

		private final int minMillis;

		private final int maxMillis;

		// The beginning is relative to the loss of the caller's connection.
		Trouble(int earliestMillis, int latestMillis, int minMillis, int maxMillis) {
			this.earliestMillis = earliestMillis;
			this.latestMillis = latestMillis;
			this.minMillis = minMillis;
			this.maxMillis = maxMillis;
		}

	}

	/** One sequence of faults, aimed at one job. */
	private final class Sequence {

		/** The host that accepts the job first. */
		private final String first = any(hosts((name) -> CorrelatedFaults.this.fleet.host(name).isUp()));

		/** The side of the partition with the first host. */
		private List<String> side = List.of(this.first);

		private JobId job;

		/** The scheduler when the job is sent for the first time, null before. */
		private String firstScheduler;

		// Returns the time until the partition is over.
		long begin() {
			boolean partitionFirst = CorrelatedFaults.this.random.nextBoolean();
			long sendNanos = partitionFirst ? randomNanos(MIN_PARTITION_LEAD_MILLIS, MAX_PARTITION_LEAD_MILLIS) : 0;
			long partitionNanos = partitionFirst ? 0
					: randomNanos(MIN_PARTITION_DELAY_MILLIS, MAX_PARTITION_DELAY_MILLIS);
			boolean deadline = oneIn(EARLY_DEADLINES);
			long connectionNanos = deadline ? randomNanos(MIN_WAIT_MILLIS, MAX_WAIT_MILLIS)
					: randomNanos(MIN_CONNECTION_MILLIS, MAX_CONNECTION_MILLIS);
			long lossNanos = sendNanos + connectionNanos;
			long endNanos = lossNanos + randomNanos(MIN_HEALING_MILLIS,
					CorrelatedFaults.this.random.nextBoolean() ? MAX_NEAR_HEALING_MILLIS : MAX_HEALING_MILLIS);
			schedule(partitionNanos, () -> partition(endNanos - partitionNanos));
			schedule(sendNanos, () -> sendJob(connectionNanos, deadline));
			for (Trouble trouble : selectedTroubles()) {
				if (trouble == Trouble.HOST_LOST) {
					schedule(sendNanos + randomNanos(MIN_SURVIVAL_MILLIS, MAX_SURVIVAL_MILLIS),
							() -> CorrelatedFaults.this.faults.loseHost(this.first));
					continue;
				}
				long delayNanos = lossNanos + randomNanos(trouble.earliestMillis, trouble.latestMillis);
				schedule(Math.max(0, delayNanos),
						() -> cause(trouble, randomNanos(trouble.minMillis, trouble.maxMillis)));
			}
			return endNanos;
		}

		private List<Trouble> selectedTroubles() {
			List<Trouble> all = CorrelatedFaults.this.troubles;
			return (all.size() > MAX_TROUBLES) ? some(all) : all;
		}

		private void schedule(long delayNanos, Runnable action) {
			CorrelatedFaults.this.time.schedule(delayNanos, action);
		}

		private void partition(long nanos) {
			CorrelatedFaults outer = CorrelatedFaults.this;
			String dataCentre = outer.fleet.dataCentre(this.first);
			Predicate<String> inside = (name) -> outer.fleet.dataCentre(name).equals(dataCentre);
			this.side = hosts(inside);
			List<String> others = hosts(inside.negate());
			switch (outer.random.nextInt(6)) {
				case 0, 1, 2 -> outer.faults.interrupt("data centre", join(this.side, workers(inside)),
						join(others, workers(inside.negate())), true, nanos);
				case 3 -> outer.faults.interrupt("hosts of the data centre", this.side, others, true, nanos);
				case 4 -> outer.faults.interrupt("data centre, one way", join(this.side, workers(inside)),
						join(others, workers(inside.negate())), false, nanos);
				default -> partitionHost(nanos);
			}
		}

		private void partitionHost(long nanos) {
			CorrelatedFaults outer = CorrelatedFaults.this;
			this.side = List.of(this.first);
			List<String> others = hosts((name) -> !name.equals(this.first));
			outer.faults.interrupt("host", this.side,
					outer.random.nextBoolean() ? join(others, outer.fleet.workerPlaces()) : others, true, nanos);
		}

		private static List<String> join(List<String> names, List<String> others) {
			List<String> joined = new ArrayList<>(names);
			joined.addAll(others);
			return joined;
		}

		private void sendJob(long connectionNanos, boolean deadline) {
			SimulatedCallers callers = CorrelatedFaults.this.fleet.callers();
			this.job = deadline ? callers.sendUrgent(this::nextHost, connectionNanos)
					: callers.sendUnstable(this::nextHost, connectionNanos);
		}

		// The first attempt goes to the first host, the others mostly to the side of the
		// partition on which the first scheduler is not.
		private SimulatedHost nextHost() {
			FleetSimulation fleet = CorrelatedFaults.this.fleet;
			if (this.firstScheduler == null) {
				this.firstScheduler = scheduler();
				return fleet.host(this.first);
			}
			List<String> others = hosts((name) -> !name.equals(this.first));
			List<String> otherSide = others.stream()
				.filter((name) -> this.side.contains(name) != this.side.contains(this.firstScheduler))
				.toList();
			return fleet.host(any((otherSide.isEmpty() || oneIn(SAME_SIDE_RETRIES)) ? others : otherSide));
		}

		private void cause(Trouble trouble, long nanos) {
			CorrelatedFaults outer = CorrelatedFaults.this;
			List<String> others = hosts((name) -> !name.equals(this.first));
			switch (trouble) {
				case WORKERS_CUT_OFF -> cutWorkersOff(nanos);
				case ORDERS_LOST -> outer.faults.disturbOrders(affectedWorkers(), outer.fleet.hostNames(), nanos);
				case LINKS_SLOW -> outer.faults.slowLinks(this.first, others, queueingNanos(), nanos);
				case DATA_CENTRE_DRAINED -> outer.fleet.drains()
					.drain(DataCentreId
						.of(outer.fleet.dataCentre(outer.random.nextBoolean() ? this.first : scheduler())), nanos);
				case LINKS_FULL -> outer.faults.fillLinks(this.first, others,
						randomNanos(MIN_DRAINING_MILLIS, MAX_DRAINING_MILLIS), nanos);
				default -> outer.faults.pauseHost(outer.random.nextBoolean() ? this.first : scheduler(), nanos);
			}
		}

		private long queueingNanos() {
			return randomNanos(MIN_QUEUEING_MILLIS,
					CorrelatedFaults.this.random.nextBoolean() ? MAX_BORNE_QUEUEING_MILLIS : MAX_QUEUEING_MILLIS);
		}

		// Returns the host that schedules in the view of the first host.
		private String scheduler() {
			HostId scheduler = CorrelatedFaults.this.fleet.host(this.first).schedulingHost();
			return (scheduler != null) ? scheduler.value() : this.first;
		}

		private List<String> affectedWorkers() {
			List<String> workers = CorrelatedFaults.this.fleet.workersOf(this.job);
			return workers.isEmpty() ? some(CorrelatedFaults.this.fleet.workerNames()) : workers;
		}

		private void cutWorkersOff(long nanos) {
			CorrelatedFaults outer = CorrelatedFaults.this;
			List<String> workers = affectedWorkers();
			List<String> hosts = outer.random.nextBoolean() ? outer.fleet.hostNames() : some(outer.fleet.hostNames());
			switch (outer.random.nextInt(3)) {
				case 0 -> outer.faults.interrupt("workers", workers, hosts, true, nanos);
				case 1 -> outer.faults.interrupt("answers of workers", workers, hosts, false, nanos);
				default -> outer.faults.interrupt("orders of hosts", hosts, workers, false, nanos);
			}
		}

	}

}
