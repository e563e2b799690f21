package org.limpetgate.bench.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.limpetgate.CallerId;
import org.limpetgate.PoolName;
import org.limpetgate.Resources;
import org.limpetgate.RouteName;
import org.limpetgate.TaskId;
import org.limpetgate.dispatch.TaskRequest;

/**
 * Generates the tasks that the callers of one data centre send.
 * <p>
 * Most tasks run for 50 ms to 1 s and a few for several seconds; some are part of jobs.
 * The demand oscillates within each second, and a few callers send a large part of it.
 */
final class Workload {

	static final long LONG_RUN_NANOS = 1_500 * VirtualTime.MILLI;

	static final PoolName RUNNERS = PoolName.of("runners");

	static final PoolName WORKERS = PoolName.of("workers");

	/** Mean run times by route in milliseconds; the last route has the long tasks. */
	private static final long[] ROUTE_MILLIS = { 60, 120, 250, 500, 900, 3_000 };

	private static final double[] ROUTE_SHARES = { 0.3, 0.25, 0.2, 0.13, 0.1, 0.02 };

	private static final double RUN_TIME_SIGMA = 0.25;

	private static final double[] ROUTE_CORES = { 1, 1, 2, 2, 4, 4 };

	/** Ratio of actual to declared resources by route. */
	private static final double[] ROUTE_SIZE_RATIO = { 1, 0.5, 2, 0.4, 0.7, 1.5 };

	private static final long MEMORY_PER_CORE_MB = 1_000;

	private static final double IDEMPOTENT_SHARE = 0.6;

	private static final double JOB_SHARE = 0.03;

	private static final int MEAN_JOB_TASKS = 12;

	private static final int MAX_JOB_TASKS = 610;

	private static final double DEMAND_AMPLITUDE = 0.4;

	private static final long DEADLINE_NANOS = 10 * VirtualTime.SECOND;

	private final RandomGenerator random;

	private long lastTaskId;

	private long lastJobId;

	Workload(RandomGenerator random) {
		this.random = random;
	}

	static double meanWorkNanos() {
		double mean = 0;
		for (int i = 0; i < ROUTE_MILLIS.length; i++) {
			mean += ROUTE_SHARES[i] * ROUTE_MILLIS[i];
		}
		return mean * VirtualTime.MILLI;
	}

	static double meanCoreNanos() {
		double mean = 0;
		for (int i = 0; i < ROUTE_MILLIS.length; i++) {
			mean += ROUTE_SHARES[i] * ROUTE_MILLIS[i] * ROUTE_CORES[i] * ROUTE_SIZE_RATIO[i];
		}
		return mean * VirtualTime.MILLI;
	}

	/**
	 * Returns the factor by which stragglers increase the mean run time.
	 * @return the factor
	 */
	static double stragglerFactor() {
		return 1 + SimulatedUpstream.STRAGGLER_PROBABILITY * (SimulatedUpstream.STRAGGLER_FACTOR - 1);
	}

	static double meanTasksPerArrival() {
		return 1 + JOB_SHARE * (MEAN_JOB_TASKS - 1);
	}

	/**
	 * Returns the relative demand at a time; its mean is 1.
	 * @param now the time in nanoseconds
	 * @return the factor
	 */
	static double demandFactor(long now) {
		return 1 + DEMAND_AMPLITUDE * Math.sin(2 * Math.PI * now / VirtualTime.SECOND);
	}

	long nanosUntilNextArrival(double perNano) {
		return (long) (-Math.log(1 - this.random.nextDouble()) / perNano);
	}

	List<SimulatedTask> newArrival(PoolName pool, long now) {
		int tasks = 1;
		if (this.random.nextDouble() < JOB_SHARE) {
			double exponential = -Math.log(1 - this.random.nextDouble()) * MEAN_JOB_TASKS;
			tasks = (int) Math.max(2, Math.min(MAX_JOB_TASKS, exponential));
		}
		int caller = (int) (Deployment.CALLERS * Math.pow(this.random.nextDouble(), 2));
		return newJob(pool, "caller-" + caller, route(), tasks, false, now);
	}

	List<SimulatedTask> newLongJob(PoolName pool, int tasks, long now) {
		return newJob(pool, "long-caller", ROUTE_MILLIS.length - 1, tasks, false, now);
	}

	List<SimulatedTask> newFailingJob(PoolName pool, int tasks, long now) {
		return newJob(pool, "bad-caller", 1, tasks, true, now);
	}

	private List<SimulatedTask> newJob(PoolName pool, String caller, int route, int tasks, boolean alwaysFails,
			long now) {
		long job = (tasks > 1) ? ++this.lastJobId : 0;
		boolean idempotent = alwaysFails || this.random.nextDouble() < IDEMPOTENT_SHARE;
		List<SimulatedTask> result = new ArrayList<>(tasks);
		for (int i = 0; i < tasks; i++) {
			result.add(newTask(pool, caller, route, idempotent, job, alwaysFails, now));
		}
		return result;
	}

	private int route() {
		double choice = this.random.nextDouble();
		int route = 0;
		while (route < ROUTE_SHARES.length - 1 && choice >= ROUTE_SHARES[route]) {
			choice -= ROUTE_SHARES[route];
			route++;
		}
		return route;
	}

	private SimulatedTask newTask(PoolName pool, String caller, int route, boolean idempotent, long job,
			boolean alwaysFails, long now) {
		double noise = Math.exp(RUN_TIME_SIGMA * this.random.nextGaussian() - RUN_TIME_SIGMA * RUN_TIME_SIGMA / 2);
		boolean worker = pool.equals(WORKERS);
		Resources declared = worker ? size(ROUTE_CORES[route]) : Resources.NONE;
		Resources actual = worker ? size(ROUTE_CORES[route] * ROUTE_SIZE_RATIO[route]) : Resources.NONE;
		TaskRequest request = new TaskRequest(TaskId.of(++this.lastTaskId), CallerId.of(caller),
				RouteName.of("route-" + ROUTE_MILLIS[route]), pool, idempotent, declared, 1_000, now + DEADLINE_NANOS,
				job);
		return new SimulatedTask(request, (long) (ROUTE_MILLIS[route] * VirtualTime.MILLI * noise), actual, alwaysFails,
				now);
	}

	private static Resources size(double cores) {
		return new Resources(cores, (long) (cores * MEMORY_PER_CORE_MB), 0);
	}

}
