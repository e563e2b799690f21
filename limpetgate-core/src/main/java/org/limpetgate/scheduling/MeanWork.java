package org.limpetgate.scheduling;

/**
 * The mean work of the jobs that arrived, with more weight on the latest ones. It is the
 * scale to which the work of a job is compared. Not thread-safe.
 */
final class MeanWork {

	/**
	 * Limits the weight of earlier jobs. Large enough that a few large jobs do not change
	 * the scale.
	 */
	private static final int MAX_WEIGHT = 1000;

	private double mean;

	private int weight;

	/**
	 * Adds a job.
	 * @param work its work in core seconds, at least 0
	 */
	void add(double work) {
		this.weight = Math.min(MAX_WEIGHT, this.weight + 1);
		this.mean += (work - this.mean) / this.weight;
	}

	/**
	 * Returns the mean.
	 * @return the mean in core seconds, 0 before the first job
	 */
	double value() {
		return this.mean;
	}

}
