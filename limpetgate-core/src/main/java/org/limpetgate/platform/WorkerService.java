package org.limpetgate.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.limpetgate.UpstreamId;

/**
 * The platform's workers, which run tasks under leases.
 * <p>
 * All operations may be repeated with the same lease id; a lease id starts its task at
 * most once. All operations fail with a {@link org.limpetgate.DispatchException}, whose
 * outcome refers to the failed request only: {@link org.limpetgate.Outcome#NOT_RUN} means
 * that this request did not start the task, while an earlier request with the same lease
 * id may have done so. Only a {@link LeaseStatus} with {@link LeaseState#TOMBSTONE}
 * proves that no request with the lease id has started the task. Implementations are
 * thread-safe.
 */
public interface WorkerService {

	/**
	 * Starts a task unless an earlier request with the same lease id has done so, and
	 * waits for its end.
	 * <p>
	 * A worker that refuses the task stores a tombstone, so that a delayed earlier
	 * request with the same lease id cannot start it later. The failure then has the kind
	 * {@link org.limpetgate.ErrorKind#IMPOSSIBLE} if the task needs more resources than
	 * the worker has, {@link org.limpetgate.ErrorKind#OVERLOADED} if the worker has no
	 * free capacity, or {@link org.limpetgate.ErrorKind#SHUTTING_DOWN} if it is leaving.
	 * @param leaseId the lease, not null
	 * @param workerId the worker, always the same for a lease id, not null
	 * @param task the task, not null
	 * @param leaseDuration the time after which the worker stops the task unless the
	 * lease is renewed, at least 1 ms
	 * @param maxWait the maximum time to wait for the end of the task, not null
	 * @return the state when the task has ended or the wait time has elapsed
	 */
	CompletableFuture<LeaseStatus> run(LeaseId leaseId, UpstreamId workerId, WorkerTask task, Duration leaseDuration,
			Duration maxWait);

	/**
	 * Starts a task unless an earlier request with the same lease id has done so, without
	 * waiting for its end.
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
	 * Renews a lease for a time from now. An expired lease remains expired.
	 * @param leaseId the lease, not null
	 * @param workerId the worker, not null
	 * @param leaseDuration the time after which the worker stops the task, at least 1 ms
	 * @return the state afterwards
	 */
	CompletableFuture<LeaseStatus> renew(LeaseId leaseId, UpstreamId workerId, Duration leaseDuration);

	/**
	 * Stops a task. For a lease that the worker has not seen, it stores a tombstone.
	 * @param leaseId the lease, not null
	 * @param workerId the worker, not null
	 * @return {@link LeaseState#TOMBSTONE} if the task did not run and never will,
	 * {@link LeaseState#UNSEEN} if the worker cannot prove this, otherwise the state in
	 * which the task ended
	 */
	CompletableFuture<LeaseStatus> stop(LeaseId leaseId, UpstreamId workerId);

	/**
	 * Reads the state of a lease.
	 * @param leaseId the lease, not null
	 * @param workerId the worker, not null
	 * @param maxWait the maximum time to wait for the end of a running task, not null
	 * @return the state when the task has ended or the wait time has elapsed
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
	 * Stores a checkpoint of a running task on the platform. The task continues to run.
	 * @param leaseId the lease, not null
	 * @param workerId the worker, not null
	 * @return the name of the checkpoint for {@link WorkerTask#withResumeFrom}, or a
	 * failure if the task is not running
	 */
	CompletableFuture<String> checkpoint(LeaseId leaseId, UpstreamId workerId);

	/**
	 * Reads the resource usage of a worker, which may be out of date.
	 * @param workerId the worker, not null
	 * @return the usage with its age
	 */
	CompletableFuture<WorkerUsage> usage(UpstreamId workerId);

}
