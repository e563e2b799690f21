package org.limpetgate.scheduling;

/**
 * A token bucket of the work that preemption may waste, in core seconds. Starts empty, so
 * that a change of the scheduler does not renew it. Not thread-safe.
 */
final class PreemptionBudget {

	/** The bucket holds the budget of this time, for bursts. */
	static final double BURST_SECONDS = 5;

	private final double coreSecondsPerSecond;

	private double available;

	private long updatedNanos;

	PreemptionBudget(double coreSecondsPerSecond) {
		this.coreSecondsPerSecond = coreSecondsPerSecond;
	}

	boolean isUnused() {
		return this.coreSecondsPerSecond <= 0;
	}

	// Returns the core seconds that may be wasted now.
	double available(long nowNanos) {
		if (this.updatedNanos > 0) {
			double refill = this.coreSecondsPerSecond * Math.max(0, nowNanos - this.updatedNanos) / 1e9;
			this.available = Math.min(BURST_SECONDS * this.coreSecondsPerSecond, this.available + refill);
		}
		this.updatedNanos = Math.max(this.updatedNanos, nowNanos);
		return this.available;
	}

	void spend(double coreSeconds) {
		this.available -= coreSeconds;
	}

}
