package org.limpetgate.scheduling;

import org.limpetgate.HostId;
import org.limpetgate.JobId;

/**
 * Something that the scheduler wants done. The result is reported back to it.
 */
public sealed interface SchedulingEffect {

	/**
	 * Orders a worker to start a run.
	 *
	 * @param worker the worker
	 * @param run the run
	 * @param payload the payload of the job
	 * @param checkpoint the checkpoint from which the run resumes, empty for none
	 * @param leaseEndMillis the end of the lease on the worker's clock, in milliseconds
	 * @param token the token of the owner
	 */
	record StartRun(WorkerInfo worker, RunId run, String payload, String checkpoint, long leaseEndMillis,
			FencingToken token) implements SchedulingEffect {

	}

	/**
	 * Orders a worker to stop a run.
	 *
	 * @param worker the worker
	 * @param run the run
	 * @param token the token of the owner
	 */
	record StopRun(WorkerInfo worker, RunId run, FencingToken token) implements SchedulingEffect {

	}

	/**
	 * Asks a worker for its report.
	 *
	 * @param worker the worker
	 * @param sequence the number of the poll, returned with its answer
	 * @param token the token of the owner
	 * @param ackNumber ends up to this number are forgotten
	 * @param leaseEndMillis the end of the lease on the worker's clock in milliseconds,
	 * or 0 to extend nothing
	 * @param waitNanos how long the worker waits for an end before it answers, in
	 * nanoseconds
	 */
	record PollWorker(WorkerInfo worker, long sequence, FencingToken token, long ackNumber, long leaseEndMillis,
			long waitNanos) implements SchedulingEffect {

	}

	/**
	 * Saves a change of a stored job. Changes are saved in the order of the effects.
	 *
	 * @param sequence the number of the change, rising
	 * @param change the change
	 */
	record SaveChange(long sequence, StoredChange change) implements SchedulingEffect {

	}

	/**
	 * Tells the host that submitted a job how it ended.
	 *
	 * @param origin the host
	 * @param job the job
	 * @param outcome how it ended
	 * @param reason the reason in words, empty for a completed job
	 * @param retryAfterNanos when to come back, 0 if there is no such time
	 */
	record JobEnded(HostId origin, JobId job, JobOutcome outcome, String reason,
			long retryAfterNanos) implements SchedulingEffect {

	}

}
