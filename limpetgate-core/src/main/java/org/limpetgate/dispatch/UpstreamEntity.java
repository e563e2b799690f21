package org.limpetgate.dispatch;

import java.util.Arrays;

import org.limpetgate.Resources;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.Upstream;

/**
 * An upstream of the own data centre. Times are in nanoseconds.
 */
final class UpstreamEntity {

	private static final double MAX_LOG_RATIO = Math.log(8);

	private static final double SMOOTHING = 0.1;

	/** The weight of the upstream's own factor against the one by route, in samples. */
	private static final int PRIOR_SAMPLES = 5;

	private static final int MAX_ROUTE_SAMPLES = 50;

	private static final int BOOKING_HISTORY_SIZE = 20;

	final UpstreamId id;

	Upstream row;

	/** The most attempts that this host may have in flight here. */
	int limit;

	int inFlight;

	/** What this host may use of a worker. */
	Resources share = Resources.NONE;

	/** Whether this host places the tasks that are larger than any share. */
	boolean placesLargeTasks;

	/** What the attempts in flight hold at a worker. */
	Resources booked = Resources.NONE;

	/** How much more a worker's reports show in use than is booked, smoothed. */
	double excessCores;

	double excessMemoryMb;

	/** What the attempts in flight were declared to need, by route index. */
	Resources[] declared = new Resources[0];

	/**
	 * The last bookings, one per system interval; reports are up to some seconds late.
	 */
	final UsageSystem.Booking[] bookingHistory = new UsageSystem.Booking[BOOKING_HISTORY_SIZE];

	int nextBooking;

	boolean leaving;

	/** Whether the configuration lists the upstream. */
	boolean listed;

	/** Position in the pool's list of open upstreams, -1 if it is not in it. */
	int availableIndex = -1;

	Health health = Health.GOOD;

	/** Failures since the last success, weighted by the upstream's part in them. */
	double failureStreak;

	/** The part of recent attempts that failed, between 0 and 1. */
	double failureRate;

	int attemptsCounted;

	/** Successes in probation. */
	int probesPassed;

	/** Ejections in a row; each doubles the next one's duration. */
	int ejections;

	long healthChangesAt;

	long lastCompletedAt;

	long lastFailedAt;

	/** Attempts in flight that run far longer than expected. */
	int overdueAttempts;

	private double logSlowness;

	private int samples;

	private boolean sampledSinceDecay;

	/** By route index, the logarithm of the factor and the number of samples. */
	private float[] slownessByRoute = new float[0];

	UpstreamEntity(Upstream row) {
		this.id = row.id();
		this.row = row;
	}

	boolean isListed() {
		return this.listed && !this.leaving;
	}

	boolean isAvailable() {
		return isListed() && this.inFlight < effectiveLimit();
	}

	/**
	 * Returns the limit after a failure: it is halved for each failure in a row, so that
	 * an upstream that fails at once does not draw much work before it is ejected.
	 * @return the most attempts in flight
	 */
	int effectiveLimit() {
		return switch (this.health) {
			case EJECTED -> 0;
			case PROBATION -> Math.min(1, this.limit);
			case GOOD -> (this.failureStreak < 1) ? this.limit
					: Math.min(this.limit, Math.max(1, this.limit >> (int) this.failureStreak));
		};
	}

	void learn(RouteEntity route, double ratio) {
		double log = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, Math.log(ratio)));
		this.samples++;
		this.sampledSinceDecay = true;
		this.logSlowness += Math.max(SMOOTHING, 1.0 / (this.samples + 2)) * (log - this.logSlowness);
		int offset = 2 * route.index;
		if (offset >= this.slownessByRoute.length) {
			this.slownessByRoute = Arrays.copyOf(this.slownessByRoute, offset + 8);
		}
		float count = Math.min(MAX_ROUTE_SAMPLES, this.slownessByRoute[offset + 1] + 1);
		this.slownessByRoute[offset + 1] = count;
		this.slownessByRoute[offset] += (float) (Math.max(SMOOTHING, 1.0 / count)
				* (log - this.slownessByRoute[offset]));
	}

	/**
	 * Moves the learned factor towards 1 and the failure rate towards 0 if there was no
	 * sample since the last call, so that an upstream that is avoided is tried again.
	 * @param factor the part that remains
	 */
	void decay(double factor) {
		if (!this.sampledSinceDecay) {
			this.logSlowness *= factor;
			this.failureRate *= factor;
			for (int i = 0; i < this.slownessByRoute.length; i += 2) {
				this.slownessByRoute[i] *= (float) factor;
			}
		}
		this.sampledSinceDecay = false;
	}

	/**
	 * Returns the logarithm of the run time here relative to the mean of the pool.
	 * @param route the route
	 * @return the logarithm, 0 if nothing is known
	 */
	double logSlowness(RouteEntity route) {
		int offset = 2 * route.index;
		if (offset >= this.slownessByRoute.length) {
			return this.logSlowness;
		}
		float count = this.slownessByRoute[offset + 1];
		return (count * this.slownessByRoute[offset] + PRIOR_SAMPLES * this.logSlowness) / (count + PRIOR_SAMPLES);
	}

	double slowness(RouteEntity route) {
		return Math.exp(logSlowness(route));
	}

	double slowness() {
		return Math.exp(this.logSlowness);
	}

	int samples() {
		return this.samples;
	}

	void resetSlowness() {
		this.logSlowness = 0;
		this.samples = 0;
		this.slownessByRoute = new float[0];
	}

	/**
	 * Returns what is in use as far as is known.
	 * @return what is booked, and what the worker reported beyond it
	 */
	Resources inUse() {
		return new Resources(this.booked.cores() + Math.max(0, this.excessCores),
				this.booked.memoryMb() + Math.max(0, Math.round(this.excessMemoryMb)), this.booked.accelerators());
	}

	void updateDeclared(RouteEntity route, Resources resources, boolean started) {
		if (route.index >= this.declared.length) {
			int known = this.declared.length;
			this.declared = Arrays.copyOf(this.declared, route.index + 4);
			Arrays.fill(this.declared, known, this.declared.length, Resources.NONE);
		}
		Resources before = this.declared[route.index];
		this.declared[route.index] = started ? before.plus(resources) : before.minus(resources);
	}

	/**
	 * The stages of outlier ejection.
	 */
	enum Health {

		/** Takes work. */
		GOOD,

		/** Takes no work. */
		EJECTED,

		/** Takes one attempt at a time, to see whether it has recovered. */
		PROBATION

	}

}
