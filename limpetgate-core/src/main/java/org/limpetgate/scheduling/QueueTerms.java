package org.limpetgate.scheduling;

/**
 * The service objectives that the operators set for the jobs of one queue.
 * <p>
 * Immutable and thread-safe.
 *
 * @param priority the priority, 0 is the most urgent
 * @param attempts the number of failed runs of a task at which its job fails, at least 1
 * @param stretch the factor on the duration of the longest chain of tasks within which a
 * job is on time
 * @param allowanceNanos the time added to the stretched duration, in nanoseconds
 */
public record QueueTerms(int priority, int attempts, double stretch, long allowanceNanos) {

	/** A job that ends after this many times its objective is of no use to its caller. */
	public static final int USEFUL_FACTOR = 3;

	/**
	 * Returns the time within which a job is on time.
	 * @param workNanos the duration of its longest chain of tasks, in nanoseconds
	 * @return the time from the arrival of the job, in nanoseconds
	 */
	public long objectiveNanos(double workNanos) {
		return (long) (this.stretch * workNanos) + this.allowanceNanos;
	}

}
