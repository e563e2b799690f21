package org.limpetgate.dispatch;

import org.limpetgate.Resources;

/**
 * Learns from the usage reports of workers how the resources that tasks use differ from
 * the declared ones.
 * <p>
 * A report covers all tasks of a worker and arrives late, so it does not show the usage
 * of a single task. Each report moves the ratios of the routes that ran there a small
 * step towards values that explain it (normalised least mean squares); the remaining
 * difference is kept per worker as an excess. Workers shared with other hosts are left
 * out, since their reports cover the tasks of all hosts.
 */
final class UsageSystem {

	private static final double STEP_SIZE = 0.1;

	/** Smallest share of a worker at which its reports count as this host's usage. */
	private static final double MIN_OWN_FRACTION = 0.99;

	private static final double MIN_RATIO = 0.1;

	private static final double MAX_RATIO = 10;

	private static final double EXCESS_SMOOTHING = 0.1;

	/**
	 * Records the current bookings, for comparison with usage sampled at this time.
	 * @param pool the pool
	 * @param nowNanos the current time
	 */
	void recordBookings(PoolEntity pool, long nowNanos) {
		for (UpstreamEntity worker : pool.upstreams) {
			if (worker.limit > 0) {
				worker.bookingHistory[worker.nextBooking++ % worker.bookingHistory.length] = new Booking(nowNanos,
						worker.declared.clone(), worker.booked);
			}
		}
	}

	void usageReported(PoolEntity pool, UpstreamEntity worker, Resources used, long sampledNanos) {
		Booking booking = bookingAt(worker, sampledNanos);
		double ownFraction = worker.share.cores() / Math.max(1, worker.row.resources().cores());
		if (booking == null || ownFraction < MIN_OWN_FRACTION) {
			return;
		}
		learn(pool, booking.declared, used);
		worker.excessCores += EXCESS_SMOOTHING * (used.cores() - booking.booked.cores() - worker.excessCores);
		worker.excessMemoryMb += EXCESS_SMOOTHING
				* (used.memoryMb() - booking.booked.memoryMb() - worker.excessMemoryMb);
	}

	private static Booking bookingAt(UpstreamEntity worker, long sampledNanos) {
		Booking closest = null;
		for (Booking booking : worker.bookingHistory) {
			if (booking != null && (closest == null
					|| Math.abs(booking.recordedAt - sampledNanos) < Math.abs(closest.recordedAt - sampledNanos))) {
				closest = booking;
			}
		}
		return closest;
	}

	private static void learn(PoolEntity pool, Resources[] declaredByRoute, Resources used) {
		double cores = 0;
		double memory = 0;
		double coresSquare = 0;
		double memorySquare = 0;
		for (RouteEntity route : pool.routes.values()) {
			Resources declared = declared(declaredByRoute, route);
			cores += declared.cores() * route.coresRatio;
			memory += declared.memoryMb() * route.memoryRatio;
			coresSquare += declared.cores() * declared.cores();
			memorySquare += (double) declared.memoryMb() * declared.memoryMb();
		}
		for (RouteEntity route : pool.routes.values()) {
			Resources declared = declared(declaredByRoute, route);
			if (declared.cores() > 0) {
				double step = STEP_SIZE * (used.cores() - cores) * declared.cores() / coresSquare;
				route.coresRatio = clamp(route.coresRatio + step);
			}
			if (declared.memoryMb() > 0) {
				double step = STEP_SIZE * (used.memoryMb() - memory) * declared.memoryMb() / memorySquare;
				route.memoryRatio = clamp(route.memoryRatio + step);
			}
		}
	}

	private static Resources declared(Resources[] declaredByRoute, RouteEntity route) {
		return (route.index < declaredByRoute.length) ? declaredByRoute[route.index] : Resources.NONE;
	}

	private static double clamp(double ratio) {
		return Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio));
	}

	/**
	 * The resources of this host's tasks at a worker at one time.
	 *
	 * @param recordedAt the time at which they were recorded, in nanoseconds
	 * @param declared the declared resources, by route index
	 * @param booked the booked resources
	 */
	record Booking(long recordedAt, Resources[] declared, Resources booked) {
	}

}
