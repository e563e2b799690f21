package org.limpetgate.scheduling;

/**
 * Is told when a run is no longer present on its worker.
 */
interface RunListener {

	/**
	 * Takes note of the end of a run. Its room is free again.
	 * @param run the run
	 * @param end how it ended
	 * @param nowNanos the present time, nanoseconds since the Unix epoch
	 */
	void runEnded(RunEntity run, RunEnd end, long nowNanos);

	/**
	 * Claims a run of an earlier owner for a job of this scheduler.
	 * @param worker the worker that lists the run
	 * @param run the run
	 * @return the task that now has the run, or null if no job claims it
	 */
	TaskEntity adoptRun(WorkerEntity worker, RunId run);

	/**
	 * Takes note of the end of a run of an earlier owner.
	 * @param worker the worker that lists the end
	 * @param ended the end
	 * @param nowNanos the present time, nanoseconds since the Unix epoch
	 */
	void earlierRunEnded(WorkerEntity worker, WorkerReport.Ended ended, long nowNanos);

	/** How a run ended for its task. */
	enum RunEnd {

		/** The task is done. */
		DONE,
		/** The run counts as an attempt that failed. */
		FAILED,
		/** The worker has never begun it. */
		REJECTED,
		/** A higher attempt is needed, since this one ended there before. */
		OLD_ATTEMPT,
		/** It was stopped or lost; the task may run again. */
		LOST

	}

}
