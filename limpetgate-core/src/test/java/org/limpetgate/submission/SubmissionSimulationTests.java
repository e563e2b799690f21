package org.limpetgate.submission;

import net.jqwik.api.Example;
import org.limpetgate.submission.SubmissionSimulation.Mutation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs {@link SubmissionSimulation} with fixed seeds. For longer runs see
 * docs/proofs-submission.md.
 */
class SubmissionSimulationTests {

	private static final long STEPS = 100_000;

	// Guards against second starts, false "not run" outcomes, partial answers, answers
	// with results of another job, and leaks of state.
	@Example
	void guaranteesHoldForAllSeeds() {
		for (long seed = 1; seed <= 8; seed++) {
			SubmissionSimulation simulation = new SubmissionSimulation(seed, Mutation.NONE);
			simulation.run(STEPS);
			simulation.drainAndCheckState();
			assertThat(simulation.violation()).as("seed " + seed).isNull();
		}
	}

	// Guards against a checker, or a sequence of injected faults, that cannot detect a
	// broken rule.
	@Example
	void checkerDetectsEachBrokenRule() {
		for (Mutation mutation : Mutation.values()) {
			boolean found = false;
			for (long seed = 1; seed <= 8 && !found; seed++) {
				SubmissionSimulation simulation = new SubmissionSimulation(seed, mutation);
				simulation.run(STEPS);
				found = simulation.violation() != null;
			}
			assertThat(found).as(mutation.name()).isEqualTo(mutation != Mutation.NONE);
		}
	}

}
