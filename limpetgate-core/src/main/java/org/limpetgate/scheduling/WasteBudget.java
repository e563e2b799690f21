package org.limpetgate.scheduling;

/**
 * A token bucket of the work that moves may waste, in core nanoseconds. Starts full and
 * takes its rate with each call, unlike {@link PreemptionBudget}. Not thread-safe.
 */
final class WasteBudget {

	private final double burstSeconds;

	private double available;

	private long refilledNanos;

	/**
	 * Creates a full budget.
	 * @param burstSeconds the time at the rate that can be used at once, in seconds
	 */
	WasteBudget(double burstSeconds) {
		this.burstSeconds = burstSeconds;
	}

	/**
	 * Takes an amount if it is available.
	 * @param coreNanos the work that is lost, in core nanoseconds
	 * @param rateCores the rate of the budget, in core seconds per second
	 * @param nowNanos the current time
	 * @return whether it was taken
	 */
	boolean tryTake(double coreNanos, double rateCores, long nowNanos) {
		double burst = this.burstSeconds * 1e9 * rateCores;
		this.available = (this.refilledNanos == 0) ? burst
				: Math.min(burst, this.available + rateCores * Math.max(0, nowNanos - this.refilledNanos));
		this.refilledNanos = nowNanos;
		if (coreNanos > this.available) {
			return false;
		}
		this.available -= coreNanos;
		return true;
	}

}
