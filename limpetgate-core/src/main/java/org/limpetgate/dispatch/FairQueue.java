package org.limpetgate.dispatch;

/**
 * The order of the waiting tasks of a pool: weighted fair queueing over callers by the
 * slot time that they use, and within a caller the shorter learned run time first.
 * <p>
 * A caller that was idle gets no credit for the past, so the others use its idle share.
 * The time that the head of a route has waited counts against its run time, so long work
 * does not starve within its caller.
 */
final class FairQueue {

	/** Counted as waited, so that shorter tasks go first among those that just came. */
	private static final double WAIT_FLOOR_NANOS = 10_000_000;

	/** Callers whose slot time per weight differs by less than this count as equal. */
	private static final double VIRTUAL_TIME_WINDOW_NANOS = 300_000_000;

	private final DispatchSettings settings;

	FairQueue(DispatchSettings settings) {
		this.settings = settings;
	}

	void add(TaskEntity task) {
		PoolEntity pool = task.pool;
		CallerEntity caller = task.caller;
		if (caller.activeIndex < 0) {
			caller.activeIndex = pool.activeCallers.size();
			pool.activeCallers.add(caller);
			caller.virtualTime = Math.max(caller.virtualTime, pool.virtualTime);
		}
		CallerEntity.RouteQueue queue = caller.routeQueue(task.route);
		task.queuedCost = task.route.mean() * task.size;
		queue.addLast(task);
		queue.queuedCost += task.queuedCost;
		caller.queued++;
		caller.queuedCost += task.queuedCost;
		pool.queuedCost += task.queuedCost;
	}

	/**
	 * Updates the sums for a task that is about to leave its queue.
	 * @param task the task
	 */
	void beforeRemove(TaskEntity task) {
		PoolEntity pool = task.pool;
		CallerEntity caller = task.caller;
		CallerEntity.RouteQueue queue = (CallerEntity.RouteQueue) task.queue;
		boolean last = queue.size() == 1;
		queue.queuedCost = last ? 0 : queue.queuedCost - task.queuedCost;
		caller.queued--;
		caller.queuedCost = (caller.queued == 0) ? 0 : caller.queuedCost - task.queuedCost;
		pool.queuedCost = (pool.queuedTasks == 0) ? 0 : pool.queuedCost - task.queuedCost;
		if (caller.queued == 0) {
			CallerEntity moved = pool.activeCallers.remove(pool.activeCallers.size() - 1);
			if (moved != caller) {
				pool.activeCallers.set(caller.activeIndex, moved);
				moved.activeIndex = caller.activeIndex;
			}
			caller.activeIndex = -1;
		}
	}

	/**
	 * Returns the task that is next in turn.
	 * @param pool the pool
	 * @param nowNanos the current time
	 * @return the task, null if no caller that is not blocked in this round has one that
	 * is within the limits
	 */
	TaskEntity next(PoolEntity pool, long nowNanos) {
		boolean longAllowed = pool.longUnitsInFlight < longLimit(pool);
		double limit = leastVirtualTime(pool) + VIRTUAL_TIME_WINDOW_NANOS;
		TaskEntity best = null;
		double bestRatio = 0;
		for (int i = 0; i < pool.activeCallers.size(); i++) {
			CallerEntity caller = pool.activeCallers.get(i);
			TaskEntity task = (isEligible(caller) && caller.virtualTime <= limit)
					? nextOfCaller(caller, longAllowed, nowNanos) : null;
			if (task != null && responseRatio(task, nowNanos) > bestRatio) {
				best = task;
				bestRatio = responseRatio(task, nowNanos);
			}
		}
		return (best != null) ? best : nextOutsideWindow(pool, longAllowed, nowNanos);
	}

	/**
	 * Returns the next task when no caller within the window has one that can be placed.
	 * @param pool the pool
	 * @param longAllowed whether long work may start
	 * @param nowNanos the current time
	 * @return the task, null for none
	 */
	private TaskEntity nextOutsideWindow(PoolEntity pool, boolean longAllowed, long nowNanos) {
		TaskEntity best = null;
		for (int i = 0; i < pool.activeCallers.size(); i++) {
			CallerEntity caller = pool.activeCallers.get(i);
			if (isEligible(caller) && (best == null || caller.virtualTime < best.caller.virtualTime)) {
				TaskEntity task = nextOfCaller(caller, longAllowed, nowNanos);
				best = (task != null) ? task : best;
			}
		}
		return best;
	}

	private static boolean isEligible(CallerEntity caller) {
		return caller.inFlight < caller.quota.inFlight();
	}

	private static double leastVirtualTime(PoolEntity pool) {
		double least = Double.POSITIVE_INFINITY;
		for (int i = 0; i < pool.activeCallers.size(); i++) {
			CallerEntity caller = pool.activeCallers.get(i);
			if (isEligible(caller)) {
				least = Math.min(least, caller.virtualTime);
			}
		}
		return least;
	}

	private TaskEntity nextOfCaller(CallerEntity caller, boolean longAllowed, long nowNanos) {
		TaskEntity best = null;
		double bestRatio = 0;
		for (int i = 0; i < caller.routeQueues.size(); i++) {
			CallerEntity.RouteQueue queue = caller.routeQueues.get(i);
			TaskEntity head = queue.peek();
			if (head == null || queue.blockedRound == head.pool.dispatchRound
					|| queue.route.inFlight >= queue.route.limit || (!longAllowed && isLong(queue.route))
					|| isBlocked(queue.route, head)) {
				continue;
			}
			double ratio = responseRatio(head, nowNanos);
			if (ratio > bestRatio) {
				best = head;
				bestRatio = ratio;
			}
		}
		return best;
	}

	/**
	 * Returns the slowdown that a task has reached. The highest one goes first: a short
	 * task overtakes long ones soon, and a long one is overtaken for a few of its own run
	 * times only.
	 * @param task the task
	 * @param nowNanos the current time
	 * @return the ratio of response time to run time
	 */
	private static double responseRatio(TaskEntity task, long nowNanos) {
		double mean = task.route.mean();
		return (nowNanos - task.queuedAt + WAIT_FLOOR_NANOS + mean) / mean;
	}

	private static boolean isBlocked(RouteEntity route, TaskEntity head) {
		return route.blockedRound == head.pool.dispatchRound && head.request.resources().cores() >= route.blockedCores;
	}

	boolean isLong(RouteEntity route) {
		return route.mean() >= this.settings.longRun();
	}

	/**
	 * Returns how much of the capacity long work may hold: its fixed part, or what short
	 * work leaves with a margin for its swings, whichever is more.
	 * @param pool the pool
	 * @return the most slots, or workers, that long work may hold
	 */
	private double longLimit(PoolEntity pool) {
		double fixed = pool.capacity * this.settings.longPercent() / 100.0;
		double units = pool.isWorkers() ? pool.meanTaskSize : 1;
		double left = pool.capacity * 0.9 - 1.5 * pool.shortDemand * units;
		return Math.max(units, Math.max(fixed, left));
	}

	void started(AttemptEntity attempt) {
		TaskEntity task = attempt.task;
		task.pool.virtualTime = Math.max(task.pool.virtualTime, task.caller.virtualTime);
		charge(task, attempt.expectedRun);
	}

	/**
	 * Charges what an attempt took beyond its expected slot time. Nothing is given back:
	 * while run times are not learned, a caller would get a credit over those that became
	 * active in the meantime.
	 * @param attempt the attempt that ended
	 * @param runNanos its run time
	 */
	void ended(AttemptEntity attempt, long runNanos) {
		charge(attempt.task, Math.max(0, runNanos - attempt.expectedRun));
	}

	private static void charge(TaskEntity task, double runNanos) {
		task.caller.virtualTime += runNanos * task.size / task.caller.quota.weight();
	}

	/**
	 * Returns how long a task would wait if it were queued now: for the work of its own
	 * caller that goes first, at the caller's fair part of the capacity.
	 * @param pool the pool
	 * @param caller the caller of the task
	 * @param route the route of the task
	 * @return the time in nanoseconds
	 */
	double expectedWait(PoolEntity pool, CallerEntity caller, RouteEntity route) {
		double ahead = 0;
		for (CallerEntity.RouteQueue queue : caller.routeQueues) {
			if (queue.route == route || queue.route.mean() <= route.mean()) {
				ahead += queue.queuedCost;
			}
		}
		double totalWeight = (caller.activeIndex < 0) ? caller.quota.weight() : 0;
		double workOfOthers = 0;
		for (int i = 0; i < pool.activeCallers.size(); i++) {
			CallerEntity other = pool.activeCallers.get(i);
			totalWeight += other.quota.weight();
			workOfOthers += (other != caller) ? other.queuedCost : 0;
		}
		double atFairShare = ahead * totalWeight / caller.quota.weight();
		double work = Math.min(atFairShare, ahead + workOfOthers);
		return pool.waitBias * work / Math.max(PoolEntity.MIN_CAPACITY, pool.capacity);
	}

}
