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
 * Work waits here, in fair order, until a slot within the host's share of an upstream is
 * free. The systems are described in {@code docs/policy.md}, each with the measurement
 * that supports it.
 */
public final class AdaptiveDispatcher extends AbstractDispatcher {

	private static final long SYSTEM_INTERVAL_NANOS = 100_000_000L;

	/** What remains of an unused speed factor per interval: a half after 7 s. */
	private static final double SPEED_DECAY = 0.99;

	private static final double SMOOTHING = 0.02;

	private static final double SHORT_DEMAND_FALL = 0.9;

	private static final double DEMAND_FALL = 0.9;

	private static final int MAX_SKIPS = 4;

	private static final int MAX_WORKER_SKIPS = 16;

	private static final long FIRST_BACKOFF_NANOS = 10_000_000L;

	private static final long NOT_RUN_BACKOFF_NANOS = 5_000_000L;

	/** Tokens that hedges leave for retries, which save work while hedges save time. */
	private static final double RETRY_RESERVE = 5;

	private static final long HEDGE_RECHECK_NANOS = 50_000_000L;

	private static final long MIN_OVERDUE_NANOS = 50_000_000L;

	private static final double DEFAULT_OVERDUE_FACTOR = 4;

	private static final long RESERVE_AFTER_NANOS = 500_000_000L;

	/**
	 * Run times before the deadline at which a task is no longer started. Slower workers
	 * take 1.3 times the mean; attempts that end late hold capacity for nothing.
	 */
	private static final double LATEST_START = 1.3;

	/** Smaller tasks find gaps, and a reserved worker stands partly idle. */
	private static final double RESERVE_MIN_PART = 0.5;

	private final RandomGenerator random;

	private final FairQueue order;

	private final AdmissionControl admission;

	private final ShareSystem shares;

	private final HealthSystem health;

	private final Choice choice;

	private final UsageSystem usage = new UsageSystem();

	private boolean systemsScheduled;

	private long lastNow;

	private long demandAt;

	private AdaptiveDispatcher(DispatchSettings settings, RandomGenerator random) {
		super(settings);
		this.random = Objects.requireNonNull(random, "random");
		this.order = new FairQueue(settings);
		this.admission = new AdmissionControl(settings, this.order, random);
		this.shares = new ShareSystem(settings);
		this.health = new HealthSystem(settings, random);
		this.choice = new Choice(random);
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
		pool.updateOpen(upstream);
	}

	@Override
	public void upstreamLeaving(UpstreamId id, long nowNanos) {
		super.upstreamLeaving(id, nowNanos);
		this.pools.values().forEach(PoolEntity::countCapacity);
	}

	@Override
	public void upstreamReturned(UpstreamId id, long nowNanos) {
		super.upstreamReturned(id, nowNanos);
		this.pools.values().forEach(PoolEntity::countCapacity);
	}

	@Override
	public void usageReported(UpstreamId id, Resources used, long sampledNanos, long nowNanos) {
		for (PoolEntity pool : this.pools.values()) {
			UpstreamEntity worker = pool.byId.get(id);
			if (worker != null) {
				this.usage.reported(pool, worker, used, sampledNanos);
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
			refusal = refusedByBounds(task, this.admission.retryAfter(pool, nowNanos));
		}
		if (refusal != null) {
			return refusal;
		}
		task.job = pool.job(request);
		if (pool.isWorkers()) {
			task.size = Math.min(1, Choice.dominant(request.resources(), pool.largest.get(0)));
			pool.unitsPerTask += SMOOTHING * (task.size - pool.unitsPerTask);
		}
		scheduleSystems(nowNanos);
		return Admission.accepted();
	}

	@Override
	long firstCheckNanos(TaskEntity task) {
		return Math.max(task.acceptedAt, task.request.deadlineNanos() - (long) (LATEST_START * task.route.mean()));
	}

	private void scheduleSystems(long nowNanos) {
		if (!this.systemsScheduled) {
			this.systemsScheduled = true;
			this.timers.schedule(nowNanos + SYSTEM_INTERVAL_NANOS, this::runSystems);
		}
	}

	private void runSystems(long nowNanos) {
		this.systemsScheduled = false;
		boolean busy = false;
		for (PoolEntity pool : this.pools.values()) {
			this.health.run(pool, nowNanos);
			pool.upstreams.forEach((upstream) -> upstream.decay(SPEED_DECAY));
			pool.countCapacity();
			measureShortDemand(pool);
			if (pool.isWorkers()) {
				this.usage.remember(pool, nowNanos);
			}
			busy |= pool.queuedTasks > 0 || pool.inFlight > 0 || pool.ejected > 0;
		}
		if (busy) {
			scheduleSystems(nowNanos);
		}
	}

	private void measureShortDemand(PoolEntity pool) {
		int demand = pool.inFlight - pool.attemptsLong;
		for (CallerEntity caller : pool.active) {
			for (CallerEntity.RouteQueue queue : caller.routes) {
				demand += this.order.isLong(queue.route) ? 0 : queue.size();
			}
		}
		pool.shortDemand = Math.max(demand, SHORT_DEMAND_FALL * pool.shortDemand);
	}

	@Override
	void enqueue(TaskEntity task, long nowNanos) {
		if (task.attempts == 0) {
			task.expectedWait = this.order.expectedWait(task.pool, task.caller, task.route);
		}
		this.order.add(task);
	}

	@Override
	void dequeued(TaskEntity task) {
		this.order.removing(task);
		if (task.pool.reservedFor == task) {
			task.pool.reserved = null;
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
		pool.round++;
		int skips = pool.isWorkers() ? MAX_WORKER_SKIPS : MAX_SKIPS;
		while (pool.queuedTasks > 0 && !pool.open.isEmpty() && skips > 0) {
			TaskEntity task = this.order.next(pool, nowNanos);
			if (task == null) {
				return;
			}
			UpstreamEntity upstream = this.choice.choose(task, null, nowNanos);
			if (upstream == null) {
				skips--;
				block(task);
				reserveFor(task, nowNanos);
			}
			else {
				learnWait(task, nowNanos);
				launch(task, upstream, false, nowNanos);
			}
		}
	}

	/**
	 * Skips a task for the rest of the round, and at workers all tasks of its route that
	 * are not smaller.
	 * @param task the task that cannot be placed now
	 */
	private static void block(TaskEntity task) {
		((CallerEntity.RouteQueue) task.queue).blockedRound = task.pool.round;
		if (task.pool.isWorkers()) {
			task.route.blockedRound = task.pool.round;
			task.route.blockedCores = task.request.resources().cores();
		}
	}

	/**
	 * Keeps the emptiest worker for a task that has waited long because smaller ones take
	 * each gap.
	 * @param task the task that fits nowhere
	 * @param nowNanos the present time
	 */
	private void reserveFor(TaskEntity task, long nowNanos) {
		PoolEntity pool = task.pool;
		if (!pool.isWorkers() || pool.reserved != null || task.size < RESERVE_MIN_PART
				|| nowNanos - task.queuedAt < RESERVE_AFTER_NANOS) {
			return;
		}
		double least = Double.POSITIVE_INFINITY;
		for (UpstreamEntity worker : pool.open) {
			double load = Choice.dominant(worker.booked, worker.row.resources());
			if (load < least && task.request.resources().isWithin(worker.row.resources())) {
				least = load;
				pool.reserved = worker;
				pool.reservedFor = task;
			}
		}
	}

	private static void learnWait(TaskEntity task, long nowNanos) {
		double minimum = MIN_OVERDUE_NANOS;
		if (task.attempts == 0 && task.expectedWait > minimum) {
			double ratio = Math.max(0.5, Math.min(2, (nowNanos - task.queuedAt) / task.expectedWait));
			PoolEntity pool = task.pool;
			pool.waitBias = Math.max(0.5, Math.min(4, pool.waitBias * (1 + SMOOTHING * (ratio - 1))));
		}
	}

	private void launch(TaskEntity task, UpstreamEntity upstream, boolean hedge, long nowNanos) {
		double slowness = upstream.slowness(task.route);
		double expected = task.route.mean() * slowness;
		String reason = reason(upstream, hedge, slowness);
		AttemptEntity attempt = start(task, upstream, hedge, reason, nowNanos);
		PoolEntity pool = task.pool;
		attempt.expected = expected;
		attempt.probe = upstream.health == UpstreamEntity.Health.PROBATION;
		attempt.isLong = this.order.isLong(task.route);
		pool.longInFlight += attempt.isLong ? task.size : 0;
		pool.attemptsLong += attempt.isLong ? 1 : 0;
		task.route.inFlight++;
		task.caller.inFlight++;
		this.order.started(attempt);
		if (pool.isWorkers()) {
			attempt.booked = Choice.booking(task, upstream);
			upstream.booked = upstream.booked.plus(attempt.booked);
			upstream.declare(task.route, task.request.resources(), true);
		}
		pool.updateOpen(upstream);
		attempt.hedgeTimer = this.timers.schedule(nowNanos + overdueAfter(attempt), (now) -> overdue(attempt, now));
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

	private long overdueAfter(AttemptEntity attempt) {
		double factor = (this.settings.hedgeFactor() > 0) ? this.settings.hedgeFactor() : DEFAULT_OVERDUE_FACTOR;
		double nanos = Math.max(factor * attempt.expected, attempt.task.route.tail());
		return Math.max(MIN_OVERDUE_NANOS, (long) nanos);
	}

	private void overdue(AttemptEntity attempt, long nowNanos) {
		TaskEntity task = attempt.task;
		if (!attempt.overdue) {
			attempt.overdue = true;
			attempt.upstream.overdue++;
			attempt.upstream.learn(task.route, (nowNanos - attempt.startedAt) / task.route.mean());
			this.health.overdue(task.pool, attempt, nowNanos);
		}
		if (!mayHedge(task)) {
			return;
		}
		UpstreamEntity upstream = this.choice.choose(task, attempt.upstream, nowNanos);
		if (upstream != null && task.pool.budget.take(RETRY_RESERVE)) {
			launch(task, upstream, true, nowNanos);
		}
		else {
			attempt.hedgeTimer = this.timers.schedule(nowNanos + HEDGE_RECHECK_NANOS, (now) -> overdue(attempt, now));
		}
	}

	private boolean mayHedge(TaskEntity task) {
		return this.settings.hedgeFactor() > 0 && task.request.idempotent() && task.running.size() == 1
				&& task.attempts < MAX_ATTEMPTS && task.pool.expectedWait() < this.settings.queueDelayTarget();
	}

	@Override
	void released(AttemptEntity attempt, AttemptResult result, long nowNanos) {
		TaskEntity task = attempt.task;
		PoolEntity pool = task.pool;
		UpstreamEntity upstream = attempt.upstream;
		long run = nowNanos - attempt.startedAt;
		pool.longInFlight -= attempt.isLong ? task.size : 0;
		pool.attemptsLong -= attempt.isLong ? 1 : 0;
		task.route.inFlight--;
		task.caller.inFlight--;
		upstream.overdue -= attempt.overdue ? 1 : 0;
		this.order.ended(attempt, run);
		if (pool.isWorkers()) {
			upstream.booked = (upstream.inFlight == 0) ? Resources.NONE : upstream.booked.minus(attempt.booked);
			upstream.declare(task.route, task.request.resources(), false);
		}
		if (result.outcome() == Outcome.COMPLETE) {
			upstream.learn(task.route, Math.max(1, run) / task.route.mean());
			task.route.learn(run);
			pool.meanCost += SMOOTHING * (Math.min(run, task.route.tail()) * task.size - pool.meanCost);
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
		if (task.job.isAtFault() || !task.pool.budget.take(0)) {
			return -1;
		}
		long backoff = notRun ? NOT_RUN_BACKOFF_NANOS : FIRST_BACKOFF_NANOS << (task.attempts - 1);
		return 1 + this.random.nextLong(backoff);
	}

	/**
	 * Returns the demand by pool and publishes it: the own shares are computed from it,
	 * so it must be sent to the peers. A fallen demand is given with a delay.
	 */
	@Override
	public Map<PoolName, PeerLoad.Demand> demand() {
		double intervals = (this.lastNow - this.demandAt) / (double) SYSTEM_INTERVAL_NANOS;
		this.demandAt = this.lastNow;
		double fall = Math.pow(DEMAND_FALL, Math.min(100, intervals));
		Map<PoolName, PeerLoad.Demand> demand = new HashMap<>();
		this.pools.forEach((name, pool) -> {
			double smoothed = fall * pool.publishedDemand + (1 - fall) * pool.inFlight;
			pool.publishedDemand = Math.max(pool.inFlight, smoothed);
			int kept = (int) Math.ceil(pool.publishedDemand) - pool.inFlight;
			int waiting = Math.max(kept, pool.queuedTasks);
			demand.put(name, new PeerLoad.Demand(waiting, pool.inFlight));
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
