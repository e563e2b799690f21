package org.limpetgate.scheduling;

/**
 * Is notified of ended runs and of runs of earlier owners.
 */
interface RunListener {

	/**
	 * Handles the end of a run. Its capacity is already free again.
	 * @param run the run
	 * @param end how it ended
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 */
	void runEnded(RunEntity run, RunEnd end, long nowNanos);

	/**
	 * Assigns an orphan run of an earlier owner to a task of this scheduler.
	 * @param worker the worker that reported the run
	 * @param run the run
	 * @return the task that adopts the run, or null if none does
	 */
	TaskEntity adoptRun(WorkerEntity worker, RunId run);

	/**
	 * Handles the end of a run of an earlier owner.
	 * @param worker the worker that reported the end
	 * @param ended the end
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 */
	void earlierRunEnded(WorkerEntity worker, WorkerReport.Ended ended, long nowNanos);

	/** How a run ended from the view of its task. */
	enum RunEnd {

		/** The task is done. */
		DONE,
		/** The run counts as a failed attempt. */
		FAILED,
		/** The worker did not start the run. */
		REJECTED,
		/**
		 * The worker requires a higher attempt number, since a run with this or a higher
		 * one has ended there.
		 */
		OLD_ATTEMPT,
		/** The run was stopped or lost; the task may run again. */
		LOST,
		/**
		 * The worker has started another incarnation and may have crashed under the run.
		 */
		WORKER_CRASHED,
		/** The run was lost since its worker does not report; it may have crashed. */
		WORKER_SILENT

	}

}
