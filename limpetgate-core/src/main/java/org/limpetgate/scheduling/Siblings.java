package org.limpetgate.scheduling;

import java.util.List;
import java.util.OptionalDouble;

/**
 * Compares the runs of one step with each other. The tasks of a job share how much longer
 * than estimated they take, so that only what goes beyond tells something about a worker.
 */
final class Siblings {

	/** Limits the cost of a comparison; jobs have up to hundreds of tasks. */
	private static final int MAX_COMPARED = 16;

	private Siblings() {
	}

	/**
	 * Returns how much longer than expected the other tasks of a step took, on workers
	 * that were not slow.
	 * @param task the task
	 * @param worker the worker whose runs are left out
	 * @return the lower median of the logarithms, empty if there are none
	 */
	static OptionalDouble durationLog(TaskEntity task, WorkerEntity worker) {
		List<TaskEntity> tasks = task.job().steps().get(task.name().step());
		double[] logs = tasks.stream()
			.filter((sibling) -> sibling != task && sibling.durationWorker != null && sibling.durationWorker != worker
					&& !sibling.durationWorker.speed.isSlow() && !Double.isNaN(sibling.durationLog))
			.limit(MAX_COMPARED)
			.mapToDouble((sibling) -> sibling.durationLog)
			.sorted()
			.toArray();
		return (logs.length > 0) ? OptionalDouble.of(logs[(logs.length - 1) / 2]) : OptionalDouble.empty();
	}

}
