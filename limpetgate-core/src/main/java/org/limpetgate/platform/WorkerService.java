package org.limpetgate.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.limpetgate.UpstreamId;

/**
 * The platform's workers, which run tasks under leases.
 * <p>
 * All operations may be repeated with the same lease id; a lease id starts its task at
 * most once. All fail with a {@link org.limpetgate.DispatchException}. Its outcome
 * concerns the failed request only: {@link org.limpetgate.Outcome#NOT_RUN} means that
 * this request started nothing, while an earlier request with the same lease id may have
 * done so. Proof for the lease is a {@link LeaseStatus} with
 * {@link LeaseState#TOMBSTONE}. Implementations are thread-safe.
 */
public interface WorkerService {

	/**
	 * Starts a task unless a request with the same lease id has done so, and waits for
	 * its end.
	 * <p>
	 * A worker that refuses leaves a tombstone, so that a delayed earlier request with
	 * the same lease id cannot start the task after all. The failure then has the kind
	 * {@link org.limpetgate.ErrorKind#IMPOSSIBLE} if the task needs more than the worker
	 * has, {@link org.limpetgate.ErrorKind#OVERLOADED} if the worker is full,
	 * {@link org.limpetgate.ErrorKind#SHUTTING_DOWN} if it is leaving.
	 * @param leaseId the lease, not null
	 * @param workerId the worker, always the same for a lease id, not null
	 * @param task the task, not null
	 * @param leaseDuration the time after which the worker stops the task unless the
	 * lease is renewed, at least 1 ms
	 * @param maxWait the longest time to wait for the end of the task, not null
	 * @return the state when the task has ended or the wait is over
	 */
	CompletableFuture<LeaseStatus> run(LeaseId leaseId, UpstreamId workerId, WorkerTask task, Duration leaseDuration,
			Duration maxWait);

	/**
	 * Starts a task unless a request with the same lease id has done so, without waiting
	 * for its end.
	 * @param leaseId the lease, not null
	 * @param workerId the worker, always the same for a lease id, not null
	 * @param task the task, not null
	 * @param leaseDuration the time after which the worker stops the task unless the
	 * lease is renewed, at least 1 ms
	 * @return the state after the start
	 */
	default CompletableFuture<LeaseStatus> start(LeaseId leaseId, UpstreamId workerId, WorkerTask task,
			Duration leaseDuration) {
		return run(leaseId, workerId, task, leaseDuration, Duration.ZERO);
	}

	/**
	 * Lets a lease last for a time from now on. A lapsed lease stays lapsed.
	 * @param leaseId the lease, not null
	 * @param workerId the worker, not null
	 * @param leaseDuration the time after which the worker stops the task, at least 1 ms
	 * @return the state afterwards
	 */
	CompletableFuture<LeaseStatus> renew(LeaseId leaseId, UpstreamId workerId, Duration leaseDuration);

	/**
	 * Stops a task, and leaves a tombstone for a lease that the worker has not seen.
	 * @param leaseId the lease, not null
	 * @param workerId the worker, not null
	 * @return {@link LeaseState#TOMBSTONE} if the task did not run and will not run,
	 * {@link LeaseState#UNSEEN} if the worker cannot prove that, else the state in which
	 * the task ended
	 */
	CompletableFuture<LeaseStatus> stop(LeaseId leaseId, UpstreamId workerId);

	/**
	 * Reads the state of a lease.
	 * @param leaseId the lease, not null
	 * @param workerId the worker, not null
	 * @param maxWait the longest time to wait for the end of a running task, not null
	 * @return the state when the task has ended or the wait is over
	 */
	CompletableFuture<LeaseStatus> status(LeaseId leaseId, UpstreamId workerId, Duration maxWait);

	/**
	 * Limits a running task to a share of its cores.
	 * @param leaseId the lease, not null
	 * @param workerId the worker, not null
	 * @param share the share, above 0 and at most 1
	 * @return the state afterwards
	 */
	CompletableFuture<LeaseStatus> throttle(LeaseId leaseId, UpstreamId workerId, double share);

	/**
	 * Stores the progress of a running task with the platform. The task goes on.
	 * @param leaseId the lease, not null
	 * @param workerId the worker, not null
	 * @return the name of the checkpoint for {@link WorkerTask#withResumeFrom}, or a
	 * failure if the task is not running
	 */
	CompletableFuture<String> checkpoint(LeaseId leaseId, UpstreamId workerId);

	/**
	 * Reads the use of a worker, which lags.
	 * @param workerId the worker, not null
	 * @return the use with its age
	 */
	CompletableFuture<WorkerUsage> usage(UpstreamId workerId);

}
