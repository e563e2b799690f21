package org.limpetgate.dispatch;

import org.limpetgate.Resources;

/**
 * Learns from usage reports how far declared sizes are off.
 * <p>
 * A report covers all tasks of a worker and is late, so it does not tell the size of one
 * task. Each report moves the factors of the routes that run there a small step in the
 * direction that would have explained it; what the factors don't explain is kept per
 * worker as an excess. Workers that are shared with other hosts teach nothing, since the
 * reports cover the tasks of all hosts.
 */
final class UsageSystem {

	private static final double STEP_SIZE = 0.1;

	/** The share of a worker from which its reports count as the own tasks' usage. */
	private static final double MIN_OWN_FRACTION = 0.99;

	private static final double MIN_RATIO = 0.1;

	private static final double MAX_RATIO = 10;

	private static final double EXCESS_SMOOTHING = 0.1;

	/**
	 * Records what the own tasks hold now, for comparison with reports of this time.
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
		Booking best = null;
		for (Booking booking : worker.bookingHistory) {
			if (booking != null
					&& (best == null || Math.abs(booking.at - sampledNanos) < Math.abs(best.at - sampledNanos))) {
				best = booking;
			}
		}
		return best;
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
				route.coresRatio = bounded(route.coresRatio + step);
			}
			if (declared.memoryMb() > 0) {
				double step = STEP_SIZE * (used.memoryMb() - memory) * declared.memoryMb() / memorySquare;
				route.memoryRatio = bounded(route.memoryRatio + step);
			}
		}
	}

	private static Resources declared(Resources[] declaredByRoute, RouteEntity route) {
		return (route.index < declaredByRoute.length) ? declaredByRoute[route.index] : Resources.NONE;
	}

	private static double bounded(double ratio) {
		return Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio));
	}

	/**
	 * What the own tasks held at a worker at a time.
	 *
	 * @param at the time
	 * @param declared what they were declared to need, by route index
	 * @param booked what was booked for them
	 */
	record Booking(long at, Resources[] declared, Resources booked) {
	}

}
