package org.limpetgate.scheduling;

import java.util.Collection;
import java.util.List;
import java.util.Random;

/**
 * The power-of-two-choices baseline: of two random workers, the one with more free
 * capacity gets the task. Not thread-safe.
 */
final class TwoChoicesPlacement implements Placement {

	private final Random random;

	TwoChoicesPlacement(long seed) {
		this.random = new Random(seed);
	}

	@Override
	public WorkerEntity choose(TaskEntity task, double taskNanos, Collection<WorkerEntity> workers, long nowNanos) {
		List<WorkerEntity> all = List.copyOf(workers);
		WorkerEntity first = all.get(this.random.nextInt(all.size()));
		WorkerEntity second = all.get(this.random.nextInt(all.size()));
		WorkerEntity better = (second.freeCapacity().cpuMillis() > first.freeCapacity().cpuMillis()) ? second : first;
		return (better.isUsable() && task.step().demand().fits(better.freeCapacity())) ? better : null;
	}

}
