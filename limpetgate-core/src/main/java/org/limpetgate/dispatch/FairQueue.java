package org.limpetgate.dispatch;

/**
 * The queue order of a pool: weighted fair queueing over callers by the slot time that
 * they use, and within a caller the highest response ratio first, which favours routes
 * with a shorter learned run time.
 * <p>
 * A caller that was idle gets no credit for unused slot time, which other callers used.
 * The response ratio grows with the time in the queue, so long tasks of a caller do not
 * starve.
 */
final class FairQueue {

	/**
	 * Added to each wait, so that among new tasks shorter ones start first.
	 */
	private static final double WAIT_FLOOR_NANOS = 10_000_000;

	/** Callers whose virtual times differ by less than this are treated as equal. */
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
		task.queuedCost = task.route.meanRunNanos() * task.size;
		queue.addLast(task);
		queue.queuedCost += task.queuedCost;
		caller.queued++;
		caller.queuedCost += task.queuedCost;
		pool.queuedCost += task.queuedCost;
	}

	/**
	 * Updates the totals for a task that is about to be removed from its queue.
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
	 * Returns the next task to start.
	 * @param pool the pool
	 * @param nowNanos the current time
	 * @return the task, null if all queued tasks are blocked in this round or would
	 * exceed a limit
	 */
	TaskEntity next(PoolEntity pool, long nowNanos) {
		boolean longAllowed = pool.longUnitsInFlight < longLimit(pool);
		double maxVirtualTime = leastVirtualTime(pool) + VIRTUAL_TIME_WINDOW_NANOS;
		TaskEntity best = null;
		double bestRatio = 0;
		for (int i = 0; i < pool.activeCallers.size(); i++) {
			CallerEntity caller = pool.activeCallers.get(i);
			TaskEntity task = (isEligible(caller) && caller.virtualTime <= maxVirtualTime)
					? nextOfCaller(caller, longAllowed, nowNanos) : null;
			if (task != null && responseRatio(task, nowNanos) > bestRatio) {
				best = task;
				bestRatio = responseRatio(task, nowNanos);
			}
		}
		return (best != null) ? best : nextOutsideWindow(pool, longAllowed, nowNanos);
	}

	/**
	 * Returns the next task if no caller within the virtual time window has one to start.
	 * @param pool the pool
	 * @param longAllowed whether long tasks may start
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
	 * Returns the response ratio of a task: its expected response time over its run time.
	 * The task with the highest ratio starts first, so a short task soon overtakes long
	 * ones, and a long one is overtaken only for a few times its own run time.
	 * @param task the task
	 * @param nowNanos the current time
	 * @return the ratio
	 */
	private static double responseRatio(TaskEntity task, long nowNanos) {
		double meanRunNanos = task.route.meanRunNanos();
		return (nowNanos - task.queuedAt + WAIT_FLOOR_NANOS + meanRunNanos) / meanRunNanos;
	}

	private static boolean isBlocked(RouteEntity route, TaskEntity head) {
		return route.blockedRound == head.pool.dispatchRound && head.request.resources().cores() >= route.blockedCores;
	}

	boolean isLong(RouteEntity route) {
		return route.meanRunNanos() >= this.settings.longRunThresholdNanos();
	}

	/**
	 * Returns the capacity available to long tasks: a fixed percentage, or what short
	 * tasks leave after a margin for fluctuations, whichever is larger.
	 * @param pool the pool
	 * @return the maximum slots, or workers, that long tasks may occupy
	 */
	private double longLimit(PoolEntity pool) {
		double fixed = pool.capacity * this.settings.longPercent() / 100.0;
		double units = pool.isWorkers() ? pool.meanTaskSize : 1;
		double leftByShortTasks = pool.capacity * 0.9 - 1.5 * pool.shortDemand * units;
		return Math.max(units, Math.max(fixed, leftByShortTasks));
	}

	void started(AttemptEntity attempt) {
		TaskEntity task = attempt.task;
		task.pool.virtualTime = Math.max(task.pool.virtualTime, task.caller.virtualTime);
		charge(task, attempt.expectedRun);
	}

	/**
	 * Charges the slot time of an attempt beyond the expected one. A shorter run is not
	 * refunded: until run times are learned, a refund would give the caller credit over
	 * callers that became active in the meantime.
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
	 * Returns the expected wait of a task if it were queued now: the time to process the
	 * tasks of its caller that start before it, at the caller's fair share of the
	 * capacity.
	 * @param pool the pool
	 * @param caller the caller of the task
	 * @param route the route of the task
	 * @return the time in nanoseconds
	 */
	double expectedWait(PoolEntity pool, CallerEntity caller, RouteEntity route) {
		double workAhead = 0;
		for (CallerEntity.RouteQueue queue : caller.routeQueues) {
			if (queue.route == route || queue.route.meanRunNanos() <= route.meanRunNanos()) {
				workAhead += queue.queuedCost;
			}
		}
		double totalWeight = (caller.activeIndex < 0) ? caller.quota.weight() : 0;
		double workOfOthers = 0;
		for (int i = 0; i < pool.activeCallers.size(); i++) {
			CallerEntity other = pool.activeCallers.get(i);
			totalWeight += other.quota.weight();
			workOfOthers += (other != caller) ? other.queuedCost : 0;
		}
		double atFairShare = workAhead * totalWeight / caller.quota.weight();
		double work = Math.min(atFairShare, workAhead + workOfOthers);
		return pool.waitBias * work / Math.max(PoolEntity.MIN_CAPACITY, pool.capacity);
	}

}
