package org.limpetgate.scheduling;

/** The state of a stored job. */
public enum StoredState {

	/** Not all tasks are done. */
	OPEN,
	/** All tasks are done. */
	COMPLETED,
	/** A task reached the limit of failed runs of its queue. */
	FAILED,
	/** Its caller cancelled it. */
	CANCELED

}
