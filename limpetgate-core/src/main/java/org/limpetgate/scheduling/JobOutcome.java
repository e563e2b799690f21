package org.limpetgate.scheduling;

/** The outcome of a job that is reported to the host that submitted it. */
public enum JobOutcome {

	/** The job is stored. */
	ACCEPTED,
	/** All tasks are done. */
	COMPLETED,
	/** A task reached the limit of failed runs of its queue. */
	FAILED,
	/** The job was rejected; no task has started or will start. */
	REFUSED,
	/**
	 * The scheduler released the job; its tasks may still run and it may be resubmitted.
	 */
	MOVED,
	/** The job was cancelled for lateness after tasks of it may have started. */
	ABANDONED

}
