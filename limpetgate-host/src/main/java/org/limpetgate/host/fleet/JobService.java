package org.limpetgate.host.fleet;

import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;

import org.limpetgate.JobId;
import org.limpetgate.fleet.QueueTable;
import org.limpetgate.scheduling.JobSpec;

/**
 * What an entry host does for callers. Called on the event loop of the host.
 */
public interface JobService {

	/**
	 * Takes a job.
	 * @param spec the job, not null
	 * @param remainingNanos how long the caller waits, in nanoseconds
	 * @return the answer, not null; cancelling it withdraws the job
	 */
	CompletableFuture<JobAnswer> submit(JobSpec spec, long remainingNanos);

	/**
	 * Cancels a job that is not stored and waits at this host.
	 * @param job the job, not null
	 * @return true if it was known here
	 */
	boolean cancel(JobId job);

	/**
	 * Tests whether a job that is not stored waits at this host.
	 * @param job the job, not null
	 * @return true if it is known here
	 */
	boolean contains(JobId job);

	/**
	 * Asks for the state of a stored job.
	 * @param job the job, not null
	 * @return the answer, not null; does not fail
	 */
	CompletableFuture<StoredJobAnswer> storedJob(JobId job);

	/**
	 * Cancels a stored job.
	 * @param job the job, not null
	 * @return the answer once the end of the job is saved, not null; does not fail
	 */
	CompletableFuture<StoredJobAnswer> cancelStored(JobId job);

	/**
	 * Asks for the number of stored jobs of a queue of which no task has started.
	 * @param queue the name of the queue, not null
	 * @return the number, empty if no host that knows the stored jobs has answered; does
	 * not fail
	 */
	CompletableFuture<OptionalInt> pendingJobs(String queue);

	/**
	 * Returns the queues.
	 * @return the queues, null before the first configuration
	 */
	QueueTable queues();

}
