package org.limpetgate.host.fleet;

import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;

import org.limpetgate.JobId;
import org.limpetgate.RequestId;
import org.limpetgate.fleet.QueueTable;
import org.limpetgate.scheduling.JobSpec;

/**
 * The operations on jobs that an entry host offers to callers. They must be called on the
 * event loop of the host.
 */
public interface JobService {

	/**
	 * Submits a job.
	 * @param spec the job, not null
	 * @param request the request of the caller, for the log, not null
	 * @param remainingNanos how long the caller waits, in nanoseconds
	 * @return the answer, not null; cancelling it withdraws the job, unless the job is
	 * stored or other callers wait for it
	 */
	CompletableFuture<JobAnswer> submit(JobSpec spec, RequestId request, long remainingNanos);

	/**
	 * Cancels a job that is not stored and whose callers wait at this host.
	 * @param job the job, not null
	 * @return true if there was such a job at this host
	 */
	boolean cancel(JobId job);

	/**
	 * Tests whether callers of a job that is not stored wait at this host.
	 * @param job the job, not null
	 * @return true if there is such a job at this host
	 */
	boolean contains(JobId job);

	/**
	 * Queries the state of a stored job.
	 * @param job the job, not null
	 * @return the answer, not null; never completes exceptionally
	 */
	CompletableFuture<StoredJobAnswer> storedJob(JobId job);

	/**
	 * Cancels a stored job.
	 * @param job the job, not null
	 * @return the answer once the cancellation is saved, not null; never completes
	 * exceptionally
	 */
	CompletableFuture<StoredJobAnswer> cancelStored(JobId job);

	/**
	 * Queries the number of stored jobs of a queue that have not started any task.
	 * @param queue the name of the queue, not null
	 * @return the number, empty if no host that owns the stored jobs has answered; never
	 * completes exceptionally
	 */
	CompletableFuture<OptionalInt> pendingJobs(String queue);

	/**
	 * Returns the queues of the current configuration.
	 * @return the queues, null before the first configuration
	 */
	QueueTable queues();

}
