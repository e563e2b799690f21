package org.limpetgate.scheduling;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * A step of a job: a number of equal tasks.
 * <p>
 * Immutable and thread-safe.
 *
 * @param count the number of tasks, at least 1
 * @param demand the capacity that each task occupies on a worker, not null
 * @param estimatedNanos the caller's estimate of a task's duration, 0 if unknown
 * @param after the numbers of the steps that must be done first, not null
 * @param requiredLabel a label that the worker must have, empty for none
 * @param dataRack the rack on which tasks run fastest, empty for none
 * @param maxPerWorker the most tasks of the step on one worker, 0 for no limit
 * @param latencyTargetMillis the tail latency that tasks that serve users must stay
 * below, in milliseconds; 0 for tasks that serve none
 * @param traits the special properties of the tasks, not null
 */
public record StepSpec(int count, Capacity demand, long estimatedNanos, List<Integer> after, String requiredLabel,
		String dataRack, int maxPerWorker, int latencyTargetMillis, Set<StepTrait> traits) {

	public StepSpec {
		Objects.requireNonNull(demand, "demand");
		after = List.copyOf(after);
		traits = Set.copyOf(traits);
		if (count < 1) {
			throw new IllegalArgumentException("a step must have at least one task");
		}
	}

	/**
	 * Creates a step of tasks without traits and without a latency target.
	 * @param count the number of tasks, at least 1
	 * @param demand the capacity that each task occupies on a worker, not null
	 * @param estimatedNanos the caller's estimate of a task's duration, 0 if unknown
	 * @param after the numbers of the steps that must be done first, not null
	 * @param requiredLabel a label that the worker must have, empty for none
	 * @param dataRack the rack on which tasks run fastest, empty for none
	 * @param maxPerWorker the most tasks of the step on one worker, 0 for no limit
	 */
	public StepSpec(int count, Capacity demand, long estimatedNanos, List<Integer> after, String requiredLabel,
			String dataRack, int maxPerWorker) {
		this(count, demand, estimatedNanos, after, requiredLabel, dataRack, maxPerWorker, 0, Set.of());
	}

	/**
	 * Tests whether the tasks have a trait.
	 * @param trait the trait, not null
	 * @return true if they have it
	 */
	public boolean has(StepTrait trait) {
		return this.traits.contains(trait);
	}

}
