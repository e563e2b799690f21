package org.limpetgate.scheduling;

/** The answer of a worker to the order to start a run. */
public enum StartAnswer {

	/** The run is present. */
	STARTED,
	/** The worker has received a higher fencing token. */
	FENCED,
	/**
	 * A run of the task with an equal or higher attempt number has ended on the worker.
	 */
	OLD_ATTEMPT,
	/** The lease expired before the order arrived. */
	LEASE_EXPIRED,
	/** The worker has too little free capacity. */
	NO_CAPACITY,
	/** The worker refused the order, which had no effect. */
	REFUSED,
	/** Another incarnation of the worker answered; the order had no effect. */
	OTHER_INCARNATION,
	/** The order was certainly not sent. */
	NOT_SENT,
	/** No answer arrived; the order may still be carried out. */
	UNKNOWN

}
