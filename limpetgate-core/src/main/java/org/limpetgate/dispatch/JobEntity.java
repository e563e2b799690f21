package org.limpetgate.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * Recent results of a job, or of a route for requests without a job, used to distinguish
 * a job that fails at every upstream from an upstream that fails every task.
 */
final class JobEntity {

	private static final int MAX_FAILURES = 8;

	private static final int MAX_SUCCESSES = 8;

	/** Number of healthy upstreams at which a job must have failed to be at fault. */
	private static final int MIN_FAILED_UPSTREAMS = 3;

	private final List<Failure> failures = new ArrayList<>(2);

	private int successes;

	void succeeded() {
		this.successes = Math.min(MAX_SUCCESSES, this.successes + 1);
		if (!this.failures.isEmpty() && this.successes == MAX_SUCCESSES) {
			this.failures.remove(0);
		}
	}

	/**
	 * Records a failure and returns the upstream's share of the blame.
	 * @param upstream the upstream
	 * @param nowNanos the current time
	 * @return between 0 and 1; 1 if the job has failed at no other upstream
	 */
	double failed(UpstreamEntity upstream, long nowNanos) {
		int otherUpstreams = 0;
		boolean alreadyRecorded = false;
		for (Failure failure : this.failures) {
			alreadyRecorded |= failure.upstream == upstream;
			otherUpstreams += (failure.upstream != upstream) ? 1 : 0;
		}
		this.successes = Math.max(0, this.successes - 1);
		if (!alreadyRecorded && this.failures.size() < MAX_FAILURES) {
			this.failures.add(new Failure(upstream, nowNanos));
		}
		return 1 - otherUpstreams / (otherUpstreams + this.successes + 1.0);
	}

	/**
	 * Tests whether the job itself is at fault: it failed at several upstreams that have
	 * completed other tasks since, and has no recent success.
	 * @return true if the job is at fault
	 */
	boolean isAtFault() {
		int healthyUpstreams = 0;
		for (Failure failure : this.failures) {
			healthyUpstreams += (failure.upstream.lastCompletedAt > failure.failedAt) ? 1 : 0;
		}
		return this.successes == 0 && healthyUpstreams >= MIN_FAILED_UPSTREAMS;
	}

	/**
	 * The first recorded failure of the job at an upstream.
	 *
	 * @param upstream the upstream
	 * @param failedAt the time of the failure, in nanoseconds
	 */
	private record Failure(UpstreamEntity upstream, long failedAt) {
	}

}
