package org.limpetgate.scheduling;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs {@link FleetSimulation} with several seeds. The system properties
 * {@code limpetgate.firstSeed} and {@code limpetgate.seeds} select the seeds.
 */
class FleetSimulationTests {

	private static final int FIRST_SEED = Integer.getInteger("limpetgate.firstSeed", 1);

	private static final int SEEDS = Integer.getInteger("limpetgate.seeds", 10);

	private static final long RUN_NANOS = TimeUnit.SECONDS.toNanos(60);

	/** How long jobs are counted after the faults are over. */
	private static final long COUNT_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * Guards against tasks that run twice because a message between hosts is delivered
	 * late, while schedulers obey every message whenever it arrives.
	 */
	@Example
	void keepsItsInvariantsWithUnlimitedSubmissions() {
		keepsItsInvariants(SubmissionRules.Unlimited::new);
	}

	/**
	 * Guards against the same where schedulers act on the jobs of other hosts only while
	 * a lease lasts.
	 */
	@Example
	void keepsItsInvariantsWithLeasedSubmissions() {
		keepsItsInvariants(LeasedSubmissionRules::new);
	}

	/**
	 * Guards against tasks that run twice although submissions are leased, because a job
	 * stays at a scheduler after its caller has left.
	 */
	@Example
	void keepsItsInvariantsWithAmendedLeases() {
		keepsItsInvariants(LeasedSubmissionRules.Amended::new);
	}

	private static void keepsItsInvariants(Supplier<SubmissionRules> rules) {
		for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
			FleetSimulation simulation = new FleetSimulation(seed, rules).run(RUN_NANOS).settle();
			int submitted = simulation.callers().submitted();
			int completed = simulation.callers().completed();
			simulation.run(COUNT_NANOS);
			assertThat(simulation.violations()).as("seed %s", seed).isEmpty();
			assertThat(2 * (simulation.callers().completed() - completed)).as("completed jobs of seed %s", seed)
				.isGreaterThan(simulation.callers().submitted() - submitted);
		}
	}

}
