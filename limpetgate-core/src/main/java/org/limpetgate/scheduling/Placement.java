package org.limpetgate.scheduling;

import java.util.Collection;

/**
 * Chooses the worker for a task.
 */
interface Placement {

	/**
	 * Chooses a worker that has enough free capacity for the task.
	 * @param task the task
	 * @param taskNanos the expected duration of the task on a worker of speed 1, in
	 * nanoseconds
	 * @param workers the workers
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return the worker, or null if the task must wait
	 */
	WorkerEntity choose(TaskEntity task, double taskNanos, Collection<WorkerEntity> workers, long nowNanos);

}
