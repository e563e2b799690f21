package org.limpetgate.scheduling;

import java.util.concurrent.TimeUnit;

import org.limpetgate.JobId;

/**
 * The speed of one worker: the factor on the expected duration of its runs, with its
 * spread, and whether it has turned slow.
 * <p>
 * An observation within the spread of the history is averaged into it. One far beyond, or
 * two beyond that agree and come from different jobs, show a change: the worker counts as
 * slow with the observed factor, while the history is kept for its recovery. The first
 * observation that is closer to the history than to the slow factor ends this.
 * <p>
 * The history is that of normal operation only; no observation of a slow worker changes
 * it. Durations are compared by their logarithms. Not thread-safe.
 */
final class WorkerSpeed {

	/** The spread of the durations of tasks that are compared with their estimates. */
	private static final double ESTIMATE_NOISE = 0.4;

	/** The spread of the durations of the tasks of one job. */
	private static final double SIBLING_NOISE = 0.35;

	/** An observation beyond this many spreads needs a second one that agrees. */
	private static final double WEAK_OUTLIER_SPREADS = 2.5;

	/**
	 * An observation beyond this many spreads shows a change by itself. High enough that
	 * a single task that takes several times its estimate does not make a worker slow.
	 */
	private static final double STRONG_OUTLIER_SPREADS = 4;

	/** Outliers whose logarithms differ by more do not agree. */
	private static final double MAX_DISAGREEMENT = 1.2;

	/** Limits the weight of the history, in runs, so that it follows gradual changes. */
	private static final double MAX_WEIGHT = 8;

	/** Limits the weight of the runs while the worker is slow, for the same reason. */
	private static final double MAX_SLOW_WEIGHT = 3;

	/** The weight of the factor that the labels suggest, in runs. */
	private static final double PRIOR_WEIGHT = 3;

	/** Limits a factor and its reciprocal. */
	private static final double MAX_LOG = Math.log(30);

	private static final long MIN_PROBE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	private static final long MAX_PROBE_DELAY_NANOS = TimeUnit.SECONDS.toNanos(5);

	/**
	 * A slow worker is tried again after this share of the time for which it has been
	 * slow, so that the number of probes grows with the logarithm of that time.
	 */
	private static final double PROBE_DELAY_SHARE = 0.15;

	/** Workers that turned slow within this time may have the same cause. */
	private static final long MAX_COMMON_START_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long MIN_COMMON_SLOW_NANOS = TimeUnit.SECONDS.toNanos(1);

	private double meanLog;

	private double variance = ESTIMATE_NOISE * ESTIMATE_NOISE;

	private double weight;

	private boolean slow;

	private double slowLog;

	private double slowWeight;

	private long slowSinceNanos;

	private long nextProbeNanos;

	private boolean probeHastened;

	private double outlierLog;

	/**
	 * The job of an outlier that no other one has confirmed yet, null if there is none.
	 */
	private JobId outlierJob;

	/**
	 * Returns the factor on the expected duration.
	 * @param prior the factor that its labels suggest
	 * @return the factor, above 1 for a slow worker
	 */
	double factor(double prior) {
		return Math.exp(this.slow ? this.slowLog : normalLog(prior));
	}

	/**
	 * Returns the factor while it is not slow.
	 * @param prior the factor that its labels suggest
	 * @return the factor
	 */
	double normalFactor(double prior) {
		return Math.exp(normalLog(prior));
	}

	private double normalLog(double prior) {
		return (this.meanLog * this.weight + Math.log(prior) * PRIOR_WEIGHT) / (this.weight + PRIOR_WEIGHT);
	}

	/**
	 * Returns the standard deviation of the logarithm of its factor. An outlier that is
	 * not confirmed yet makes the factor more uncertain.
	 * @return the deviation, smaller after more runs
	 */
	double spread() {
		double samples = this.slow ? this.slowWeight : this.weight + PRIOR_WEIGHT;
		double outlierDeviation = (this.outlierJob != null) ? (this.outlierLog - this.meanLog) / 2 : 0;
		return Math.sqrt(this.variance / samples + outlierDeviation * outlierDeviation);
	}

	boolean isUncertain() {
		return this.outlierJob != null;
	}

	boolean isSlow() {
		return this.slow;
	}

	/**
	 * Tests whether a slow worker is to be tried again with a short task.
	 * @param nowNanos the current time
	 * @return true if a probe is due
	 */
	boolean isProbeDue(long nowNanos) {
		return this.slow && nowNanos >= this.nextProbeNanos;
	}

	// Returns how long ago a probe became due.
	long probeOverdueNanos(long nowNanos) {
		return Math.max(0, nowNanos - this.nextProbeNanos);
	}

	/**
	 * Records the start of a run, which serves as a probe if the worker is slow.
	 * @param nowNanos the current time
	 */
	void runStarted(long nowNanos) {
		if (this.slow) {
			postponeProbe(nowNanos);
		}
	}

	private void postponeProbe(long nowNanos) {
		long delay = (long) (PROBE_DELAY_SHARE * (nowNanos - this.slowSinceNanos));
		this.probeHastened = false;
		this.nextProbeNanos = nowNanos + Math.max(MIN_PROBE_DELAY_NANOS, Math.min(MAX_PROBE_DELAY_NANOS, delay));
	}

	/**
	 * Requests a probe because another worker has recovered, if this one turned slow at
	 * about the same time, or was found to be slow later. A worker that was slow for a
	 * short time only says nothing, since a few long tasks may have made it look slow.
	 * @param recovered the other worker
	 * @param nowNanos the current time
	 */
	void hastenProbe(WorkerSpeed recovered, long nowNanos) {
		if (this.slow && this.slowSinceNanos >= recovered.slowSinceNanos - MAX_COMMON_START_NANOS
				&& nowNanos - recovered.slowSinceNanos >= MIN_COMMON_SLOW_NANOS) {
			this.nextProbeNanos = Math.min(this.nextProbeNanos, nowNanos);
			this.probeHastened = true;
		}
	}

	boolean isProbeHastened() {
		return this.probeHastened;
	}

	/** Forgets that it was slow, since its process has been replaced. */
	void reset() {
		this.slow = false;
		this.outlierJob = null;
	}

	/**
	 * Records an observation.
	 * @param observation the observation
	 * @param prior the factor that its labels suggest
	 * @param nowNanos the current time
	 * @return what it showed
	 */
	Finding observe(Observation observation, double prior, long nowNanos) {
		return this.slow ? observeSlow(observation, prior, nowNanos) : observeNormal(observation, prior, nowNanos);
	}

	private Finding observeSlow(Observation observation, double prior, long nowNanos) {
		double boundary = (normalLog(prior) + this.slowLog) / 2;
		if (observation.upperLog() < boundary) {
			this.slow = false;
			this.outlierJob = null;
			return Finding.RECOVERED;
		}
		if (observation.lowerLog() > boundary) {
			this.slowWeight = Math.min(MAX_SLOW_WEIGHT, this.slowWeight + 1);
			this.slowLog += (limit(observation.lowerLog()) - this.slowLog) / this.slowWeight;
		}
		return Finding.BEYOND;
	}

	private Finding observeNormal(Observation observation, double prior, long nowNanos) {
		double normal = normalLog(prior);
		double noise = observation.compared() ? SIBLING_NOISE : ESTIMATE_NOISE;
		double spread = Math.sqrt(noise * noise + this.variance / (this.weight + PRIOR_WEIGHT));
		double above = observation.lowerLog() - normal;
		double below = normal - observation.upperLog();
		if (Math.max(above, below) <= WEAK_OUTLIER_SPREADS * spread) {
			average(observation, normal);
			return Finding.NORMAL;
		}
		boolean turnsSlow = above > below;
		double outlierLog = limit(turnsSlow ? observation.lowerLog() : observation.upperLog());
		if (!turnsSlow && !observation.isExact()) {
			// The progress of a run that resumed a checkpoint looks fast at first.
			return Finding.BEYOND;
		}
		boolean strong = Math.max(above, below) > STRONG_OUTLIER_SPREADS * spread;
		if (!strong && !agrees(outlierLog, normal, observation.job())) {
			if (this.outlierJob == null || !this.outlierJob.equals(observation.job())) {
				this.outlierJob = observation.job();
				this.outlierLog = outlierLog;
			}
			return Finding.BEYOND;
		}
		this.outlierJob = null;
		if (turnsSlow) {
			this.slow = true;
			this.slowLog = outlierLog;
			this.slowWeight = 1;
			this.slowSinceNanos = nowNanos;
			postponeProbe(nowNanos);
			return Finding.TURNED_SLOW;
		}
		this.meanLog = outlierLog;
		this.weight = PRIOR_WEIGHT;
		return Finding.NORMAL;
	}

	private boolean agrees(double log, double normal, JobId job) {
		return this.outlierJob != null && !this.outlierJob.equals(job) && (log > normal) == (this.outlierLog > normal)
				&& Math.abs(log - this.outlierLog) <= MAX_DISAGREEMENT;
	}

	private void average(Observation observation, double normal) {
		if (!observation.isExact()) {
			return;
		}
		this.outlierJob = null;
		double log = limit(observation.lowerLog());
		double deviation = log - normal;
		this.weight = Math.min(MAX_WEIGHT, this.weight + 1);
		this.meanLog += (log - this.meanLog) / this.weight;
		this.variance += (deviation * deviation - this.variance) / MAX_WEIGHT;
	}

	private static double limit(double log) {
		return Math.max(-MAX_LOG, Math.min(MAX_LOG, log));
	}

	/** What an observation showed. */
	enum Finding {

		/**
		 * The worker is not slow; the observation was averaged or replaced the history.
		 */
		NORMAL,
		/** The worker is as slow or as normal as before; it may be an outlier. */
		BEYOND,
		/** The worker has turned slow. */
		TURNED_SLOW,
		/** The worker is no longer slow. */
		RECOVERED

	}

	/**
	 * Bounds of the ratio of the duration of a run to that expected on a worker of speed
	 * 1.
	 *
	 * @param lowerLog the logarithm of the lower bound
	 * @param upperLog the logarithm of the upper bound, equal to the lower one if the run
	 * has ended
	 * @param compared whether the ratio is relative to other runs of the same job on
	 * other workers
	 * @param job the job of the run
	 */
	record Observation(double lowerLog, double upperLog, boolean compared, JobId job) {

		/**
		 * Returns the observation of a run that has ended.
		 * @param ratio the ratio of its duration to the expected one
		 * @param compared whether the ratio is relative to other runs of the same job
		 * @param job the job of the run
		 * @return the observation
		 */
		static Observation ended(double ratio, boolean compared, JobId job) {
			double log = Math.log(Math.max(1e-6, ratio));
			return new Observation(log, log, compared, job);
		}

		boolean isExact() {
			return this.lowerLog == this.upperLog;
		}

	}

}
