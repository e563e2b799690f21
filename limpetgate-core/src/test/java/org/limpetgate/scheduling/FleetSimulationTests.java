package org.limpetgate.scheduling;

import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs {@link FleetSimulation} with several seeds. The system properties
 * {@code limpetgate.firstSeed} and {@code limpetgate.seeds} select the seeds.
 */
class FleetSimulationTests {

	private static final int FIRST_SEED = Integer.getInteger("limpetgate.firstSeed", 1);

	private static final int SEEDS = Integer.getInteger("limpetgate.seeds", 10);

	/** Seeds at which a late message starts a task twice if every message is obeyed. */
	private static final List<Integer> INCIDENT_SEEDS = List.of(3, 10, 12);

	private static final long RUN_NANOS = TimeUnit.SECONDS.toNanos(60);

	/** How long jobs are counted after the faults are over. */
	private static final long COUNT_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * Guards against tasks that run twice because a message between hosts is delivered
	 * late.
	 */
	@Example
	void keepsItsInvariantsWithLateMessages() {
		for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
			FleetSimulation simulation = new FleetSimulation(seed, LeasedSubmissionRules::new).run(RUN_NANOS).settle();
			int submitted = simulation.callers().submitted();
			int completed = simulation.callers().completed();
			simulation.run(COUNT_NANOS);
			assertThat(simulation.violations()).as("seed %s", seed).isEmpty();
			assertThat(2 * (simulation.callers().completed() - completed)).as("completed jobs of seed %s", seed)
				.isGreaterThan(simulation.callers().submitted() - submitted);
		}
	}

	/**
	 * Guards against a simulation that cannot find the incident TWICE: a submission that
	 * waited in a silent link is delivered when another scheduler has the job.
	 */
	@Example
	void findsTheIncidentIfEveryMessageIsObeyed() {
		List<String> violations = INCIDENT_SEEDS.stream()
			.map((seed) -> new FleetSimulation(seed, SubmissionRules.Unlimited::new).run(RUN_NANOS).settle())
			.flatMap((simulation) -> simulation.violations().stream())
			.toList();
		assertThat(violations).anyMatch((violation) -> violation.contains(": TWICE: "));
	}

}
