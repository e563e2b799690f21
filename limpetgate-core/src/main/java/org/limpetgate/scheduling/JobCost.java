package org.limpetgate.scheduling;

/**
 * What it costs the caller of a job, and the operator, if the job ends late or is
 * refused. Pure; the unit of a cost is the value of a job of priority 0 that needs no
 * work.
 * <p>
 * The value of a job has a constant part and a part that grows with its work relative to
 * the mean job, so that neither large nor small jobs count as little. It is weighted by
 * the priority of the queue. An end within the objective costs nothing, a later one half
 * of the value as long as it is of use, and after that, like a refusal, the whole value.
 * <p>
 * Immutable and thread-safe.
 *
 * @param value the cost of a refusal, above 0
 * @param work the work that the job needs on workers of speed 1, in core seconds, above 0
 * @param objectiveEndNanos until when an end is on time, nanoseconds since the Unix epoch
 * @param usefulEndNanos until when an end is of use, nanoseconds since the Unix epoch
 */
record JobCost(double value, double work, long objectiveEndNanos, long usefulEndNanos) {

	/**
	 * The factor on the value for each level of higher priority. Equals the usual error
	 * of an estimate of work: a smaller factor would be lost in the errors, a larger one
	 * would let the priority decide between jobs of clearly different work.
	 */
	static final double PRIORITY_FACTOR = 1.5;

	/**
	 * The part of the value that a late answer loses: the mean over the late ends of a
	 * value that falls evenly from the objective to the end of use.
	 */
	static final double LATE_LOSS_SHARE = 0.5;

	/** Priorities beyond this count alike, so that no value becomes 0. */
	private static final int MAX_PRIORITY = 20;

	/** The least work of a job; avoids a division by 0. */
	private static final double MIN_WORK = 1e-6;

	/**
	 * Returns the cost of a job.
	 * @param terms the terms of its queue, not null
	 * @param arrivalNanos when it arrived, nanoseconds since the Unix epoch
	 * @param objectiveNanos the time from its arrival within which it is on time, in
	 * nanoseconds
	 * @param work the work that it needs on workers of speed 1, in core seconds
	 * @param meanWork the mean work of the jobs that arrive, in core seconds
	 * @return the cost, not null
	 */
	static JobCost of(QueueTerms terms, long arrivalNanos, long objectiveNanos, double work, double meanWork) {
		double weight = Math.pow(PRIORITY_FACTOR, -Math.max(0, Math.min(MAX_PRIORITY, terms.priority())));
		double positiveWork = Math.max(MIN_WORK, work);
		double value = weight * (1 + positiveWork / Math.max(MIN_WORK, meanWork));
		return new JobCost(value, positiveWork, arrivalNanos + objectiveNanos,
				arrivalNanos + QueueTerms.USEFUL_FACTOR * objectiveNanos);
	}

	/**
	 * Returns the cost of an end at a given time.
	 * @param endNanos when the job ends, nanoseconds since the Unix epoch
	 * @return the cost, between 0 and that of a refusal
	 */
	double ofEndAt(long endNanos) {
		if (endNanos <= this.objectiveEndNanos) {
			return 0;
		}
		return (endNanos <= this.usefulEndNanos) ? LATE_LOSS_SHARE * this.value : this.value;
	}

	/**
	 * Returns the cost of an end at a later time instead of an earlier one.
	 * @param fromNanos when the job would end, nanoseconds since the Unix epoch
	 * @param toNanos when it ends instead, nanoseconds since the Unix epoch
	 * @return the cost, at least 0 if the second time is the later one
	 */
	double ofDelay(long fromNanos, long toNanos) {
		return ofEndAt(toNanos) - ofEndAt(fromNanos);
	}

	/**
	 * Returns the cost of a refusal.
	 * @return the cost, above 0
	 */
	double ofRefusal() {
		return this.value;
	}

	/**
	 * Returns the cost of a refusal for each core second that the job needs.
	 * @return the cost, above 0
	 */
	double density() {
		return this.value / this.work;
	}

}
