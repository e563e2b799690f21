package org.limpetgate.scheduling;

/** How a job ended for the host that submitted it. */
public enum JobOutcome {

	/** The job is stored. */
	ACCEPTED,
	/** All tasks are done. */
	COMPLETED,
	/** A task has failed as often as its queue allows. */
	FAILED,
	/** No task has started or will start. */
	REFUSED,
	/** The scheduler ended its work; tasks of the job may still run. */
	MOVED,
	/** The job was given up after tasks of it had started. */
	ABANDONED

}
