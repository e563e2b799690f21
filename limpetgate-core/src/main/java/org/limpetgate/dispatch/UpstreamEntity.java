package org.limpetgate.dispatch;

import java.util.Arrays;

import org.limpetgate.Resources;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.Upstream;

/**
 * An upstream in the local data centre. Times are in nanoseconds.
 */
final class UpstreamEntity {

	private static final double MAX_LOG_RATIO = Math.log(8);

	private static final double SMOOTHING = 0.1;

	/** Weight of the upstream's overall slowness against the one by route, in samples. */
	private static final int PRIOR_SAMPLES = 5;

	private static final int MAX_ROUTE_SAMPLES = 50;

	private static final int BOOKING_HISTORY_SIZE = 20;

	final UpstreamId id;

	Upstream row;

	/** The maximum number of attempts in flight here from this host. */
	int limit;

	int inFlight;

	/** This host's share of a worker's resources. */
	Resources share = Resources.NONE;

	/** Whether this host places tasks here that are larger than any host's share. */
	boolean placesLargeTasks;

	/** Resources booked at a worker for the attempts in flight. */
	Resources booked = Resources.NONE;

	/** Smoothed excess of the usage that a worker reports over what is booked. */
	double excessCores;

	double excessMemoryMb;

	/** Declared resources of the attempts in flight, by route index. */
	Resources[] declared = new Resources[0];

	/**
	 * Ring buffer of bookings, one per update interval of the dispatcher, for comparison
	 * with usage reports, which arrive up to some seconds late.
	 */
	final UsageSystem.Booking[] bookingHistory = new UsageSystem.Booking[BOOKING_HISTORY_SIZE];

	int nextBooking;

	boolean leaving;

	/** Whether the configuration lists the upstream. */
	boolean listed;

	/** Index in the pool's list of available upstreams, -1 if it is not in the list. */
	int availableIndex = -1;

	Health health = Health.GOOD;

	/** Failures since the last success, each weighted by the upstream's blame. */
	double failureStreak;

	/** Smoothed failure rate of recent attempts, between 0 and 1. */
	double failureRate;

	int attemptsCounted;

	/** Probes completed in the current probation. */
	int probesPassed;

	/** Consecutive ejections; each doubles the duration of the next. */
	int ejections;

	/** When the current ejection ends, or when the upstream was restored. */
	long healthChangesAt;

	long lastCompletedAt;

	long lastFailedAt;

	/** Attempts in flight that have run far longer than expected. */
	int overdueAttempts;

	private double logSlowness;

	private int samples;

	private boolean sampledSinceDecay;

	/** Pairs by route index: logarithm of the slowness, and number of samples. */
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
	 * Returns the limit under the current health. It is halved for each consecutive
	 * failure, so that an upstream that fails immediately does not receive many tasks
	 * before it is ejected.
	 * @return the maximum number of attempts in flight
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
	 * Moves the learned slowness towards 1 and the failure rate towards 0 if there was no
	 * sample since the last call, so that an avoided upstream is selected again.
	 * @param factor the fraction that remains
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
	 * Returns the logarithm of the slowness: the run time here relative to the pool's
	 * mean.
	 * @param route the route
	 * @return the logarithm, 0 without samples
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
	 * Returns the estimated resources in use.
	 * @return the booked resources plus the excess that the worker reported
	 */
	Resources inUse() {
		return new Resources(this.booked.cores() + Math.max(0, this.excessCores),
				this.booked.memoryMb() + Math.max(0, Math.round(this.excessMemoryMb)), this.booked.accelerators());
	}

	void updateDeclared(RouteEntity route, Resources resources, boolean started) {
		if (route.index >= this.declared.length) {
			int oldLength = this.declared.length;
			this.declared = Arrays.copyOf(this.declared, route.index + 4);
			Arrays.fill(this.declared, oldLength, this.declared.length, Resources.NONE);
		}
		Resources before = this.declared[route.index];
		this.declared[route.index] = started ? before.plus(resources) : before.minus(resources);
	}

	/**
	 * The states of outlier ejection.
	 */
	enum Health {

		/** Receives tasks. */
		GOOD,

		/** Receives no tasks. */
		EJECTED,

		/** Receives one probe attempt at a time, to detect whether it has recovered. */
		PROBATION

	}

}
