package org.limpetgate.scheduling;

import java.util.List;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs {@link CrashReplay} with several seeds, also with workers that are back soon and
 * late. The system property {@code limpetgate.seeds} sets the number of seeds.
 */
class CrashReplayTests {

	private static final int SEEDS = Integer.getInteger("limpetgate.seeds", 5);

	/** Longer than it takes to end all jobs. */
	private static final int SETTLE_MILLIS = 60_000;

	/**
	 * Guards against tasks that crash one worker after the other, against tasks that are
	 * given up for the crashes of others, and against counts that are lost with the
	 * scheduler.
	 */
	@Example
	void deadlyTasksAreGivenUpAndNoOthers() {
		for (int downMillis : List.of(500, 2000, 5000, 8000)) {
			for (int seed = 1; seed <= SEEDS; seed++) {
				CrashReplay replay = new CrashReplay(seed, downMillis).run(SETTLE_MILLIS);
				assertThat(replay.violations()).as("seed %s, workers down for %s ms", seed, downMillis).isEmpty();
			}
		}
	}

}
