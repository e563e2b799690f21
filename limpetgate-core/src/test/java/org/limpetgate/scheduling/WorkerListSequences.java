package org.limpetgate.scheduling;

import java.util.Comparator;
import java.util.List;
import java.util.Random;

import org.limpetgate.HostId;

/**
 * Injects sequences of faults that meet at the same jobs of {@link FleetSimulation}: a
 * worker runs tasks that the next scheduler does not have in its list of workers. Not
 * thread-safe.
 */
final class WorkerListSequences {

	/** A host that was lost has had the list for 6 s before the next sequence. */
	private static final int MIN_INTERVAL_MILLIS = 5000;

	private static final int MAX_INTERVAL_MILLIS = 7500;

	/** A host trusts a list that it has had for 6 s. */
	private static final int MIN_START_MILLIS = 6500;

	private static final int MAX_START_MILLIS = 8500;

	/** How long the scheduler lives after a new worker has got runs. */
	private static final int MAX_SURVIVAL_MILLIS = 1000;

	/** Half of the schedulers live for less, so that no other host has read the entry. */
	private static final int MAX_SHORT_SURVIVAL_MILLIS = 100;

	/** How frequently it is checked whether a new worker has got runs. */
	private static final long CHECK_NANOS = 10 * FleetNetwork.MILLI;

	/** A new worker that has no runs after this is left alone. */
	private static final int MAX_CHECKS = 250;

	/** One job is sent in so many checks, until the new worker has runs. */
	private static final int CHECKS_PER_JOB = 5;

	private static final int MIN_REFUSAL_MILLIS = 500;

	private static final int MAX_REFUSAL_MILLIS = 15_000;

	/** How long before a worker joins the store refuses the next scheduler. */
	private static final int MAX_REFUSAL_LEAD_MILLIS = 3000;

	/** Entries of workers that are cut off for longer are forgotten. */
	private static final int MIN_CUT_MILLIS = 10_000;

	private static final int MAX_CUT_MILLIS = 15_000;

	/**
	 * One in so many cuts is around any data centre, the others around that of the
	 * scheduler: at its end the later scheduler goes on, which follows the list.
	 */
	private static final int OTHER_DATA_CENTRES = 4;

	/** How long before the end of a cut jobs are sent. */
	private static final int MAX_JOB_LEAD_MILLIS = 1200;

	private static final int MIN_JOBS = 2;

	private static final int MAX_JOBS = 6;

	/** The connections of these callers do not break during a sequence. */
	private static final long CONNECTION_NANOS = 20_000 * FleetNetwork.MILLI;

	private final FleetSimulation fleet;

	private final FleetFaults faults;

	private final WorkerListFaults listFaults;

	private final SimulatedWorkerList list;

	private final VirtualTime time;

	private final Random random;

	private final List<Kind> kinds;

	private boolean stopped;

	WorkerListSequences(FleetSimulation fleet, FleetFaults faults, WorkerListFaults listFaults, FleetNetwork network,
			SimulatedWorkerList list, List<Kind> kinds) {
		this.fleet = fleet;
		this.faults = faults;
		this.listFaults = listFaults;
		this.list = list;
		this.time = network.time();
		this.random = network.random();
		this.kinds = List.copyOf(kinds);
	}

	// Begins sequences after each other.
	void start() {
		startAfter(randomNanos(MIN_START_MILLIS, MAX_START_MILLIS));
	}

	private void startAfter(long delayNanos) {
		this.time.schedule(delayNanos, () -> {
			if (!this.stopped) {
				long nanos = begin(this.kinds.get(this.random.nextInt(this.kinds.size())));
				startAfter(nanos + randomNanos(MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS));
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

	private <T> T any(List<T> values) {
		return values.get(this.random.nextInt(values.size()));
	}

	// Returns the time until the sequence is over.
	private long begin(Kind kind) {
		return switch (kind) {
			case SCHEDULER_LOST_AFTER_JOIN -> {
				joinAndLoseScheduler();
				yield MAX_CHECKS * CHECK_NANOS + MAX_SURVIVAL_MILLIS * FleetNetwork.MILLI;
			}
			case REFUSED_HOST_SCHEDULES -> {
				this.list.refuse(nextScheduler(), randomNanos(MIN_REFUSAL_MILLIS, MAX_REFUSAL_MILLIS));
				long lead = randomNanos(0, MAX_REFUSAL_LEAD_MILLIS);
				this.time.schedule(lead, this::joinAndLoseScheduler);
				yield lead + MAX_CHECKS * CHECK_NANOS + MAX_SURVIVAL_MILLIS * FleetNetwork.MILLI;
			}
			case DATA_CENTRE_RETURNS -> returnDataCentre();
			case REFUSED_SCHEDULER_LOST -> loseRefusedScheduler();
		};
	}

	private void joinAndLoseScheduler() {
		String worker = this.fleet.startWorker(this.fleet.dataCentre(any(this.fleet.hostNames())));
		if (worker != null) {
			awaitRuns(worker, MAX_CHECKS);
		}
	}

	// Sends jobs whose hosts outlive the scheduler until the new worker has runs.
	private void awaitRuns(String worker, int checks) {
		FakeWorker present = this.fleet.worker(worker);
		if (present != null && !present.jobs().isEmpty()) {
			int maxMillis = this.random.nextBoolean() ? MAX_SHORT_SURVIVAL_MILLIS : MAX_SURVIVAL_MILLIS;
			this.time.schedule(randomNanos(0, maxMillis), () -> loseScheduler(scheduler()));
		}
		else if (checks > 0) {
			if (checks % CHECKS_PER_JOB == 0) {
				sendJob(survivors());
			}
			this.time.schedule(CHECK_NANOS, () -> awaitRuns(worker, checks - 1));
		}
	}

	private void loseScheduler(String scheduler) {
		if (this.random.nextBoolean()) {
			this.faults.loseHost(scheduler);
		}
		else {
			this.faults.endHost(scheduler);
		}
	}

	private List<String> survivors() {
		String scheduler = scheduler();
		return this.fleet.hostNames()
			.stream()
			.filter((name) -> !name.equals(scheduler) && this.fleet.host(name).isUp())
			.toList();
	}

	// Sends a job to one of some hosts, and again to any of them.
	private void sendJob(List<String> hosts) {
		if (!hosts.isEmpty()) {
			this.fleet.callers().sendUnstable(() -> this.fleet.host(any(hosts)), CONNECTION_NANOS);
		}
	}

	// Returns the host that schedules in the view of most hosts.
	private String scheduler() {
		return this.fleet.hostNames()
			.stream()
			.map(this.fleet::host)
			.filter(SimulatedHost::isUp)
			.map(SimulatedHost::schedulingHost)
			.filter((host) -> host != null && this.fleet.host(host.value()).isUp())
			.map(HostId::value)
			.findFirst()
			.orElseGet(() -> any(this.fleet.hostNames()));
	}

	// Returns the host that is elected when the scheduler is lost, as all hosts have the
	// same share of a processor.
	private String nextScheduler() {
		return survivors().stream()
			.min(Comparator.<String>comparingInt((name) -> HostId.of(name).hashCode())
				.thenComparing(Comparator.naturalOrder()))
			.orElseGet(this::scheduler);
	}

	// Cuts a data centre off until its workers are no longer listed, and hands the jobs
	// of its scheduler over to that of the others.
	private long returnDataCentre() {
		String dataCentre = this.fleet
			.dataCentre((this.random.nextInt(OTHER_DATA_CENTRES) > 0) ? scheduler() : any(this.fleet.hostNames()));
		long nanos = randomNanos(MIN_CUT_MILLIS, MAX_CUT_MILLIS);
		this.listFaults.cutDataCentreOff(dataCentre, nanos);
		List<String> inside = this.fleet.hostNames()
			.stream()
			.filter((name) -> this.fleet.dataCentre(name).equals(dataCentre))
			.toList();
		for (int jobs = MIN_JOBS + this.random.nextInt(MAX_JOBS - MIN_JOBS); jobs > 0; jobs--) {
			this.time.schedule(nanos - randomNanos(0, MAX_JOB_LEAD_MILLIS), () -> sendJob(inside));
		}
		return nanos;
	}

	// Cuts workers off from the store, which refuses the scheduler meanwhile, so that
	// this
	// one goes on to use workers that the others have forgotten.
	private long loseRefusedScheduler() {
		long nanos = randomNanos(MIN_CUT_MILLIS, MAX_CUT_MILLIS);
		String scheduler = scheduler();
		List<String> workers = this.fleet.workerNames().stream().filter((name) -> this.random.nextBoolean()).toList();
		this.list.refuse(scheduler, nanos);
		this.faults.interrupt("workers from the store", workers, List.of(SimulatedWorkerList.NAME), true, nanos);
		List<String> others = survivors();
		for (int jobs = MIN_JOBS + this.random.nextInt(MAX_JOBS - MIN_JOBS); jobs > 0; jobs--) {
			this.time.schedule(nanos - randomNanos(0, MAX_JOB_LEAD_MILLIS), () -> sendJob(others));
		}
		this.time.schedule(nanos - randomNanos(0, MAX_SHORT_SURVIVAL_MILLIS), () -> loseScheduler(scheduler));
		return nanos;
	}

	/** What makes the list of the next scheduler incomplete. */
	enum Kind {

		/** A worker joins and gets runs, and the scheduler is lost within 1 s. */
		SCHEDULER_LOST_AFTER_JOIN,
		/** The same, and the store refuses the next scheduler. */
		REFUSED_HOST_SCHEDULES,
		/**
		 * A data centre is cut off from the store and the others until its entries have
		 * expired, and has a scheduler of its own, whose jobs are then handed over.
		 */
		DATA_CENTRE_RETURNS,
		/**
		 * Workers are cut off from the store until their entries have expired, while the
		 * store refuses the scheduler, which uses them until it is lost.
		 */
		REFUSED_SCHEDULER_LOST

	}

}
