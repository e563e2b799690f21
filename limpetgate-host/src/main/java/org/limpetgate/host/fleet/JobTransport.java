package org.limpetgate.host.fleet;

import java.util.concurrent.CompletableFuture;

import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.proto.JobResult;
import org.limpetgate.proto.SubmitJob;

/**
 * Submits jobs to the host that schedules.
 */
interface JobTransport {

	/**
	 * Submits a job.
	 * @param scheduler the host that schedules, not null
	 * @param job the job, not null
	 * @param timeoutNanos how long to wait for the result, in nanoseconds
	 * @return the result; the outcome of a failure tells whether the host may have
	 * received the job
	 */
	CompletableFuture<JobResult> submit(HostId scheduler, SubmitJob job, long timeoutNanos);

	/**
	 * Withdraws a job whose callers have disconnected or cancelled it.
	 * @param scheduler the host to which the job was submitted, not null
	 * @param job the job, not null
	 */
	void withdraw(HostId scheduler, JobId job);

	/**
	 * Returns until when a host may act on jobs that were submitted to it, although it
	 * does not receive anything from this host any longer.
	 * @param scheduler the host, not null
	 * @return the time in nanoseconds since the Unix epoch, in the past if the host does
	 * not act on them any longer
	 */
	long heldUntilNanos(HostId scheduler);

	/**
	 * Returns when all workers that a host used last while it scheduled were listed, as
	 * far as this host knows.
	 * @param scheduler the host, not null
	 * @return the time in nanoseconds since the Unix epoch, 0 if nothing is known
	 */
	long workersListedNanos(HostId scheduler);

	/**
	 * Tests whether the process of a host is known to have ended, so that it does not act
	 * on any job that was submitted to it before.
	 * @param scheduler the host, not null
	 * @param sinceNanos a time, nanoseconds since the Unix epoch
	 * @return true if it ended at or after that time
	 */
	boolean hasEndedSince(HostId scheduler, long sinceNanos);

}
