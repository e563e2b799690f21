package org.limpetgate.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.limpetgate.Outcome;
import org.limpetgate.PoolName;
import org.limpetgate.Resources;
import org.limpetgate.UpstreamId;

/**
 * The dispatch policy of an entry host.
 * <p>
 * Tasks wait in a fair queue until a slot within this host's share of an upstream is
 * free. {@code docs/policy.md} describes the systems that make up the policy, each with
 * the measurement that supports it.
 */
public final class AdaptiveDispatcher extends AbstractDispatcher {

	private static final long UPDATE_INTERVAL_NANOS = 100_000_000L;

	/** Decay per interval of a slowness factor without new samples: halves in 7 s. */
	private static final double SLOWNESS_DECAY = 0.99;

	private static final double SMOOTHING = 0.02;

	private static final double SHORT_DEMAND_DECAY = 0.9;

	private static final double PUBLISHED_DEMAND_DECAY = 0.9;

	private static final int MAX_RUNNER_SKIPS = 4;

	private static final int MAX_WORKER_SKIPS = 16;

	private static final long FIRST_BACKOFF_NANOS = 10_000_000L;

	private static final long NOT_RUN_BACKOFF_NANOS = 5_000_000L;

	/**
	 * Tokens that hedges leave for retries: without a retry a task fails, without a hedge
	 * it is only slower.
	 */
	private static final double RETRY_RESERVE_TOKENS = 5;

	private static final long HEDGE_RECHECK_NANOS = 50_000_000L;

	private static final long MIN_OVERDUE_NANOS = 50_000_000L;

	private static final double DEFAULT_OVERDUE_FACTOR = 4;

	private static final long RESERVE_AFTER_NANOS = 500_000_000L;

	/**
	 * Time before the deadline, in mean run times, after which a task is no longer
	 * started. Slower workers take 1.3 times the mean, and an attempt that ends after the
	 * deadline wastes capacity.
	 */
	private static final double LATEST_START_RUN_TIMES = 1.3;

	/**
	 * Smallest task for which a worker is reserved, as a fraction of the largest worker.
	 * Smaller tasks fit into free capacity, and a reserved worker is partly idle.
	 */
	private static final double MIN_RESERVE_SIZE = 0.5;

	private final RandomGenerator random;

	private final FairQueue fairQueue;

	private final AdmissionControl admission;

	private final ShareSystem shares;

	private final HealthSystem health;

	private final UpstreamSelector upstreamSelector;

	private final UsageSystem usage = new UsageSystem();

	private boolean periodicUpdateScheduled;

	private long lastNow;

	private long lastDemandAt;

	private AdaptiveDispatcher(DispatchSettings settings, RandomGenerator random) {
		super(settings);
		this.random = Objects.requireNonNull(random, "random");
		this.fairQueue = new FairQueue(settings);
		this.admission = new AdmissionControl(settings, this.fairQueue, random);
		this.shares = new ShareSystem(settings);
		this.health = new HealthSystem(settings, random);
		this.upstreamSelector = new UpstreamSelector(random);
	}

	/**
	 * Returns a dispatcher without configuration.
	 * @param settings the settings, not null
	 * @param random the source of random choices, not null
	 * @return the dispatcher, not null
	 */
	public static AdaptiveDispatcher of(DispatchSettings settings, RandomGenerator random) {
		return new AdaptiveDispatcher(settings, random);
	}

	@Override
	void sharesChanged(long nowNanos) {
		this.pools.values().forEach((pool) -> this.shares.divide(pool, this.peers));
	}

	@Override
	void upstreamChanged(PoolEntity pool, UpstreamEntity upstream, long nowNanos) {
		pool.updateAvailable(upstream);
	}

	@Override
	public void upstreamLeaving(UpstreamId id, long nowNanos) {
		super.upstreamLeaving(id, nowNanos);
		this.pools.values().forEach(PoolEntity::updateCapacity);
	}

	@Override
	public void upstreamReturned(UpstreamId id, long nowNanos) {
		super.upstreamReturned(id, nowNanos);
		this.pools.values().forEach(PoolEntity::updateCapacity);
	}

	@Override
	public void usageReported(UpstreamId id, Resources used, long sampledNanos, long nowNanos) {
		for (PoolEntity pool : this.pools.values()) {
			UpstreamEntity worker = pool.upstreamsById.get(id);
			if (worker != null) {
				this.usage.usageReported(pool, worker, used, sampledNanos);
			}
		}
	}

	@Override
	Admission admit(TaskEntity task, long nowNanos) {
		this.lastNow = nowNanos;
		PoolEntity pool = task.pool;
		TaskRequest request = task.request;
		task.route = pool.route(request.route());
		task.caller = pool.caller(request.caller());
		Admission refusal = this.admission.refusal(task, nowNanos);
		if (refusal == null) {
			refusal = refusalByQueueLimits(task, this.admission.retryAfter(pool, nowNanos));
		}
		if (refusal != null) {
			return refusal;
		}
		task.job = pool.job(request);
		if (pool.isWorkers()) {
			task.size = Math.min(1, UpstreamSelector.dominantShare(request.resources(), pool.largestWorkers.get(0)));
			pool.meanTaskSize += SMOOTHING * (task.size - pool.meanTaskSize);
		}
		schedulePeriodicUpdate(nowNanos);
		return Admission.accepted();
	}

	@Override
	long latestStartNanos(TaskEntity task) {
		return Math.max(task.acceptedAt,
				task.request.deadlineNanos() - (long) (LATEST_START_RUN_TIMES * task.route.meanRunNanos()));
	}

	private void schedulePeriodicUpdate(long nowNanos) {
		if (!this.periodicUpdateScheduled) {
			this.periodicUpdateScheduled = true;
			this.timers.schedule(nowNanos + UPDATE_INTERVAL_NANOS, this::runPeriodicUpdate);
		}
	}

	private void runPeriodicUpdate(long nowNanos) {
		this.periodicUpdateScheduled = false;
		boolean busy = false;
		for (PoolEntity pool : this.pools.values()) {
			this.health.startProbations(pool, nowNanos);
			pool.upstreams.forEach((upstream) -> upstream.decay(SLOWNESS_DECAY));
			pool.updateCapacity();
			measureShortDemand(pool);
			if (pool.isWorkers()) {
				this.usage.recordBookings(pool, nowNanos);
			}
			busy |= pool.queuedTasks > 0 || pool.inFlight > 0 || pool.ejected > 0;
		}
		if (busy) {
			schedulePeriodicUpdate(nowNanos);
		}
	}

	private void measureShortDemand(PoolEntity pool) {
		int demand = pool.inFlight - pool.longAttemptsInFlight;
		for (CallerEntity caller : pool.activeCallers) {
			for (CallerEntity.RouteQueue queue : caller.routeQueues) {
				demand += this.fairQueue.isLong(queue.route) ? 0 : queue.size();
			}
		}
		pool.shortDemand = Math.max(demand, SHORT_DEMAND_DECAY * pool.shortDemand);
	}

	@Override
	void enqueue(TaskEntity task, long nowNanos) {
		if (task.attempts == 0) {
			task.expectedWait = this.fairQueue.expectedWait(task.pool, task.caller, task.route);
		}
		this.fairQueue.add(task);
	}

	@Override
	void beforeDequeue(TaskEntity task) {
		this.fairQueue.beforeRemove(task);
		if (task.pool.reservedFor == task) {
			task.pool.reservedWorker = null;
			task.pool.reservedFor = null;
		}
	}

	@Override
	void dispatch(long nowNanos) {
		this.lastNow = nowNanos;
		for (PoolEntity pool : this.pools.values()) {
			if (pool.queuedTasks > 0) {
				dispatch(pool, nowNanos);
			}
		}
	}

	private void dispatch(PoolEntity pool, long nowNanos) {
		pool.dispatchRound++;
		int remainingSkips = pool.isWorkers() ? MAX_WORKER_SKIPS : MAX_RUNNER_SKIPS;
		while (pool.queuedTasks > 0 && !pool.available.isEmpty() && remainingSkips > 0) {
			TaskEntity task = this.fairQueue.next(pool, nowNanos);
			if (task == null) {
				return;
			}
			UpstreamEntity upstream = this.upstreamSelector.select(task, null, nowNanos);
			if (upstream == null) {
				remainingSkips--;
				skipForRound(task);
				reserveWorkerFor(task, nowNanos);
			}
			else {
				updateWaitBias(task, nowNanos);
				startAttempt(task, upstream, false, nowNanos);
			}
		}
	}

	/**
	 * Skips a task for the rest of the dispatch round. In a pool of workers, also skips
	 * the tasks of its route that need at least as many cores.
	 * @param task the task that cannot be placed now
	 */
	private static void skipForRound(TaskEntity task) {
		((CallerEntity.RouteQueue) task.queue).blockedRound = task.pool.dispatchRound;
		if (task.pool.isWorkers()) {
			task.route.blockedRound = task.pool.dispatchRound;
			task.route.blockedCores = task.request.resources().cores();
		}
	}

	/**
	 * Reserves the least loaded worker for a large task that has waited long because
	 * smaller tasks keep using the capacity that becomes free.
	 * @param task the task that fits on no worker
	 * @param nowNanos the current time
	 */
	private void reserveWorkerFor(TaskEntity task, long nowNanos) {
		PoolEntity pool = task.pool;
		if (!pool.isWorkers() || pool.reservedWorker != null || task.size < MIN_RESERVE_SIZE
				|| nowNanos - task.queuedAt < RESERVE_AFTER_NANOS) {
			return;
		}
		double leastLoad = Double.POSITIVE_INFINITY;
		for (UpstreamEntity worker : pool.available) {
			double load = UpstreamSelector.dominantShare(worker.booked, worker.row.resources());
			if (load < leastLoad && task.request.resources().isWithin(worker.row.resources())) {
				leastLoad = load;
				pool.reservedWorker = worker;
				pool.reservedFor = task;
			}
		}
	}

	private static void updateWaitBias(TaskEntity task, long nowNanos) {
		double minWaitNanos = MIN_OVERDUE_NANOS;
		if (task.attempts == 0 && task.expectedWait > minWaitNanos) {
			double ratio = Math.max(0.5, Math.min(2, (nowNanos - task.queuedAt) / task.expectedWait));
			PoolEntity pool = task.pool;
			pool.waitBias = Math.max(0.5, Math.min(4, pool.waitBias * (1 + SMOOTHING * (ratio - 1))));
		}
	}

	private void startAttempt(TaskEntity task, UpstreamEntity upstream, boolean hedge, long nowNanos) {
		double slowness = upstream.slowness(task.route);
		double expectedRun = task.route.meanRunNanos() * slowness;
		String reason = reason(upstream, hedge, slowness);
		AttemptEntity attempt = start(task, upstream, hedge, reason, nowNanos);
		PoolEntity pool = task.pool;
		attempt.expectedRun = expectedRun;
		attempt.probe = upstream.health == UpstreamEntity.Health.PROBATION;
		attempt.isLong = this.fairQueue.isLong(task.route);
		pool.longUnitsInFlight += attempt.isLong ? task.size : 0;
		pool.longAttemptsInFlight += attempt.isLong ? 1 : 0;
		task.route.inFlight++;
		task.caller.inFlight++;
		this.fairQueue.started(attempt);
		if (pool.isWorkers()) {
			attempt.booked = UpstreamSelector.booking(task, upstream);
			upstream.booked = upstream.booked.plus(attempt.booked);
			upstream.updateDeclared(task.route, task.request.resources(), true);
		}
		pool.updateAvailable(upstream);
		attempt.overdueTimer = this.timers.schedule(nowNanos + overdueDelayNanos(attempt),
				(now) -> attemptOverdue(attempt, now));
	}

	private static String reason(UpstreamEntity upstream, boolean hedge, double slowness) {
		if (upstream.health == UpstreamEntity.Health.PROBATION) {
			return "probe";
		}
		if (hedge) {
			return "hedge";
		}
		return (slowness < 1) ? "fast" : "free";
	}

	private long overdueDelayNanos(AttemptEntity attempt) {
		double factor = (this.settings.hedgeFactor() > 0) ? this.settings.hedgeFactor() : DEFAULT_OVERDUE_FACTOR;
		double nanos = Math.max(factor * attempt.expectedRun, attempt.task.route.tailRunNanos());
		return Math.max(MIN_OVERDUE_NANOS, (long) nanos);
	}

	private void attemptOverdue(AttemptEntity attempt, long nowNanos) {
		TaskEntity task = attempt.task;
		if (!attempt.overdue) {
			attempt.overdue = true;
			attempt.upstream.overdueAttempts++;
			attempt.upstream.learn(task.route, (nowNanos - attempt.startedAt) / task.route.meanRunNanos());
			this.health.overdue(task.pool, attempt, nowNanos);
		}
		if (!mayHedge(task)) {
			return;
		}
		UpstreamEntity upstream = this.upstreamSelector.select(task, attempt.upstream, nowNanos);
		if (upstream != null && task.pool.budget.tryWithdraw(RETRY_RESERVE_TOKENS)) {
			startAttempt(task, upstream, true, nowNanos);
		}
		else {
			attempt.overdueTimer = this.timers.schedule(nowNanos + HEDGE_RECHECK_NANOS,
					(now) -> attemptOverdue(attempt, now));
		}
	}

	private boolean mayHedge(TaskEntity task) {
		return this.settings.hedgeFactor() > 0 && task.request.idempotent() && task.running.size() == 1
				&& task.attempts < MAX_ATTEMPTS && task.pool.expectedWait() < this.settings.queueDelayTargetNanos();
	}

	@Override
	void released(AttemptEntity attempt, AttemptResult result, long nowNanos) {
		TaskEntity task = attempt.task;
		PoolEntity pool = task.pool;
		UpstreamEntity upstream = attempt.upstream;
		long runNanos = nowNanos - attempt.startedAt;
		pool.longUnitsInFlight -= attempt.isLong ? task.size : 0;
		pool.longAttemptsInFlight -= attempt.isLong ? 1 : 0;
		task.route.inFlight--;
		task.caller.inFlight--;
		upstream.overdueAttempts -= attempt.overdue ? 1 : 0;
		this.fairQueue.ended(attempt, runNanos);
		if (pool.isWorkers()) {
			upstream.booked = (upstream.inFlight == 0) ? Resources.NONE : upstream.booked.minus(attempt.booked);
			upstream.updateDeclared(task.route, task.request.resources(), false);
		}
		if (result.outcome() == Outcome.COMPLETE) {
			upstream.learn(task.route, Math.max(1, runNanos) / task.route.meanRunNanos());
			task.route.learn(runNanos);
			pool.meanCost += SMOOTHING * (Math.min(runNanos, task.route.tailRunNanos()) * task.size - pool.meanCost);
			this.health.completed(pool, attempt, nowNanos);
		}
		else {
			this.health.failed(pool, attempt, result, nowNanos);
		}
	}

	@Override
	long retryDelay(TaskEntity task, AttemptResult result, long nowNanos) {
		boolean notRun = result.outcome() == Outcome.NOT_RUN;
		if (notRun && result.leaving()) {
			return 0;
		}
		if (task.job.isAtFault() || !task.pool.budget.tryWithdraw(0)) {
			return -1;
		}
		long backoff = notRun ? NOT_RUN_BACKOFF_NANOS : FIRST_BACKOFF_NANOS << (task.attempts - 1);
		return 1 + this.random.nextLong(backoff);
	}

	/**
	 * Returns the demand by pool and publishes it. The shares of this host are computed
	 * from it, so it must be sent to the peers. Published demand rises immediately and
	 * decays gradually.
	 */
	@Override
	public Map<PoolName, PeerLoad.Demand> demand() {
		double intervals = (this.lastNow - this.lastDemandAt) / (double) UPDATE_INTERVAL_NANOS;
		this.lastDemandAt = this.lastNow;
		double decay = Math.pow(PUBLISHED_DEMAND_DECAY, Math.min(100, intervals));
		Map<PoolName, PeerLoad.Demand> demand = new HashMap<>();
		this.pools.forEach((name, pool) -> {
			double smoothed = decay * pool.publishedDemand + (1 - decay) * pool.inFlight;
			pool.publishedDemand = Math.max(pool.inFlight, smoothed);
			int decayingDemand = (int) Math.ceil(pool.publishedDemand) - pool.inFlight;
			int queued = Math.max(decayingDemand, pool.queuedTasks);
			demand.put(name, new PeerLoad.Demand(queued, pool.inFlight));
		});
		this.shares.publish(demand);
		sharesChanged(this.lastNow);
		return demand;
	}

	@Override
	public long expectedWaitNanos(PoolName name, long nowNanos) {
		PoolEntity pool = this.pools.get(name);
		return (pool != null) ? (long) pool.expectedWait() : 0;
	}

	@Override
	public List<PoolStatus> status(long nowNanos) {
		List<PoolStatus> status = new ArrayList<>();
		this.pools.forEach((name,
				pool) -> status.add(new PoolStatus(name, pool.queuedTasks, pool.queuedBytes, pool.inFlight,
						(int) Math.ceil(pool.capacity), pool.ejected, (long) pool.expectedWait(), pool.budget.tokens(),
						pool.refused)));
		return status;
	}

}
