package org.limpetgate.scheduling;

/**
 * A running geometric mean of a positive quantity, with more weight on later samples. Not
 * thread-safe.
 */
final class GeometricMean {

	/**
	 * Limits the weight of earlier samples, so that a change shows after a few new ones.
	 */
	private static final double MAX_WEIGHT = 8;

	/**
	 * Limits a sample of a worker's factor and its reciprocal, so that one straggler does
	 * not dominate the mean.
	 */
	private static final double MAX_FACTOR = 8;

	private final double maxLog;

	private double meanLog;

	private double weight;

	private GeometricMean(double maxLog) {
		this.maxLog = maxLog;
	}

	static GeometricMean ofFactor() {
		return new GeometricMean(Math.log(MAX_FACTOR));
	}

	static GeometricMean ofMillis() {
		return new GeometricMean(Double.MAX_VALUE);
	}

	void add(double sample) {
		double log = Math.max(-this.maxLog, Math.min(this.maxLog, Math.log(Math.max(1e-6, sample))));
		this.weight = Math.min(MAX_WEIGHT, this.weight + 1);
		this.meanLog += (log - this.meanLog) / this.weight;
	}

	// Returns the mean, weighted towards a prior while there are few samples.
	double value(double prior, double priorWeight) {
		double log = (this.meanLog * this.weight + Math.log(prior) * priorWeight) / (this.weight + priorWeight);
		return Math.exp(log);
	}

	double weight() {
		return this.weight;
	}

}
