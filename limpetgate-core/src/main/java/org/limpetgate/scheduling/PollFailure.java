package org.limpetgate.scheduling;

/** The reason why a poll returned no report. */
public enum PollFailure {

	/** The worker has received a higher fencing token. */
	FENCED,
	/** The process at the address is another worker, with another id. */
	OTHER_PROCESS,
	/** No answer arrived, or an invalid one. */
	NO_ANSWER

}
