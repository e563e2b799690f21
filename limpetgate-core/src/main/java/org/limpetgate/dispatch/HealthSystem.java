package org.limpetgate.dispatch;

import java.util.random.RandomGenerator;

import org.limpetgate.Outcome;

/**
 * Outlier detection: ejects upstreams that fail, hang or are far slower than the pool,
 * and restores them after a probation.
 * <p>
 * A failure counts less against an upstream if its job has also failed at others. Part of
 * the pool is never ejected: if most upstreams fail, the cause is probably the tasks or
 * the network, and the remaining upstreams could not carry the load.
 */
final class HealthSystem {

	/**
	 * Consecutive failures at which an upstream is ejected; one or two happen by chance
	 * in a healthy pool.
	 */
	private static final double FAILURE_STREAK_THRESHOLD = 3;

	private static final double MAX_FAILURE_RATE = 0.4;

	private static final int MIN_COUNTED_ATTEMPTS = 10;

	private static final double FAILURE_RATE_SMOOTHING = 0.1;

	/** Slowness, relative to the pool's mean, above which an upstream is ejected. */
	private static final double MAX_SLOWNESS = 4;

	private static final int OVERDUE_THRESHOLD = 2;

	private static final int REQUIRED_PROBES = 3;

	private static final long FIRST_EJECTION_NANOS = 1_000_000_000L;

	private static final int MAX_DOUBLINGS = 5;

	/** Time since the last restoration after which the backoff starts again. */
	private static final long EJECTION_RESET_NANOS = 60_000_000_000L;

	private final DispatchSettings settings;

	private final RandomGenerator random;

	HealthSystem(DispatchSettings settings, RandomGenerator random) {
		this.settings = settings;
		this.random = random;
	}

	void completed(PoolEntity pool, AttemptEntity attempt, long nowNanos) {
		UpstreamEntity upstream = attempt.upstream;
		upstream.lastCompletedAt = nowNanos;
		upstream.failureStreak = 0;
		updateFailureRate(upstream, 0);
		attempt.task.job.succeeded();
		if (upstream.health == UpstreamEntity.Health.PROBATION && attempt.probe) {
			upstream.probesPassed++;
			if (upstream.probesPassed >= REQUIRED_PROBES) {
				restore(pool, upstream, nowNanos);
			}
		}
		else if (upstream.health == UpstreamEntity.Health.GOOD && upstream.samples() >= MIN_COUNTED_ATTEMPTS
				&& upstream.slowness() > MAX_SLOWNESS) {
			eject(pool, upstream, nowNanos);
		}
	}

	/**
	 * Counts an attempt that did not complete.
	 * @param pool the pool
	 * @param attempt the attempt
	 * @param result its result
	 * @param nowNanos the current time
	 */
	void failed(PoolEntity pool, AttemptEntity attempt, AttemptResult result, long nowNanos) {
		UpstreamEntity upstream = attempt.upstream;
		boolean aborted = attempt.task.ended && !attempt.overdue;
		boolean startedBeforeEjection = upstream.health != UpstreamEntity.Health.GOOD && !attempt.probe;
		if (result.leaving() || aborted || startedBeforeEjection) {
			return;
		}
		boolean notRun = result.outcome() == Outcome.NOT_RUN;
		double blame = notRun ? 1 : attempt.task.job.failed(upstream, nowNanos);
		upstream.lastFailedAt = nowNanos;
		upstream.failureStreak += attempt.task.ended ? blame / 2 : blame;
		updateFailureRate(upstream, blame);
		boolean isOutlier = upstream.failureStreak >= FAILURE_STREAK_THRESHOLD
				|| (upstream.attemptsCounted >= MIN_COUNTED_ATTEMPTS && upstream.failureRate > MAX_FAILURE_RATE);
		if (upstream.health == UpstreamEntity.Health.PROBATION || isOutlier) {
			eject(pool, upstream, nowNanos);
		}
	}

	/**
	 * Ejects an upstream that has several overdue attempts and has completed none since
	 * the given one started.
	 * @param pool the pool
	 * @param attempt the attempt that has become overdue
	 * @param nowNanos the current time
	 */
	void overdue(PoolEntity pool, AttemptEntity attempt, long nowNanos) {
		UpstreamEntity upstream = attempt.upstream;
		if (upstream.overdueAttempts >= OVERDUE_THRESHOLD && upstream.lastCompletedAt < attempt.startedAt) {
			eject(pool, upstream, nowNanos);
		}
	}

	private static void updateFailureRate(UpstreamEntity upstream, double failure) {
		upstream.attemptsCounted++;
		upstream.failureRate += FAILURE_RATE_SMOOTHING * (failure - upstream.failureRate);
	}

	private void eject(PoolEntity pool, UpstreamEntity upstream, long nowNanos) {
		boolean failedProbe = upstream.health == UpstreamEntity.Health.PROBATION;
		if (upstream.health == UpstreamEntity.Health.EJECTED || (!failedProbe && !mayEject(pool))) {
			return;
		}
		if (!failedProbe && nowNanos - upstream.healthChangesAt > EJECTION_RESET_NANOS) {
			upstream.ejections = 0;
		}
		pool.ejected += failedProbe ? 0 : 1;
		upstream.health = UpstreamEntity.Health.EJECTED;
		long duration = FIRST_EJECTION_NANOS << Math.min(MAX_DOUBLINGS, upstream.ejections);
		upstream.ejections++;
		upstream.healthChangesAt = nowNanos + duration + this.random.nextLong(duration / 4);
		pool.updateAvailable(upstream);
		pool.updateCapacity();
	}

	private boolean mayEject(PoolEntity pool) {
		int listed = 0;
		int ejected = 0;
		for (UpstreamEntity upstream : pool.upstreams) {
			if (upstream.isListed()) {
				listed++;
				ejected += (upstream.health != UpstreamEntity.Health.GOOD) ? 1 : 0;
			}
		}
		return (listed - ejected - 1) * 100 >= listed * this.settings.minHealthyPercent();
	}

	private static void restore(PoolEntity pool, UpstreamEntity upstream, long nowNanos) {
		upstream.health = UpstreamEntity.Health.GOOD;
		upstream.healthChangesAt = nowNanos;
		upstream.failureStreak = 0;
		upstream.failureRate = 0;
		upstream.attemptsCounted = 0;
		pool.ejected--;
		pool.updateAvailable(upstream);
		pool.updateCapacity();
	}

	void startProbations(PoolEntity pool, long nowNanos) {
		for (UpstreamEntity upstream : pool.upstreams) {
			if (upstream.health == UpstreamEntity.Health.EJECTED && nowNanos >= upstream.healthChangesAt) {
				upstream.health = UpstreamEntity.Health.PROBATION;
				upstream.probesPassed = 0;
				upstream.resetSlowness();
				pool.updateAvailable(upstream);
			}
		}
	}

}
