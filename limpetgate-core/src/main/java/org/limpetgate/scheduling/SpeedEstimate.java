package org.limpetgate.scheduling;

/**
 * A running estimate of a positive quantity, as the mean of its logarithm with more
 * weight on later samples. Not thread-safe.
 */
final class SpeedEstimate {

	/**
	 * Limits the weight of earlier samples, so that a change shows after a few new ones.
	 */
	private static final double MAX_WEIGHT = 8;

	/**
	 * Limits a sample of a worker's speed, so that a straggler does not hide the typical
	 * value.
	 */
	private static final double MAX_FACTOR = 8;

	private final double maxLog;

	private double meanLog;

	private double weight;

	private SpeedEstimate(double maxLog) {
		this.maxLog = maxLog;
	}

	static SpeedEstimate ofFactor() {
		return new SpeedEstimate(Math.log(MAX_FACTOR));
	}

	static SpeedEstimate ofMillis() {
		return new SpeedEstimate(Double.MAX_VALUE);
	}

	void add(double factor) {
		double log = Math.max(-this.maxLog, Math.min(this.maxLog, Math.log(Math.max(1e-6, factor))));
		this.weight = Math.min(MAX_WEIGHT, this.weight + 1);
		this.meanLog += (log - this.meanLog) / this.weight;
	}

	// Returns the estimate, weighted towards a prior while there are few samples.
	double value(double prior, double priorWeight) {
		double log = (this.meanLog * this.weight + Math.log(prior) * priorWeight) / (this.weight + priorWeight);
		return Math.exp(log);
	}

	double weight() {
		return this.weight;
	}

}
