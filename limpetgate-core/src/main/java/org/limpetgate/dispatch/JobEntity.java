package org.limpetgate.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * What is learned about a job, or about a route for the requests without a job, so that a
 * job that fails wherever it runs is told from an upstream that fails whatever it runs.
 */
final class JobEntity {

	private static final int MAX_FAILURES = 8;

	private static final int MAX_SUCCESSES = 8;

	/** Failures at this many healthy upstreams show that the job is at fault. */
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
	 * Records a failure and returns how much of it is the upstream's fault.
	 * @param upstream the upstream
	 * @param nowNanos the current time
	 * @return between 0 and 1; 1 if the job has failed at no other upstream
	 */
	double failed(UpstreamEntity upstream, long nowNanos) {
		int otherUpstreams = 0;
		boolean known = false;
		for (Failure failure : this.failures) {
			known |= failure.upstream == upstream;
			otherUpstreams += (failure.upstream != upstream) ? 1 : 0;
		}
		this.successes = Math.max(0, this.successes - 1);
		if (!known && this.failures.size() < MAX_FAILURES) {
			this.failures.add(new Failure(upstream, nowNanos));
		}
		return 1 - otherUpstreams / (otherUpstreams + this.successes + 1.0);
	}

	/**
	 * Tests whether the job fails wherever it runs: it failed at several upstreams that
	 * completed other work afterwards, and does not succeed.
	 * @return true if the job is at fault
	 */
	boolean isAtFault() {
		int healthyUpstreams = 0;
		for (Failure failure : this.failures) {
			healthyUpstreams += (failure.upstream.lastCompletedAt > failure.at) ? 1 : 0;
		}
		return this.successes == 0 && healthyUpstreams >= MIN_FAILED_UPSTREAMS;
	}

	/**
	 * A failure of the job.
	 *
	 * @param upstream where it failed first
	 * @param at the time of the failure
	 */
	private record Failure(UpstreamEntity upstream, long at) {
	}

}
