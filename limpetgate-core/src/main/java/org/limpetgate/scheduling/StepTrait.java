package org.limpetgate.scheduling;

/** What is special about the tasks of a step. */
public enum StepTrait {

	/** They work only together and end together. */
	GANG,
	/** They take longer when they run on more than one rack. */
	SAME_RACK,
	/** A run can resume from the checkpoint of an earlier one. */
	CHECKPOINTED,
	/** They run until the job is cancelled and are restarted however they end. */
	PERPETUAL,
	/** They use what other tasks leave and disturb tasks that serve users. */
	FILLER

}
