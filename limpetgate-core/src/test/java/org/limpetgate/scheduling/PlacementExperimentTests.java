package org.limpetgate.scheduling;

import java.util.Map;
import java.util.function.IntFunction;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares the placement with two baselines: workers partitioned among six hosts, and two
 * random choices. The loads are that of a day of low load and twice that; within each run
 * the load rises and falls.
 */
class PlacementExperimentTests {

	private static final int SECONDS = 17;

	private static final int HOSTS = 6;

	/** Guards against a change of the placement that scores lower than the baselines. */
	@Example
	void scoresAtLeastTheBaselinesAtEveryLoad() {
		for (double load : new double[] { 1.0, 2.0 }) {
			double central = 0;
			double partitioned = 0;
			double random = 0;
			for (int seed = 1; seed <= 2; seed++) {
				central += run("one scheduler", seed, load, 1, (partition) -> Scheduler.of(settings(partition)));
				partitioned += run("six partitions", seed, load, HOSTS,
						(partition) -> Scheduler.of(settings(partition)));
				random += run("two choices", seed, load, 1,
						(partition) -> Scheduler.of(settings(partition), (model) -> new TwoChoicesPlacement(7)));
			}
			assertThat(central).as("load %s against partitioned workers", load).isGreaterThanOrEqualTo(partitioned);
			assertThat(central).as("load %s against two choices", load).isGreaterThanOrEqualTo(random);
		}
	}

	private static double run(String name, long seed, double load, int partitions, IntFunction<Scheduler> scheduler) {
		Map<String, PlacementExperiment.Result> results = new PlacementExperiment(seed, load, SECONDS, partitions,
				scheduler)
			.run();
		double score = PlacementExperiment.score(results);
		System.out.printf("load %.1f seed %d %-15s score %.3f %s%n", load, seed, name, score, results);
		return score;
	}

	private static SchedulerSettings settings(int host) {
		return SchedulerSettings.of(host, 1000, 50, 2);
	}

}
