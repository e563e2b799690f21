package org.limpetgate.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.limpetgate.CallerId;
import org.limpetgate.config.CallerQuota;

/**
 * The work of a caller in a pool.
 */
final class CallerEntity {

	final CallerId id;

	CallerQuota quota;

	/** One queue per route that the caller has used. */
	final List<RouteQueue> routeQueues = new ArrayList<>();

	int queued;

	/** The expected slot time of the waiting tasks, in nanoseconds. */
	double queuedCost;

	int inFlight;

	/** The slot time used so far divided by the weight, as fair queueing counts it. */
	double virtualTime;

	/** Position among the active callers of the pool, -1 while nothing waits. */
	int activeIndex = -1;

	CallerEntity(CallerQuota quota) {
		this.id = quota.caller();
		this.quota = quota;
	}

	RouteQueue routeQueue(RouteEntity route) {
		for (RouteQueue queue : this.routeQueues) {
			if (queue.route == route) {
				return queue;
			}
		}
		RouteQueue queue = new RouteQueue(route);
		this.routeQueues.add(queue);
		return queue;
	}

	/**
	 * The waiting tasks of one caller and route, in order of arrival.
	 */
	static final class RouteQueue extends TaskQueue {

		final RouteEntity route;

		double queuedCost;

		/** The dispatch round in which the head could not be placed. */
		long blockedRound;

		RouteQueue(RouteEntity route) {
			this.route = route;
		}

	}

}
