package org.limpetgate.dispatch;

import org.limpetgate.RouteName;
import org.limpetgate.config.Route;

/**
 * What is learned about a route within a pool. Times are in nanoseconds.
 */
final class RouteEntity {

	/** Expected before the first sample; a middle value of the usual 50 ms to 1 s. */
	private static final double INITIAL_RUN_NANOS = 300_000_000;

	/** A sample counts as at most this many means, so that stragglers do not set them. */
	private static final double MAX_SAMPLE_MEANS = 8;

	private static final int UNCLIPPED_SAMPLES = 8;

	private static final double SMOOTHING = 0.02;

	final RouteName name;

	/** Position in the per-route arrays of the pool's upstreams. */
	final int index;

	/** The most attempts in flight. */
	int limit = Route.DEFAULT_IN_FLIGHT;

	int inFlight;

	/** The dispatch round in which a task of the route fitted nowhere. */
	long blockedRound;

	/** The declared cores of that task; smaller ones may fit. */
	double blockedCores;

	/** Used over declared resources, learned from the usage that workers report. */
	double coresRatio = 1;

	double memoryRatio = 1;

	private double mean = INITIAL_RUN_NANOS;

	private double deviation = INITIAL_RUN_NANOS;

	private int samples;

	RouteEntity(RouteName name, int index) {
		this.name = name;
		this.index = index;
	}

	void learn(double run) {
		double sample = (this.samples < UNCLIPPED_SAMPLES) ? run : Math.min(run, MAX_SAMPLE_MEANS * this.mean);
		this.samples++;
		double weight = Math.max(SMOOTHING, 1.0 / this.samples);
		double error = sample - this.mean;
		this.mean += weight * error;
		this.deviation += weight * (Math.abs(error) - this.deviation);
	}

	double mean() {
		return this.mean;
	}

	/**
	 * Returns a run time that few tasks exceed, stragglers aside.
	 * @return the run time
	 */
	double tail() {
		return this.mean + 3 * this.deviation;
	}

}
