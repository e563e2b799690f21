package org.limpetgate.scheduling;

import java.util.BitSet;
import java.util.Map;

/**
 * The progress of a step of a stored job.
 * <p>
 * Immutable and thread-safe; the bit set is copied by the constructor and the accessor.
 *
 * @param done the indexes of the tasks that are done, not null
 * @param failures the number of failed runs of tasks that have any, by index, not null
 * @param checkpoints the last checkpoints of tasks that have any, by index, not null
 */
public record StepProgress(BitSet done, Map<Integer, Integer> failures, Map<Integer, String> checkpoints) {

	/** The progress of a step without done tasks, failures or checkpoints. */
	public static final StepProgress NONE = new StepProgress(new BitSet(), Map.of(), Map.of());

	public StepProgress {
		done = (BitSet) done.clone();
		failures = Map.copyOf(failures);
		checkpoints = Map.copyOf(checkpoints);
	}

	@Override
	public BitSet done() {
		return (BitSet) this.done.clone();
	}

}
