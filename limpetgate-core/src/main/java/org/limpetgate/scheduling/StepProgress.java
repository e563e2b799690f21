package org.limpetgate.scheduling;

import java.util.BitSet;
import java.util.Map;

/**
 * The progress of a step of a stored job.
 * <p>
 * Immutable and thread-safe; the bit set is copied by the constructor and the accessor.
 *
 * @param done the indexes of the tasks that are done, not null
 * @param failures the failed runs of tasks that have any, by index, not null
 * @param checkpoints the last checkpoints of tasks that have any, by index, not null
 * @param crashes the crashes and losses of workers under tasks that have any, by index,
 * not null
 */
public record StepProgress(BitSet done, Map<Integer, FailedRuns> failures, Map<Integer, String> checkpoints,
		Map<Integer, CrashHistory> crashes) {

	/** The progress of a step without done tasks, failures, checkpoints or crashes. */
	public static final StepProgress NONE = new StepProgress(new BitSet(), Map.of(), Map.of(), Map.of());

	public StepProgress {
		done = (BitSet) done.clone();
		failures = Map.copyOf(failures);
		checkpoints = Map.copyOf(checkpoints);
		crashes = Map.copyOf(crashes);
	}

	@Override
	public BitSet done() {
		return (BitSet) this.done.clone();
	}

	// Tests whether it shows that a run of a task of the step has begun.
	boolean showsRun() {
		return !this.done.isEmpty() || !this.failures.isEmpty() || !this.checkpoints.isEmpty()
				|| this.crashes.values().stream().anyMatch(CrashHistory::showsRun);
	}

}
