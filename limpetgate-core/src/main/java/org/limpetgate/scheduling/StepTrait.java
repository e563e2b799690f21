package org.limpetgate.scheduling;

/** A special property of the tasks of a step. */
public enum StepTrait {

	/** The tasks are gang scheduled: they start together and end together. */
	GANG,
	/** The tasks take longer when they run on more than one rack. */
	SAME_RACK,
	/** A run can resume from the checkpoint of an earlier run. */
	CHECKPOINTED,
	/** The tasks run until the job is cancelled and are restarted however they end. */
	PERPETUAL,
	/**
	 * The tasks use capacity that other tasks leave idle, and interfere with tasks that
	 * serve users.
	 */
	FILLER

}
