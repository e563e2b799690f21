package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.limpetgate.DataCentreId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.CorrelatedFaults.Trouble;
import org.limpetgate.scheduling.FleetLink.LinkEnd;
import org.limpetgate.scheduling.WorkerListSequences.Kind;
import org.limpetgate.scheduling.WorkerReport.EndKind;

/**
 * Simulates a fleet in virtual time: entry hosts in several data centres, each with a
 * real election and a real scheduler, the links between them, workers, and callers that
 * send jobs again. The faults are random: partitions that delay messages, links that are
 * reset or go silent, hosts that pause or are killed, and orders that workers carry out
 * late. They are independent of each other, or correlated as {@link CorrelatedFaults}
 * tells. All hosts have the same list of workers, unless they read it from a
 * {@link SimulatedWorkerList}, which then has faults too.
 * <p>
 * Checks that no task has two runs at the same time, that no worker is overcommitted,
 * that no task of a refused job has started, that every task of a completed job is done
 * and that no task starts in a data centre that has been drained for longer than the
 * bound. Not thread-safe.
 */
final class FleetSimulation {

	private static final long START_NANOS = TimeUnit.DAYS.toNanos(21_000);

	private static final int MIN_HOSTS = 3;

	private static final int MAX_HOSTS = 5;

	/** Added to the number of hosts if the faults are correlated. */
	private static final int EXTRA_HOSTS = 2;

	private static final int WORKERS_PER_DATA_CENTRE = 3;

	/** Workers of each data centre that may join later. */
	private static final int SPARE_WORKERS_PER_DATA_CENTRE = 8;

	private static final int MAX_CLOCK_OFFSET_MILLIS = 40;

	/** How far the wall clock of a host may jump, in both directions. */
	private static final int MAX_CLOCK_STEP_MILLIS = 3_000;

	private static final double MAX_CLOCK_DRIFT = 0.02;

	private static final long LIST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	/** How long the workers have run when the simulation starts. */
	private static final long WORKER_AGE_NANOS = TimeUnit.SECONDS.toNanos(100);

	/** Longer than any fault lasts, and than it takes to close a silent link. */
	private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(25);

	private final VirtualTime time = new VirtualTime(START_NANOS);

	private final Random random;

	private final Supplier<SubmissionRules> rules;

	private final FleetTrace trace = new FleetTrace(this.time);

	private final FleetNetwork network;

	/** The workers that run. */
	private final Map<UpstreamId, FakeWorker> workers = new TreeMap<>();

	/** The names of all workers, which may run or not. */
	private final List<String> workerPlaces = new ArrayList<>();

	private final Map<String, HostPlace> places = new TreeMap<>();

	private final Map<String, SimulatedHost> hosts = new HashMap<>();

	private final Map<String, String> dataCentres = new HashMap<>();

	private final List<String> violations = new ArrayList<>();

	private final RunChecks checks = new RunChecks(this.workers.values(), this::addViolation);

	private final SimulatedCallers callers;

	private final FleetFaults faults;

	/** Null unless data centres are drained. */
	private final SimulatedDrains drains;

	/** Null unless the faults are correlated. */
	private CorrelatedFaults correlatedFaults;

	/** Null unless the hosts read the list of workers from a store. */
	private final SimulatedWorkerList workerList;

	/** Null unless the hosts read the list of workers from a store. */
	private final WorkerListFaults listFaults;

	/** Null unless the faults of the list are correlated. */
	private WorkerListSequences listSequences;

	FleetSimulation(long seed, Supplier<SubmissionRules> rules) {
		this(seed, rules, 0, false, false);
		this.faults.start();
	}

	// Returns a simulation in which data centres are drained besides the other faults.
	static FleetSimulation withDrains(long seed, Supplier<SubmissionRules> rules) {
		FleetSimulation fleet = new FleetSimulation(seed, rules, 0, true, false);
		fleet.faults.start();
		fleet.drains.start();
		return fleet;
	}

	// Returns a simulation whose faults meet at the same jobs. Most data centres have
	// several hosts.
	static FleetSimulation withCorrelatedFaults(long seed, Supplier<SubmissionRules> rules, Set<Trouble> troubles) {
		FleetSimulation fleet = new FleetSimulation(seed, rules, EXTRA_HOSTS,
				troubles.contains(Trouble.DATA_CENTRE_DRAINED), false);
		fleet.correlatedFaults = new CorrelatedFaults(fleet, fleet.faults, fleet.network, troubles);
		fleet.correlatedFaults.start();
		return fleet;
	}

	// Returns a simulation whose hosts read the list of workers from a store that has
	// faults, besides the other faults.
	static FleetSimulation withWorkerList(long seed, Supplier<SubmissionRules> rules) {
		FleetSimulation fleet = new FleetSimulation(seed, rules, EXTRA_HOSTS, false, true);
		fleet.faults.start();
		fleet.listFaults.start();
		return fleet;
	}

	// Returns a simulation whose hosts read the list of workers from a store, with
	// sequences of faults that meet at the same jobs.
	static FleetSimulation withWorkerList(long seed, Supplier<SubmissionRules> rules, List<Kind> sequences) {
		FleetSimulation fleet = new FleetSimulation(seed, rules, EXTRA_HOSTS, false, true);
		fleet.listSequences = new WorkerListSequences(fleet, fleet.faults, fleet.listFaults, fleet.network,
				fleet.workerList, sequences);
		fleet.listSequences.start();
		return fleet;
	}

	private FleetSimulation(long seed, Supplier<SubmissionRules> rules, int extraHosts, boolean draining,
			boolean listing) {
		this.random = new Random(seed);
		this.rules = rules;
		this.network = new FleetNetwork(this.time, this.random);
		this.network.setAcceptor(this::accept);
		this.callers = new SimulatedCallers(this.network, this.trace, this::anyHost, this.checks, this::addViolation);
		this.faults = new FleetFaults(this, this.network, this.trace);
		this.drains = draining ? new SimulatedDrains(this, this.time, this.trace, seed) : null;
		this.workerList = listing ? new SimulatedWorkerList(this.network, this.trace, this.workers) : null;
		this.listFaults = listing ? new WorkerListFaults(this, this.faults, this.network, this.workerList) : null;
		createPlaces(extraHosts);
		if (!listing) {
			publishWorkers();
		}
		this.callers.start();
	}

	private void createPlaces(int extraHosts) {
		int hostCount = extraHosts + MIN_HOSTS + this.random.nextInt(MAX_HOSTS - MIN_HOSTS + 1);
		int dataCentreCount = 2 + this.random.nextInt(2);
		for (int number = 0; number < WORKERS_PER_DATA_CENTRE * dataCentreCount; number++) {
			DataCentreId dataCentre = DataCentreId.of("dc" + number % dataCentreCount);
			addWorkerPlace("w" + number, dataCentre);
			startWorkerAt("w" + number, START_NANOS - WORKER_AGE_NANOS);
		}
		for (int number = 0; isListing() && number < SPARE_WORKERS_PER_DATA_CENTRE * dataCentreCount; number++) {
			addWorkerPlace("new" + number, DataCentreId.of("dc" + number % dataCentreCount));
		}
		for (int number = 0; number < hostCount; number++) {
			DataCentreId dataCentre = DataCentreId.of("dc" + number % dataCentreCount);
			long offset = this.random.nextInt(MAX_CLOCK_OFFSET_MILLIS) * FleetNetwork.MILLI;
			HostPlace place = new HostPlace(number, dataCentre, offset);
			this.places.put(place.name(), place);
			this.dataCentres.put(place.name(), dataCentre.value());
		}
		this.places.keySet().forEach(this::startHost);
	}

	private boolean isListing() {
		return this.workerList != null;
	}

	private void addWorkerPlace(String name, DataCentreId dataCentre) {
		this.workerPlaces.add(name);
		this.dataCentres.put(name, dataCentre.value());
	}

	private void startWorkerAt(String name, long nanos) {
		FakeWorker worker = new FakeWorker(name, DataCentreId.of(dataCentre(name)), nanos,
				1 - MAX_CLOCK_DRIFT * this.random.nextDouble(), new TracedRuns(this.trace, new DrainChecks()));
		this.workers.put(worker.id(), worker);
		if (isListing()) {
			this.workerList.register(worker);
		}
	}

	/**
	 * Starts a worker that has not run recently.
	 * @param dataCentre its data centre
	 * @return its name, null if all workers of the data centre run
	 */
	String startWorker(String dataCentre) {
		String name = this.workerPlaces.stream()
			.filter((place) -> dataCentre(place).equals(dataCentre) && worker(place) == null)
			.findFirst()
			.orElse(null);
		if (name != null) {
			// The worker that has been down for the longest time is the next one.
			this.workerPlaces.remove(name);
			this.workerPlaces.add(name);
			this.trace.writer("net").event("STARTED worker " + name);
			startWorkerAt(name, this.time.nowNanos());
		}
		return name;
	}

	/**
	 * Ends the process of a worker, with its runs, unless no other one would be left in
	 * its data centre.
	 * @param name the worker, which runs
	 */
	void endWorker(String name) {
		boolean last = this.workers.keySet()
			.stream()
			.noneMatch((id) -> !id.value().equals(name) && dataCentre(id.value()).equals(dataCentre(name)));
		if (!last) {
			this.trace.writer("net").event("ENDED worker " + name);
			this.workers.remove(UpstreamId.of(name)).restart(this.time.nowNanos());
		}
	}

	// Starts a worker again under its id, at the same address.
	void restartWorker(String name) {
		worker(name).restart(this.time.nowNanos());
		if (isListing()) {
			this.workerList.register(worker(name));
		}
	}

	// Starts a host again whose wall clock has jumped meanwhile. The clock of a process
	// follows the monotonic clock, so that a jump shows at the next start only.
	void restartHost(String name) {
		int stepMillis = this.random.nextInt(2 * MAX_CLOCK_STEP_MILLIS) - MAX_CLOCK_STEP_MILLIS;
		this.places.computeIfPresent(name, (key, place) -> place.withClockOffset(stepMillis * FleetNetwork.MILLI));
		startHost(name);
	}

	void startHost(String name) {
		List<String> peers = this.places.keySet().stream().filter((peer) -> !peer.equals(name)).toList();
		SimulatedHost host = new SimulatedHost(this.places.get(name), peers, this.network, this.workers,
				this.rules.get(), this.trace);
		this.hosts.put(name, host);
		if (this.drains != null) {
			host.requireDrains();
			this.drains.read(host);
		}
		if (isListing()) {
			host.readWorkers(this.workerList);
		}
	}

	private LinkEnd accept(FleetLink link) {
		SimulatedHost host = this.hosts.get(link.acceptor());
		if (host == null || !host.isUp()) {
			link.closeByAcceptor();
			return null;
		}
		return host.accept(link);
	}

	private void publishWorkers() {
		List<WorkerInfo> listed = this.workers.values().stream().map(FakeWorker::info).toList();
		this.hosts.values().forEach((host) -> host.handle(() -> host.workersListed(listed)));
		this.time.schedule(LIST_INTERVAL_NANOS, this::publishWorkers);
	}

	private SimulatedHost anyHost() {
		return host(hostNames().get(this.random.nextInt(this.places.size())));
	}

	List<String> hostNames() {
		return List.copyOf(this.places.keySet());
	}

	// Returns the names of the workers that run.
	List<String> workerNames() {
		return this.workers.keySet().stream().map(UpstreamId::value).toList();
	}

	// Returns the names of all workers, whether they run or not.
	List<String> workerPlaces() {
		return List.copyOf(this.workerPlaces);
	}

	SimulatedHost host(String name) {
		return this.hosts.get(name);
	}

	// Returns a worker, null if it does not run.
	FakeWorker worker(String name) {
		return this.workers.get(UpstreamId.of(name));
	}

	// Returns the workers on which a job has runs.
	List<String> workersOf(JobId job) {
		return this.workers.values()
			.stream()
			.filter((worker) -> worker.jobs().contains(job))
			.map((worker) -> worker.id().value())
			.toList();
	}

	String dataCentre(String name) {
		return this.dataCentres.get(name);
	}

	// Returns the drained data centres, null unless some are drained.
	SimulatedDrains drains() {
		return this.drains;
	}

	SimulatedCallers callers() {
		return this.callers;
	}

	FleetTrace trace() {
		return this.trace;
	}

	private void addViolation(JobId job, String text) {
		this.violations.add("at " + (this.time.nowNanos() - START_NANOS) / FleetNetwork.MILLI + " ms: " + text + "\n"
				+ String.join("\n", this.trace.events(job)));
	}

	// Injects faults for a time, unless a check fails before.
	FleetSimulation run(long nanos) {
		runEvents(nanos);
		return this;
	}

	// Waits until all faults are over.
	FleetSimulation settle() {
		this.faults.stop();
		if (this.drains != null) {
			this.drains.stop();
		}
		if (this.correlatedFaults != null) {
			this.correlatedFaults.stop();
		}
		if (this.listSequences != null) {
			this.listSequences.stop();
		}
		if (isListing()) {
			this.listFaults.stop();
		}
		runEvents(SETTLE_NANOS);
		return this;
	}

	private void runEvents(long nanos) {
		long end = this.time.nowNanos() + nanos;
		while (this.time.nowNanos() < end && this.violations.isEmpty()) {
			this.time.runNextEvent();
		}
	}

	// Returns each violation with the events before it.
	List<String> violations() {
		return this.violations;
	}

	/** Checks that no run starts in a drained data centre, besides the other checks. */
	private final class DrainChecks implements FakeWorker.RunObserver {

		@Override
		public void started(FakeWorker worker, RunId run, long nowNanos) {
			FleetSimulation fleet = FleetSimulation.this;
			fleet.checks.started(worker, run, nowNanos);
			String violation = (fleet.drains != null) ? fleet.drains.violation(worker, run) : null;
			if (violation != null) {
				addViolation(run.task().job(), violation);
			}
		}

		@Override
		public void ended(FakeWorker worker, RunId run, EndKind kind) {
			FleetSimulation.this.checks.ended(worker, run, kind);
		}

		@Override
		public void acknowledged(FakeWorker worker, RunId run) {
			FleetSimulation.this.checks.acknowledged(worker, run);
		}

	}

}
