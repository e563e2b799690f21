package org.limpetgate.scheduling;

import java.util.Arrays;

/**
 * When the present runs are expected to release their capacity, for an estimate of the
 * start of a waiting task from the number of tasks before it.
 * <p>
 * Immutable and thread-safe.
 */
final class ReleaseTimes {

	private final long[] endsNanos;

	private final long nowNanos;

	ReleaseTimes(long[] endsNanos, long nowNanos) {
		this.endsNanos = endsNanos.clone();
		this.nowNanos = nowNanos;
		Arrays.sort(this.endsNanos);
	}

	/**
	 * Returns when a waiting task is expected to start. Each run that ends makes room for
	 * one task, which takes as long as the longest of the present runs.
	 * @param tasksAhead the number of waiting tasks that start before it
	 * @return the time, nanoseconds since the Unix epoch
	 */
	long startNanos(int tasksAhead) {
		if (this.endsNanos.length == 0) {
			return this.nowNanos;
		}
		long roundNanos = this.endsNanos[this.endsNanos.length - 1] - this.nowNanos;
		long rounds = tasksAhead / this.endsNanos.length;
		return this.endsNanos[tasksAhead % this.endsNanos.length] + rounds * roundNanos;
	}

}
