package org.limpetgate.scheduling;

import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs {@link SchedulerSimulation} over a few seeds. More seeds or steps are chosen with
 * the system properties {@code limpetgate.seeds} and {@code limpetgate.steps}.
 */
class SchedulerSimulationTests {

	private static final int SEEDS = Integer.getInteger("limpetgate.seeds", 20);

	private static final int STEPS = Integer.getInteger("limpetgate.steps", 60_000);

	/** Longer than it takes to work off what has piled up. */
	private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(120);

	/**
	 * Guards against overcommitted workers, double runs, untrue answers and forgotten
	 * jobs under faults.
	 */
	@Example
	void keepsItsInvariantsUnderFaults() {
		for (int seed = 1; seed <= SEEDS; seed++) {
			SchedulerSimulation simulation = new SchedulerSimulation(seed).run(STEPS).settle(SETTLE_NANOS);
			assertThat(simulation.violations()).as("seed %s", seed).isEmpty();
			assertThat(simulation.completed()).as("completed jobs of seed %s", seed).isGreaterThan(100);
			assertThat(simulation.storedCompleted()).as("completed stored jobs of seed %s", seed).isGreaterThan(50);
			assertThat(simulation.storedOpen()).as("stored jobs of seed %s that have not ended", seed).isZero();
		}
	}

}
