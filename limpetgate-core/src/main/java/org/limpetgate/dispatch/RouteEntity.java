package org.limpetgate.dispatch;

import org.limpetgate.RouteName;
import org.limpetgate.config.Route;

/**
 * The run times and resource usage learned for a route in a pool. Times are in
 * nanoseconds.
 */
final class RouteEntity {

	/** Expected run time before the first sample, within the typical 50 ms to 1 s. */
	private static final double INITIAL_RUN_NANOS = 300_000_000;

	/** Samples are clipped at this many means, to limit the effect of stragglers. */
	private static final double MAX_SAMPLE_MEANS = 8;

	private static final int UNCLIPPED_SAMPLES = 8;

	private static final double SMOOTHING = 0.02;

	final RouteName name;

	/** Index in the per-route arrays of the pool's upstreams. */
	final int index;

	/** The maximum number of attempts in flight. */
	int limit = Route.DEFAULT_IN_FLIGHT;

	int inFlight;

	/** The last dispatch round in which a task of the route fitted on no worker. */
	long blockedRound;

	/** The declared cores of that task; tasks with fewer cores may still fit. */
	double blockedCores;

	/** Ratio of used to declared cores, learned from the usage reports of workers. */
	double coresRatio = 1;

	/** Ratio of used to declared memory, learned in the same way. */
	double memoryRatio = 1;

	private double meanRunNanos = INITIAL_RUN_NANOS;

	private double deviationNanos = INITIAL_RUN_NANOS;

	private int samples;

	RouteEntity(RouteName name, int index) {
		this.name = name;
		this.index = index;
	}

	void learn(double runNanos) {
		double sample = (this.samples < UNCLIPPED_SAMPLES) ? runNanos
				: Math.min(runNanos, MAX_SAMPLE_MEANS * this.meanRunNanos);
		this.samples++;
		double weight = Math.max(SMOOTHING, 1.0 / this.samples);
		double error = sample - this.meanRunNanos;
		this.meanRunNanos += weight * error;
		this.deviationNanos += weight * (Math.abs(error) - this.deviationNanos);
	}

	double meanRunNanos() {
		return this.meanRunNanos;
	}

	/**
	 * Returns a tail run time, which few tasks other than stragglers exceed.
	 * @return the run time
	 */
	double tailRunNanos() {
		return this.meanRunNanos + 3 * this.deviationNanos;
	}

}
