package org.limpetgate.dispatch;

import java.util.random.RandomGenerator;

import org.limpetgate.ErrorKind;
import org.limpetgate.Resources;

/**
 * Refuses tasks immediately if they cannot finish in time.
 * <p>
 * A task is refused if its expected wait plus a tail run time would exceed its deadline.
 * A queue may exceed its delay target for a short time, so that jobs and bursts are
 * accepted completely; once it has stayed above the target for longer, tasks with an
 * expected wait above the target are refused too. This bounds the backlog after a load
 * peak.
 */
final class AdmissionControl {

	/** How long a queue may stay above its delay target; longer than a typical burst. */
	private static final long MAX_STANDING_NANOS = 500_000_000L;

	/**
	 * How long the delay target is enforced after a queue has stayed above it. Otherwise
	 * new tasks and retries of refused callers would build up the queue again at each
	 * peak of the demand.
	 */
	private static final long STRICT_AFTER_STANDING_NANOS = 2_000_000_000L;

	/** Factor by which a wait may be underestimated when other callers' demand rises. */
	private static final double WAIT_MARGIN = 2;

	/** Multiple of the delay target up to which further tasks of a job are accepted. */
	private static final double STARTED_JOB_FACTOR = 2;

	/**
	 * Fraction of the capacity for retries of refused callers; a typical load leaves some
	 * 30% free.
	 */
	private static final double RETRY_CAPACITY_FRACTION = 0.15;

	private static final long MIN_RETRY_AFTER_NANOS = 100_000_000L;

	private static final long MAX_RETRY_AFTER_NANOS = 30_000_000_000L;

	private final DispatchSettings settings;

	private final FairQueue fairQueue;

	private final RandomGenerator random;

	AdmissionControl(DispatchSettings settings, FairQueue fairQueue, RandomGenerator random) {
		this.settings = settings;
		this.fairQueue = fairQueue;
		this.random = random;
	}

	Admission refusal(TaskEntity task, long nowNanos) {
		PoolEntity pool = task.pool;
		Resources needed = task.request.resources();
		if (pool.isWorkers() && pool.largestWorkers.stream().noneMatch(needed::isWithin)) {
			return Admission
				.refused(
						ErrorKind.IMPOSSIBLE, "no worker of pool '" + pool.row.name() + "' has " + needed.cores()
								+ " cores, " + needed.memoryMb() + " MB and " + needed.accelerators() + " accelerators",
						0);
		}
		if (pool.upstreams.stream().noneMatch(UpstreamEntity::isListed)) {
			return refuse(task, ErrorKind.NO_UPSTREAM,
					"no upstream of pool '" + pool.row.name() + "' is available in this data centre", nowNanos);
		}
		if (task.caller.queued >= task.caller.quota.queueTasks()) {
			return refuse(task, ErrorKind.QUOTA_EXCEEDED, "caller '" + task.caller.id + "' has " + task.caller.queued
					+ " queued tasks in pool '" + pool.row.name() + "'", nowNanos);
		}
		return refusalByLoad(task, nowNanos);
	}

	private Admission refusalByLoad(TaskEntity task, long nowNanos) {
		PoolEntity pool = task.pool;
		double wait = this.fairQueue.expectedWait(pool, task.caller, task.route);
		double slack = task.request.deadlineNanos() - nowNanos - task.route.tailRunNanos();
		if (wait > 0 && wait * WAIT_MARGIN > slack) {
			return refuse(task, ErrorKind.OVERLOADED, "the task would miss its deadline", nowNanos);
		}
		if (pool.expectedWait() <= this.settings.queueDelayTargetNanos()) {
			pool.lastWithinTargetAt = nowNanos;
		}
		if (nowNanos - pool.lastWithinTargetAt > MAX_STANDING_NANOS) {
			pool.lastStandingAt = nowNanos;
		}
		boolean recentlyStanding = nowNanos - pool.lastStandingAt < STRICT_AFTER_STANDING_NANOS;
		boolean continuesJob = task.request.job() != 0 && task.request.job() == pool.lastAcceptedJob
				&& pool.expectedWait() <= STARTED_JOB_FACTOR * this.settings.queueDelayTargetNanos();
		if (recentlyStanding && !continuesJob && wait > this.settings.queueDelayTargetNanos()) {
			return refuse(task, ErrorKind.OVERLOADED, "the queue of pool '" + pool.row.name() + "' is too long",
					nowNanos);
		}
		pool.lastAcceptedJob = task.request.job();
		return null;
	}

	private Admission refuse(TaskEntity task, ErrorKind kind, String detail, long nowNanos) {
		task.pool.refused++;
		return Admission.refused(kind, detail, retryAfter(task.pool, nowNanos));
	}

	/**
	 * Assigns the next retry time to a refused caller. The times are spaced so that
	 * retries use only a fraction of the capacity and leave the rest to new tasks.
	 * @param pool the pool
	 * @param nowNanos the current time
	 * @return the time to wait in nanoseconds
	 */
	long retryAfter(PoolEntity pool, long nowNanos) {
		long earliest = nowNanos + MIN_RETRY_AFTER_NANOS + (long) pool.expectedWait();
		long retryAt = Math.max(pool.retriesAssignedUntil, earliest);
		if (retryAt - nowNanos > MAX_RETRY_AFTER_NANOS) {
			return MAX_RETRY_AFTER_NANOS / 2 + this.random.nextLong(MAX_RETRY_AFTER_NANOS / 2);
		}
		pool.retriesAssignedUntil = retryAt
				+ (long) (pool.meanCost / RETRY_CAPACITY_FRACTION / Math.max(PoolEntity.MIN_CAPACITY, pool.capacity));
		return retryAt - nowNanos;
	}

}
