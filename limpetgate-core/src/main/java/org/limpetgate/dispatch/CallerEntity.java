package org.limpetgate.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.limpetgate.CallerId;
import org.limpetgate.config.CallerQuota;

/**
 * The queued and running tasks of a caller in a pool. Times are in nanoseconds.
 */
final class CallerEntity {

	final CallerId id;

	CallerQuota quota;

	/** One queue per route that the caller has used. */
	final List<RouteQueue> routeQueues = new ArrayList<>();

	int queued;

	/** The expected slot time of the queued tasks. */
	double queuedCost;

	int inFlight;

	/** The virtual time of fair queueing: slot time used divided by the weight. */
	double virtualTime;

	/** Index in the pool's list of active callers, -1 while no task is queued. */
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
	 * The queued tasks of one caller and route, in order of arrival.
	 */
	static final class RouteQueue extends TaskQueue {

		final RouteEntity route;

		double queuedCost;

		/** The last dispatch round in which the head could not be placed. */
		long blockedRound;

		RouteQueue(RouteEntity route) {
			this.route = route;
		}

	}

}
