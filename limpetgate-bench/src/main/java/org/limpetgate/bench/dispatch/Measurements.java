package org.limpetgate.bench.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.limpetgate.PoolName;

/**
 * Measurements of one or more runs with the same scenario and policy.
 */
final class Measurements {

	/** Histograms store integers; slowdowns are recorded with three decimal places. */
	private static final double SCALE = 1_000;

	private static final long MAX_VALUE = 100_000_000;

	private static final long WINDOW_NANOS = 200 * VirtualTime.MILLI;

	private final Map<WorkClass, Histogram> slowdown = new EnumMap<>(WorkClass.class);

	private final Histogram shortSlowdown = new Histogram(MAX_VALUE, 3);

	private final Histogram shortWait = new Histogram(MAX_VALUE, 3);

	private final List<List<Double>> windows = new ArrayList<>();

	long accepted;

	long inTime;

	long refused;

	long offered;

	long wastedMessages;

	long idempotentAccepted;

	long idempotentLost;

	long nonIdempotentAccepted;

	long nonIdempotentLost;

	long attempts;

	long badAttempts;

	long badTasks;

	/** Attempts beyond the capacity of an upstream. */
	long overbooked;

	/** Completed work in slot or core nanoseconds after the warm-up, by pool. */
	private final Map<PoolName, Double> usefulWork = new HashMap<>();

	/** Capacity of the upstreams in the same time and unit, by pool. */
	private final Map<PoolName, Double> capacityWork = new HashMap<>();

	Measurements() {
		for (WorkClass workClass : WorkClass.values()) {
			this.slowdown.put(workClass, new Histogram(MAX_VALUE, 3));
		}
	}

	/**
	 * The classes of tasks that are measured separately.
	 */
	enum WorkClass {

		SHORT_RUNNER, LONG_RUNNER, SHORT_WORKER, LONG_WORKER;

		static WorkClass of(PoolName pool, boolean isLong) {
			if (pool.equals(Workload.WORKERS)) {
				return isLong ? LONG_WORKER : SHORT_WORKER;
			}
			return isLong ? LONG_RUNNER : SHORT_RUNNER;
		}

	}

	void recordCompletion(SimulatedTask task, double taskSlowdown) {
		this.slowdown.get(WorkClass.of(task.request.pool(), task.isLong))
			.recordValue(Math.min(MAX_VALUE, (long) (taskSlowdown * SCALE)));
		if (!task.isLong) {
			this.shortSlowdown.recordValue(Math.min(MAX_VALUE, (long) (taskSlowdown * SCALE)));
			int window = (int) (task.arrivedAt / WINDOW_NANOS);
			while (this.windows.size() <= window) {
				this.windows.add(new ArrayList<>());
			}
			this.windows.get(window).add(taskSlowdown);
			this.shortWait.recordValue(Math.min(MAX_VALUE, (task.startedAt - task.arrivedAt) / VirtualTime.MICRO));
		}
	}

	void add(Measurements other) {
		other.slowdown.forEach((workClass, histogram) -> this.slowdown.get(workClass).add(histogram));
		this.shortSlowdown.add(other.shortSlowdown);
		this.shortWait.add(other.shortWait);
		for (int i = 0; i < other.windows.size(); i++) {
			if (i >= this.windows.size()) {
				this.windows.add(new ArrayList<>());
			}
			this.windows.get(i).addAll(other.windows.get(i));
		}
		this.accepted += other.accepted;
		this.inTime += other.inTime;
		this.refused += other.refused;
		this.offered += other.offered;
		this.wastedMessages += other.wastedMessages;
		this.idempotentAccepted += other.idempotentAccepted;
		this.idempotentLost += other.idempotentLost;
		this.nonIdempotentAccepted += other.nonIdempotentAccepted;
		this.nonIdempotentLost += other.nonIdempotentLost;
		this.attempts += other.attempts;
		this.badAttempts += other.badAttempts;
		this.badTasks += other.badTasks;
		this.overbooked += other.overbooked;
		other.usefulWork.forEach(this::addUsefulWork);
		other.capacityWork.forEach(this::addCapacity);
	}

	double slowdown(WorkClass workClass, double percentile) {
		return this.slowdown.get(workClass).getValueAtPercentile(percentile) / SCALE;
	}

	double shortSlowdown(double percentile) {
		return this.shortSlowdown.getValueAtPercentile(percentile) / SCALE;
	}

	double shortWaitMillis(double percentile) {
		return this.shortWait.getValueAtPercentile(percentile) / 1_000.0;
	}

	double wastedPer100() {
		return 100.0 * this.wastedMessages / Math.max(1, this.accepted);
	}

	double inTimeShare() {
		return (double) this.inTime / Math.max(1, this.accepted);
	}

	void addUsefulWork(PoolName pool, double work) {
		this.usefulWork.merge(pool, work, Double::sum);
	}

	void addCapacity(PoolName pool, double work) {
		this.capacityWork.merge(pool, work, Double::sum);
	}

	double goodput(PoolName pool) {
		return this.usefulWork.getOrDefault(pool, 0.0) / this.capacityWork.get(pool);
	}

	double idempotentLostPercent() {
		return 100.0 * this.idempotentLost / Math.max(1, this.idempotentAccepted);
	}

	double nonIdempotentLostPercent() {
		return 100.0 * this.nonIdempotentLost / Math.max(1, this.nonIdempotentAccepted);
	}

	double overbookedPercent() {
		return 100.0 * this.overbooked / Math.max(1, this.attempts);
	}

	double attemptsPerBadTask() {
		return (double) this.badAttempts / Math.max(1, this.badTasks);
	}

	/**
	 * Returns the 90th percentile of the slowdown of short tasks by time of arrival.
	 * @return one value for each window of 200 ms, 0 for an empty one
	 */
	double[] series() {
		double[] series = new double[this.windows.size()];
		for (int i = 0; i < series.length; i++) {
			double[] values = this.windows.get(i).stream().mapToDouble(Double::doubleValue).sorted().toArray();
			series[i] = (values.length != 0) ? values[(int) (values.length * 0.9)] : 0;
		}
		return series;
	}

	static double windowSeconds() {
		return (double) WINDOW_NANOS / VirtualTime.SECOND;
	}

	/**
	 * Returns the recovery time: from the end of the load peak until the 90th percentile
	 * of the slowdown of short tasks stays within 1.5 times its median before the peak
	 * for one second.
	 * @return the time in seconds, infinite if the slowdown does not recover
	 */
	double recoverySeconds() {
		double[] series = series();
		int from = (int) (Scenario.WARM_UP_NANOS / WINDOW_NANOS);
		double[] baseline = Arrays.copyOfRange(series, from, (int) (Scenario.DISTURBANCE_START_NANOS / WINDOW_NANOS));
		Arrays.sort(baseline);
		double threshold = 1.5 * baseline[baseline.length / 2];
		int end = (int) (Scenario.DISTURBANCE_END_NANOS / WINDOW_NANOS);
		int stableWindows = (int) (VirtualTime.SECOND / WINDOW_NANOS);
		for (int i = end; i + stableWindows <= series.length; i++) {
			boolean stable = true;
			for (int j = i; j < i + stableWindows; j++) {
				stable &= series[j] <= threshold;
			}
			if (stable) {
				return (i - end) * windowSeconds();
			}
		}
		return Double.POSITIVE_INFINITY;
	}

}
