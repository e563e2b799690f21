package org.limpetgate.scheduling;

import java.util.Collection;

/**
 * Chooses the worker for a task.
 * <p>
 * Between {@link #passStarted} and {@link #passEnded} the workers change only in their
 * runs and reservations, and every such change is reported. A placement may therefore
 * keep what it has computed for one task for the others of the pass.
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

	/**
	 * Announces a placement pass.
	 * @param workers the workers
	 * @param minCpuMillis no task of the pass demands less, in thousandths of a core
	 * @param nowNanos the current time
	 */
	default void passStarted(Collection<WorkerEntity> workers, int minCpuMillis, long nowNanos) {
	}

	/** Announces the end of a placement pass. */
	default void passEnded() {
	}

	/**
	 * Reports that the runs or the reservation of a worker have changed within a pass.
	 * @param worker the worker
	 */
	default void workerChanged(WorkerEntity worker) {
	}

	/**
	 * Tests whether {@link #choose} is known to return null for all tasks of a job in
	 * this pass, without looking at any worker.
	 * @param job the job
	 * @param nowNanos the current time
	 * @return false if it is not known
	 */
	default boolean hasNoRoom(JobEntity job, long nowNanos) {
		return false;
	}

}
