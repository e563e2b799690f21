package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;

/**
 * Injects faults of the store with the list of workers into {@link FleetSimulation}, and
 * lets workers join and leave, independently of each other. Not thread-safe.
 */
final class WorkerListFaults {

	private static final int MIN_INTERVAL_MILLIS = 300;

	private static final int MAX_INTERVAL_MILLIS = 3000;

	private static final int MIN_REFUSAL_MILLIS = 500;

	private static final int MAX_REFUSAL_MILLIS = 15_000;

	private static final int MIN_OUTAGE_MILLIS = 500;

	/** Longer than an entry stays in the list without being written. */
	private static final int MAX_OUTAGE_MILLIS = 8000;

	private static final int MIN_CUT_MILLIS = 1000;

	private static final int MAX_CUT_MILLIS = 15_000;

	/** How long a worker that leaves takes no new runs. */
	private static final int MIN_DRAIN_MILLIS = 500;

	private static final int MAX_DRAIN_MILLIS = 4000;

	private static final int MIN_RESTART_MILLIS = 100;

	private static final int MAX_RESTART_MILLIS = 2000;

	private final FleetSimulation fleet;

	private final FleetFaults faults;

	private final SimulatedWorkerList list;

	private final VirtualTime time;

	private final Random random;

	private boolean stopped;

	WorkerListFaults(FleetSimulation fleet, FleetFaults faults, FleetNetwork network, SimulatedWorkerList list) {
		this.fleet = fleet;
		this.faults = faults;
		this.list = list;
		this.time = network.time();
		this.random = network.random();
	}

	void start() {
		this.time.schedule(randomNanos(MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS), () -> {
			if (!this.stopped) {
				inject();
				start();
			}
		});
	}

	// Starts no more faults; those that last end by themselves.
	void stop() {
		this.stopped = true;
	}

	private void inject() {
		switch (this.random.nextInt(12)) {
			case 0 -> this.list.takeAway(randomNanos(MIN_OUTAGE_MILLIS, MAX_OUTAGE_MILLIS));
			case 1, 2 -> some(this.fleet.hostNames()).forEach(this::refuse);
			case 3, 4, 5 -> this.fleet.startWorker(this.fleet.dataCentre(any(this.fleet.hostNames())));
			case 6 -> leave(any(this.fleet.workerNames()));
			case 7 -> this.fleet.endWorker(any(this.fleet.workerNames()));
			case 8 -> renew(any(this.fleet.workerNames()));
			case 9 -> this.faults.interrupt("workers from the store", some(this.fleet.workerNames()),
					List.of(SimulatedWorkerList.NAME), true, randomNanos(MIN_CUT_MILLIS, MAX_CUT_MILLIS));
			default -> cutDataCentreOff(this.fleet.dataCentre(any(this.fleet.hostNames())),
					randomNanos(MIN_CUT_MILLIS, MAX_CUT_MILLIS));
		}
	}

	private long randomNanos(int minMillis, int maxMillis) {
		return (minMillis + this.random.nextInt(maxMillis - minMillis)) * FleetNetwork.MILLI;
	}

	private <T> T any(List<T> values) {
		return values.get(this.random.nextInt(values.size()));
	}

	// Returns about half of the values, but at least one.
	private <T> List<T> some(List<T> values) {
		List<T> selected = new ArrayList<>(values.stream().filter((value) -> this.random.nextBoolean()).toList());
		return selected.isEmpty() ? List.of(any(values)) : selected;
	}

	private void refuse(String host) {
		this.list.refuse(host, randomNanos(MIN_REFUSAL_MILLIS, MAX_REFUSAL_MILLIS));
	}

	// Lets a worker take no new runs, and end after a time.
	private void leave(String name) {
		FakeWorker worker = this.fleet.worker(name);
		worker.draining = true;
		this.time.schedule(randomNanos(MIN_DRAIN_MILLIS, MAX_DRAIN_MILLIS), () -> {
			if (this.fleet.worker(name) == worker) {
				this.list.unregister(worker);
				this.fleet.endWorker(name);
			}
		});
	}

	// Restarts a worker under a new id at a new address.
	private void renew(String name) {
		this.fleet.endWorker(name);
		this.time.schedule(randomNanos(MIN_RESTART_MILLIS, MAX_RESTART_MILLIS),
				() -> this.fleet.startWorker(this.fleet.dataCentre(name)));
	}

	/**
	 * Cuts the hosts and workers of a data centre off from the store and all others.
	 * @param dataCentre the data centre
	 * @param nanos the duration
	 */
	void cutDataCentreOff(String dataCentre, long nanos) {
		List<String> others = names((name) -> !this.fleet.dataCentre(name).equals(dataCentre));
		others.add(SimulatedWorkerList.NAME);
		if (this.random.nextBoolean()) {
			// Otherwise the orders of the scheduler inside, which are held up, fence the
			// workers outside when the cut ends.
			this.faults.loseInterruptedOrders(this.fleet.hostNames(), this.fleet.workerPlaces(), nanos);
		}
		this.faults.interrupt("data centre with its path to the store",
				names((name) -> this.fleet.dataCentre(name).equals(dataCentre)), others, true, nanos);
	}

	private List<String> names(Predicate<String> condition) {
		List<String> names = new ArrayList<>(this.fleet.hostNames());
		names.addAll(this.fleet.workerPlaces());
		names.removeIf(condition.negate());
		return names;
	}

}
