package org.limpetgate.scheduling;

/** The reason why a poll returned no report. */
public enum PollFailure {

	/** The worker has received a higher fencing token. */
	FENCED,
	/** Another worker, with another id, has the address. */
	OTHER_LIFE,
	/** No answer arrived, or an invalid one. */
	NO_ANSWER

}
