package org.limpetgate.scheduling;

import java.util.Collection;
import java.util.List;

/**
 * Tests whether workers have enough free capacity for a job. Not thread-safe.
 */
final class FreeWorkers {

	private FreeWorkers() {
	}

	// Tests whether a usable worker has enough free capacity for a waiting task of the
	// job. Busy suspect workers get no further runs and do not count.
	static boolean fits(JobEntity job, Collection<WorkerEntity> workers, long nowNanos) {
		for (List<TaskEntity> tasks : job.steps()) {
			StepSpec step = tasks.get(0).step();
			if (tasks.stream().noneMatch((task) -> task.state == TaskEntity.State.WAITING)) {
				continue;
			}
			for (WorkerEntity worker : workers) {
				if (worker.isUsable() && !worker.isHeldBack(nowNanos) && step.demand().fits(worker.freeCapacity())
						&& worker.info.service().equals(job.spec().service())
						&& (step.requiredLabel().isEmpty() || worker.info.labels().contains(step.requiredLabel()))) {
					return true;
				}
			}
		}
		return false;
	}

}
