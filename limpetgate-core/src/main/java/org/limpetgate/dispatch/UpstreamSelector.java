package org.limpetgate.dispatch;

import java.util.random.RandomGenerator;

import org.limpetgate.Resources;

/**
 * The choice of an upstream for a task: the shortest expected run time out of a sample of
 * the upstreams that may take an attempt.
 * <p>
 * The sample has a fixed size, so the cost of a choice does not grow with the pool.
 */
final class UpstreamSelector {

	/** Enough to find one of the fastest fifth with a probability of five sixths. */
	private static final int RUNNER_SAMPLE = 8;

	/** Workers can be too full for a task, so more of them are looked at. */
	private static final int WORKER_SAMPLE = 24;

	/** Run time relative to the pool up to which an upstream is used without waiting. */
	private static final double MAX_IMMEDIATE_SLOWNESS = 2;

	private static final double LOAD_PENALTY = 0.3;

	/** While work waits, small gaps are filled first, so that large ones remain. */
	private static final double FREE_CAPACITY_PENALTY = 1;

	private static final double RACK_PENALTY = 1.5;

	private static final double ACCELERATOR_PENALTY = 3;

	/** Makes up for factors that were learned too large. */
	private static final double OVERBOOKED_FRACTION = 0.05;

	/** A gap is a few cores wide, whatever the size of the worker. */
	private static final double OVERBOOKED_CORES = 4;

	/** Small workers would slow down too much with a fixed number of cores. */
	private static final double MAX_OVERBOOKED_FRACTION = 0.3;

	/** Work that finds room within a few milliseconds slows down no other task. */
	private static final long OVERBOOK_AFTER_NANOS = 10_000_000;

	/** A worker is overbooked only if the task fits nowhere in the sample. */
	private static final double OVERBOOKING_PENALTY = 1;

	/** A probe is tried on a task that cannot be attempted again after this time. */
	private static final long PROBE_WAIT_NANOS = 2_000_000_000L;

	private final RandomGenerator random;

	UpstreamSelector(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Chooses an upstream.
	 * @param task the task
	 * @param other an upstream that must not be chosen, null for none
	 * @param nowNanos the current time
	 * @return the upstream, null if the task should wait
	 */
	UpstreamEntity choose(TaskEntity task, UpstreamEntity excluded, long nowNanos) {
		PoolEntity pool = task.pool;
		int open = pool.available.size();
		if (open == 0) {
			return null;
		}
		int sample = Math.min(open, pool.isWorkers() ? WORKER_SAMPLE : RUNNER_SAMPLE);
		int from = this.random.nextInt(open);
		int step = (sample == open) ? 1 : 1 + this.random.nextInt(open / sample);
		UpstreamEntity best = null;
		double bestScore = Double.POSITIVE_INFINITY;
		for (int i = 0; i < sample; i++) {
			UpstreamEntity upstream = pool.available.get((from + i * step) % open);
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
	 * Tests whether running at a slow upstream now is faster than waiting for a usual
	 * one.
	 * @param task the task
	 * @param slowness the run time relative to the pool
	 * @param nowNanos the current time
	 * @return true if the task has waited, or would wait, as long as it loses by running
	 */
	private static boolean isFasterThanWaiting(TaskEntity task, double slowness, long nowNanos) {
		double loss = (slowness - 1) * task.route.mean();
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
		double byLoad = (task.pool.queuedTasks > 1) ? FREE_CAPACITY_PENALTY * free : LOAD_PENALTY * (1 - free);
		if (!booking(task, upstream).plus(upstream.inUse()).isWithin(upstream.share)) {
			byLoad = OVERBOOKING_PENALTY * (1 - free);
		}
		double penalty = 1 + upstream.failureRate + byLoad;
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
	 * Returns what may be booked at a worker: its share, and for a task that has waited,
	 * more cores than there are, so that the gaps that tasks of several cores leave are
	 * filled. Tasks slow down when cores are short, but fail when memory is.
	 * @param task the task
	 * @param upstream the worker
	 * @param nowNanos the current time
	 * @return the most resources to book
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
	 * Returns what a task is expected to use: the declared size corrected by what the
	 * route's tasks used before, and no more than the worker has.
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
	 * Returns the largest part of a capacity that an amount takes.
	 * @param amount the amount
	 * @param capacity the capacity
	 * @return the part, 0 if the capacity is empty
	 */
	static double dominantShare(Resources amount, Resources capacity) {
		double cores = (capacity.cores() > 0) ? amount.cores() / capacity.cores() : 0;
		double memory = (capacity.memoryMb() > 0) ? (double) amount.memoryMb() / capacity.memoryMb() : 0;
		double accelerators = (capacity.accelerators() > 0) ? (double) amount.accelerators() / capacity.accelerators()
				: 0;
		return Math.max(cores, Math.max(memory, accelerators));
	}

}
