package org.limpetgate.scheduling;

/** The state of a stored job as its caller sees it. */
public enum JobState {

	/** No task has started. */
	QUEUED,
	/** Tasks have started. */
	RUNNING,
	/** All tasks are done. */
	COMPLETED,
	/** A task reached the limit of failed runs of its queue. */
	FAILED,
	/** Its caller cancelled it. */
	CANCELED

}
