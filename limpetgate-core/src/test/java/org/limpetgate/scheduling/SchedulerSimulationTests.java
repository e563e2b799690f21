package org.limpetgate.scheduling;

import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs {@link SchedulerSimulation} with several seeds. The system properties
 * {@code limpetgate.seeds} and {@code limpetgate.steps} set the number of seeds and of
 * events per seed.
 */
class SchedulerSimulationTests {

	private static final int SEEDS = Integer.getInteger("limpetgate.seeds", 20);

	private static final int STEPS = Integer.getInteger("limpetgate.steps", 60_000);

	/** Longer than it takes to complete the backlog. */
	private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(120);

	/**
	 * Guards against overcommitted workers, tasks that run twice, false outcomes, lost
	 * jobs and starts in drained data centres under faults.
	 */
	@Example
	void keepsItsInvariantsUnderFaults() {
		int preempted = 0;
		int moveOrders = 0;
		for (int seed = 1; seed <= SEEDS; seed++) {
			SchedulerSimulation simulation = new SchedulerSimulation(seed).run(STEPS).settle(SETTLE_NANOS);
			assertThat(simulation.violations()).as("seed %s", seed).isEmpty();
			assertThat(simulation.drains()).as("drains of seed %s", seed).isGreaterThan(5);
			assertThat(simulation.completed()).as("completed jobs of seed %s", seed).isGreaterThan(100);
			assertThat(simulation.completedStoredJobs()).as("completed stored jobs of seed %s", seed).isGreaterThan(50);
			assertThat(simulation.openStoredJobs()).as("stored jobs of seed %s that have not ended", seed).isZero();
			preempted += simulation.preempted();
			moveOrders += simulation.moveOrders();
		}
		System.out.printf("%d seeds, %d runs preempted%n", SEEDS, preempted);
		assertThat(preempted).as("preempted runs of all seeds").isPositive();
		assertThat(moveOrders).as("orders to move a run").isPositive();
	}

	/**
	 * Guards against a second run of a stored task whose worker the store does not hear
	 * when the scheduler is replaced.
	 */
	@Example
	void keepsItsInvariantsWhileTheStoreDoesNotHearWorkersWithLongTasks() {
		for (int seed = 1; seed <= SEEDS; seed++) {
			SchedulerSimulation simulation = SchedulerSimulation.withUnheardWorkers(seed)
				.run(STEPS)
				.settle(SETTLE_NANOS);
			assertThat(simulation.violations()).as("seed %s", seed).isEmpty();
			assertThat(simulation.openStoredJobs()).as("stored jobs of seed %s that have not ended", seed).isZero();
		}
	}

}
