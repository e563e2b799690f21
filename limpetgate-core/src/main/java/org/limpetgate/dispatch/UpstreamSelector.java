package org.limpetgate.dispatch;

import java.util.random.RandomGenerator;

import org.limpetgate.Resources;

/**
 * Selects the upstream for a task: the one with the lowest score, based on the expected
 * run time, out of a random sample of the available upstreams.
 * <p>
 * The sample size is bounded, so the cost of a selection does not grow with the pool.
 */
final class UpstreamSelector {

	/** Includes one of the fastest fifth with a probability of five sixths. */
	private static final int RUNNER_SAMPLE_SIZE = 8;

	/** Larger than for runners, since a worker may lack capacity for the task. */
	private static final int WORKER_SAMPLE_SIZE = 24;

	/** Highest slowness at which an upstream is used without waiting for a faster one. */
	private static final double MAX_IMMEDIATE_SLOWNESS = 2;

	private static final double LOAD_PENALTY = 0.3;

	/**
	 * While tasks are queued, the fullest worker is preferred (best fit), so that large
	 * free capacities remain.
	 */
	private static final double FREE_CAPACITY_PENALTY = 1;

	private static final double RACK_PENALTY = 1.5;

	private static final double ACCELERATOR_PENALTY = 3;

	/** Compensates for resource ratios that were learned too large. */
	private static final double OVERBOOKED_FRACTION = 0.05;

	/** Tasks of several cores leave a few cores unused on a worker of any size. */
	private static final double OVERBOOKED_CORES = 4;

	/**
	 * Bound for small workers, on which a fixed number of cores would slow tasks too
	 * much.
	 */
	private static final double MAX_OVERBOOKED_FRACTION = 0.3;

	/** Wait after which a task may overbook; tasks placed sooner slow down no others. */
	private static final long OVERBOOK_AFTER_NANOS = 10_000_000;

	/**
	 * Multiplied by the load, so that workers with free capacity are usually preferred.
	 */
	private static final double OVERBOOKING_PENALTY = 1;

	/**
	 * Time since the end of the ejection after which any task may serve as a probe, not
	 * only the first attempt of an idempotent one.
	 */
	private static final long PROBE_WAIT_NANOS = 2_000_000_000L;

	private final RandomGenerator random;

	UpstreamSelector(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Selects an upstream.
	 * @param task the task
	 * @param excluded an upstream that must not be selected, null for none
	 * @param nowNanos the current time
	 * @return the upstream, null if the task should wait
	 */
	UpstreamEntity select(TaskEntity task, UpstreamEntity excluded, long nowNanos) {
		PoolEntity pool = task.pool;
		int availableCount = pool.available.size();
		if (availableCount == 0) {
			return null;
		}
		int sample = Math.min(availableCount, pool.isWorkers() ? WORKER_SAMPLE_SIZE : RUNNER_SAMPLE_SIZE);
		int first = this.random.nextInt(availableCount);
		int step = (sample == availableCount) ? 1 : 1 + this.random.nextInt(availableCount / sample);
		UpstreamEntity best = null;
		double bestScore = Double.POSITIVE_INFINITY;
		for (int i = 0; i < sample; i++) {
			UpstreamEntity upstream = pool.available.get((first + i * step) % availableCount);
			double score = (upstream != excluded) ? score(task, upstream, nowNanos) : Double.POSITIVE_INFINITY;
			if (score < bestScore) {
				best = upstream;
				bestScore = score;
			}
		}
		return best;
	}

	private double score(TaskEntity task, UpstreamEntity upstream, long nowNanos) {
		if (upstream.health == UpstreamEntity.Health.PROBATION) {
			return probeScore(task, upstream, nowNanos);
		}
		if (task.pool.isWorkers() && !fits(task, upstream, nowNanos)) {
			return Double.POSITIVE_INFINITY;
		}
		double slowness = upstream.slowness(task.route);
		if (slowness > MAX_IMMEDIATE_SLOWNESS && !isFasterThanWaiting(task, slowness, nowNanos)) {
			return Double.POSITIVE_INFINITY;
		}
		double score = slowness * (1 + LOAD_PENALTY * load(task.pool, upstream) + upstream.failureRate);
		if (upstream == task.avoidedUpstream) {
			score = 1000 * score;
		}
		return task.pool.isWorkers() ? slowness * placementPenalty(task, upstream) : score;
	}

	private static double probeScore(TaskEntity task, UpstreamEntity upstream, long nowNanos) {
		boolean mayFail = task.request.idempotent() && task.attempts == 0;
		boolean probeOverdue = nowNanos - upstream.healthChangesAt > PROBE_WAIT_NANOS;
		boolean fits = !task.pool.isWorkers() || fits(task, upstream, nowNanos);
		return (fits && (mayFail || probeOverdue)) ? 0 : Double.POSITIVE_INFINITY;
	}

	/**
	 * Tests whether running at a slow upstream now is faster than waiting for one of
	 * average speed.
	 * @param task the task
	 * @param slowness the run time relative to the pool's mean
	 * @param nowNanos the current time
	 * @return true if the time lost by running there is at most the time that the task
	 * has waited or is expected to wait
	 */
	private static boolean isFasterThanWaiting(TaskEntity task, double slowness, long nowNanos) {
		double loss = (slowness - 1) * task.route.meanRunNanos();
		return loss <= Math.max(nowNanos - task.queuedAt, task.pool.expectedWait());
	}

	private static double load(PoolEntity pool, UpstreamEntity upstream) {
		if (!pool.isWorkers()) {
			return (double) upstream.inFlight / Math.max(1, upstream.limit);
		}
		return dominantShare(upstream.inUse(), upstream.share);
	}

	private static double placementPenalty(TaskEntity task, UpstreamEntity upstream) {
		double free = 1 - load(task.pool, upstream);
		double loadPenalty = (task.pool.queuedTasks > 1) ? FREE_CAPACITY_PENALTY * free : LOAD_PENALTY * (1 - free);
		if (!booking(task, upstream).plus(upstream.inUse()).isWithin(upstream.share)) {
			loadPenalty = OVERBOOKING_PENALTY * (1 - free);
		}
		double penalty = 1 + upstream.failureRate + loadPenalty;
		if (task.avoidedUpstream != null && task.avoidedUpstream.row.rack().equals(upstream.row.rack())) {
			penalty *= RACK_PENALTY;
		}
		if (task.request.resources().accelerators() == 0 && upstream.row.resources().accelerators() > 0) {
			penalty *= ACCELERATOR_PENALTY;
		}
		return penalty;
	}

	static boolean fits(TaskEntity task, UpstreamEntity upstream, long nowNanos) {
		PoolEntity pool = task.pool;
		if (pool.reservedWorker == upstream && pool.reservedFor != task) {
			return false;
		}
		Resources booking = booking(task, upstream);
		Resources used = upstream.inUse();
		if (booking.plus(used).isWithin(bookable(task, upstream, nowNanos))) {
			return true;
		}
		boolean isLarge = !booking.isWithin(upstream.share);
		return isLarge && upstream.placesLargeTasks && upstream.inFlight == 0
				&& task.request.resources().isWithin(upstream.row.resources());
	}

	/**
	 * Returns the resources that may be booked at a worker: this host's share, and for a
	 * task that has waited also more cores than exist, to use the capacity that tasks of
	 * several cores leave free. Memory is never overbooked: a shortage of cores slows
	 * tasks down, but a shortage of memory makes them fail.
	 * @param task the task
	 * @param upstream the worker
	 * @param nowNanos the current time
	 * @return the maximum resources to book
	 */
	private static Resources bookable(TaskEntity task, UpstreamEntity upstream, long nowNanos) {
		Resources share = upstream.share;
		if (nowNanos - task.queuedAt < OVERBOOK_AFTER_NANOS) {
			return share;
		}
		double extra = OVERBOOKED_FRACTION + OVERBOOKED_CORES / Math.max(1, upstream.row.resources().cores());
		return new Resources(share.cores() * (1 + Math.min(MAX_OVERBOOKED_FRACTION, extra)), share.memoryMb(),
				share.accelerators());
	}

	/**
	 * Returns the resources that a task is expected to use: the declared ones times the
	 * ratios learned for its route, at most the capacity of the worker.
	 * @param task the task
	 * @param upstream the worker
	 * @return the resources to book
	 */
	static Resources booking(TaskEntity task, UpstreamEntity upstream) {
		Resources declared = task.request.resources();
		Resources capacity = upstream.row.resources();
		return new Resources(Math.min(capacity.cores(), declared.cores() * task.route.coresRatio),
				Math.min(capacity.memoryMb(), Math.round(declared.memoryMb() * task.route.memoryRatio)),
				declared.accelerators());
	}

	/**
	 * Returns the dominant share of an amount: the largest of its fractions of the cores,
	 * memory and accelerators.
	 * @param amount the amount
	 * @param capacity the capacity
	 * @return the fraction, 0 if the capacity is empty
	 */
	static double dominantShare(Resources amount, Resources capacity) {
		double cores = (capacity.cores() > 0) ? amount.cores() / capacity.cores() : 0;
		double memory = (capacity.memoryMb() > 0) ? (double) amount.memoryMb() / capacity.memoryMb() : 0;
		double accelerators = (capacity.accelerators() > 0) ? (double) amount.accelerators() / capacity.accelerators()
				: 0;
		return Math.max(cores, Math.max(memory, accelerators));
	}

}
