package org.limpetgate.scheduling;

/** Why a poll brought no report. */
public enum PollFailure {

	/** The worker has received a higher fencing token. */
	FENCED,
	/** Another incarnation of the worker answered. */
	OTHER_LIFE,
	/** No answer or no valid one arrived. */
	NO_ANSWER

}
