package org.limpetgate.dispatch;

import org.limpetgate.Resources;

/**
 * Learns from usage reports how far declared sizes are off.
 * <p>
 * A report covers all tasks of a worker and is late, so it does not tell the size of one
 * task. Each report moves the factors of the routes that run there a small step in the
 * direction that would have explained it; what the factors don't explain is kept per
 * worker as an excess.
 */
final class UsageSystem {

	private static final double STEP = 0.05;

	private static final double MIN_RATIO = 0.1;

	private static final double MAX_RATIO = 10;

	private static final double EXCESS_SMOOTHING = 0.1;

	void reported(PoolEntity pool, UpstreamEntity worker, Resources used) {
		Resources own = ownPart(worker, used);
		double cores = 0;
		double memory = 0;
		double coresSquare = 0;
		double memorySquare = 0;
		for (RouteEntity route : pool.routes.values()) {
			Resources declared = declared(worker, route);
			cores += declared.cores() * route.coresRatio;
			memory += declared.memoryMb() * route.memoryRatio;
			coresSquare += declared.cores() * declared.cores();
			memorySquare += (double) declared.memoryMb() * declared.memoryMb();
		}
		for (RouteEntity route : pool.routes.values()) {
			Resources declared = declared(worker, route);
			if (declared.cores() > 0) {
				double step = STEP * (own.cores() - cores) * declared.cores() / coresSquare;
				route.coresRatio = bounded(route.coresRatio + step);
			}
			if (declared.memoryMb() > 0) {
				double step = STEP * (own.memoryMb() - memory) * declared.memoryMb() / memorySquare;
				route.memoryRatio = bounded(route.memoryRatio + step);
			}
		}
		worker.excessCores += EXCESS_SMOOTHING * (own.cores() - worker.booked.cores() - worker.excessCores);
		worker.excessMemoryMb += EXCESS_SMOOTHING * (own.memoryMb() - worker.booked.memoryMb() - worker.excessMemoryMb);
	}

	/**
	 * Returns the part of a worker's usage that the own tasks are likely to cause: a
	 * report covers the tasks of all hosts, which use it in proportion to their shares.
	 * @param worker the worker
	 * @param used what all its tasks use
	 * @return the own part
	 */
	private static Resources ownPart(UpstreamEntity worker, Resources used) {
		double part = worker.share.cores() / Math.max(1, worker.row.resources().cores());
		return new Resources(used.cores() * part, Math.round(used.memoryMb() * part), 0);
	}

	private static Resources declared(UpstreamEntity worker, RouteEntity route) {
		return (route.index < worker.declared.length) ? worker.declared[route.index] : Resources.NONE;
	}

	private static double bounded(double ratio) {
		return Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio));
	}

}
