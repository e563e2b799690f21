package org.limpetgate.scheduling;

import org.limpetgate.JobId;
import org.limpetgate.fleet.DataCentreDrains;
import org.limpetgate.fleet.HostState;

/** A message between the hosts of {@link FleetSimulation}. */
sealed interface FleetMessage {

	/**
	 * A step of the handshake.
	 *
	 * @param fromOpener whether the host that opened the link sent it
	 * @param host the id of the sender
	 * @param last whether it is the last step of its sender
	 */
	record Hello(boolean fromOpener, String host, boolean last) implements FleetMessage {

	}

	/**
	 * A heartbeat, or the answer to one.
	 *
	 * @param state the state of the sender
	 * @param drains the drained data centres that the sender knows
	 * @param listAgeNanos how long ago all workers that the sender uses, or used while it
	 * scheduled, were listed, in nanoseconds
	 */
	record Heartbeat(HostState state, DataCentreDrains drains, long listAgeNanos) implements FleetMessage {

	}

	/**
	 * Submits a job to the scheduler.
	 *
	 * @param spec the job
	 * @param waitedNanos the time since its arrival, in nanoseconds
	 * @param remainingNanos how much longer its caller waits, in nanoseconds
	 * @param resubmitted whether an earlier scheduler may have started tasks of it
	 * @param heldNanos how much longer an earlier scheduler may act on it, in nanoseconds
	 * @param earlierListAgeNanos how long ago all workers that earlier schedulers used
	 * were listed, in nanoseconds
	 */
	record SubmitJob(JobSpec spec, long waitedNanos, long remainingNanos, boolean resubmitted, long heldNanos,
			long earlierListAgeNanos) implements FleetMessage {

	}

	/**
	 * Withdraws a job.
	 *
	 * @param job the job
	 */
	record WithdrawJob(JobId job) implements FleetMessage {

	}

	/**
	 * Answers {@link SubmitJob}.
	 *
	 * @param outcome the outcome
	 * @param reason a message that explains the outcome
	 */
	record JobResult(JobOutcome outcome, String reason) implements FleetMessage {

	}

	/**
	 * Answers a request that the receiver has not carried out.
	 *
	 * @param reason a message that explains the refusal
	 * @param stale whether the request was too old, so that it may be sent again
	 */
	record Refusal(String reason, boolean stale) implements FleetMessage {

	}

	/**
	 * A message with the fields that every message has.
	 *
	 * @param message the message
	 * @param correlationId joins a request with its reply, 0 for a one-way message
	 * @param clockNanos the clock of the sender when it sent the message
	 * @param echoedNanos the newest clock of the receiver that the sender has received on
	 * this link, 0 if none
	 */
	record Frame(FleetMessage message, long correlationId, long clockNanos, long echoedNanos) {

	}

}
