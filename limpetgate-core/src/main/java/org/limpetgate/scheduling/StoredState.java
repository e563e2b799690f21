package org.limpetgate.scheduling;

/** The state of a stored job. */
public enum StoredState {

	/** Tasks of it wait or run. */
	OPEN,
	/** All tasks are done. */
	COMPLETED,
	/** A task has failed as often as its queue allows. */
	FAILED,
	/** Its caller cancelled it. */
	CANCELED

}
