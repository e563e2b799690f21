package org.limpetgate.scheduling;

/** The state of a stored job as its caller sees it. */
public enum JobState {

	/** No task has started. */
	QUEUED,
	/** Tasks have started. */
	RUNNING,
	/** All tasks are done. */
	COMPLETED,
	/** A task has failed as often as its queue allows. */
	FAILED,
	/** Its caller cancelled it. */
	CANCELED

}
