package org.limpetgate.scheduling;

import java.util.Collection;

/**
 * Considers every worker for every task. The reference for the decisions of
 * {@link FinishTimePlacement}, which must be the same. Not thread-safe.
 */
final class ScanningPlacement implements Placement {

	/** Durations that differ by less than this share count as equal. */
	private static final double EQUAL_DURATION_SHARE = 0.15;

	/** Capacity is scarce while the free share of it is below this. */
	private static final double SCARCE_CAPACITY_SHARE = 0.2;

	private static final double SUSPECT_DURATION_FACTOR = 100;

	/** Exceeds the difference in cost of any two workers that complete a task in time. */
	private static final double SHARED_COST = 100;

	/** Exceeds the cost of any worker that completes a task in time. */
	private static final double LATE_COST = 1000;

	private final RunTimeModel model;

	private final double remoteFactor;

	/** Whether capacity is scarce for scarceService, as computed at scarceNanos. */
	private boolean scarce;

	private long scarceNanos;

	private String scarceService;

	ScanningPlacement(RunTimeModel model, double remoteFactor) {
		this.model = model;
		this.remoteFactor = remoteFactor;
	}

	@Override
	public WorkerEntity choose(TaskEntity task, double taskNanos, Collection<WorkerEntity> workers, long nowNanos) {
		boolean scarce = isScarce(task, workers, nowNanos);
		double allowedNanos = task.job().objectiveEndNanos - SchedulerSettings.OVERHEAD_NANOS - nowNanos;
		boolean canBeOnTime = false;
		WorkerEntity best = null;
		double bestCost = Double.MAX_VALUE;
		for (WorkerEntity worker : workers) {
			if (!canServe(task, worker)) {
				continue;
			}
			double factor = factor(task, worker, nowNanos);
			boolean onTime = taskNanos * factor <= allowedNanos;
			canBeOnTime |= onTime;
			if (!isEligible(task, worker, nowNanos)) {
				continue;
			}
			double cost = cost(task, worker, factor, scarce && onTime) + (onTime ? 0 : LATE_COST);
			if (!worker.runs.isEmpty() && CrashIsolation.prefersToRunAlone(task)) {
				cost += SHARED_COST;
			}
			if (cost < bestCost) {
				best = worker;
				bestCost = cost;
			}
		}
		boolean late = bestCost >= LATE_COST;
		return (late && canBeOnTime) ? null : best;
	}

	// While capacity is scarce, tasks that a slow worker completes in time leave the
	// fast workers to tasks that need them.
	private boolean isScarce(TaskEntity task, Collection<WorkerEntity> workers, long nowNanos) {
		String service = task.job().spec().service();
		if (nowNanos != this.scarceNanos || !service.equals(this.scarceService)) {
			this.scarceNanos = nowNanos;
			this.scarceService = service;
			this.scarce = computeScarce(task, workers);
		}
		return this.scarce;
	}

	private static boolean computeScarce(TaskEntity task, Collection<WorkerEntity> workers) {
		long free = 0;
		long total = 0;
		for (WorkerEntity worker : workers) {
			if (canServe(task, worker)) {
				free += worker.freeCapacity().cpuMillis();
				total += worker.info.capacity().cpuMillis();
			}
		}
		return free < SCARCE_CAPACITY_SHARE * total;
	}

	// Tests whether the worker can run the task once it has enough free capacity.
	private static boolean canServe(TaskEntity task, WorkerEntity worker) {
		StepSpec step = task.step();
		return worker.isUsable() && worker.info.service().equals(task.job().spec().service())
				&& step.demand().fits(worker.info.capacity())
				&& (step.requiredLabel().isEmpty() || worker.info.labels().contains(step.requiredLabel()));
	}

	// Tests whether a worker that can serve the task may start it now.
	private boolean isEligible(TaskEntity task, WorkerEntity worker, long nowNanos) {
		StepSpec step = task.step();
		if (worker.reserved || !step.demand().fits(worker.freeCapacity())) {
			return false;
		}
		if (worker.latestLeaseEndNanos() > task.job().leaseLimitNanos) {
			return false;
		}
		if (worker.suspectUntilNanos > nowNanos && (!task.failures.isEmpty() || !worker.runs.isEmpty())) {
			return false;
		}
		if (interferes(step, worker) || !CrashIsolation.permits(task, worker, nowNanos)) {
			return false;
		}
		return step.maxPerWorker() <= 0 || runsOfStep(task, worker) < step.maxPerWorker();
	}

	// Filler tasks do not share a worker with tasks that serve users, since how much
	// they interfere changes within seconds.
	private static boolean interferes(StepSpec step, WorkerEntity worker) {
		boolean filler = step.has(StepTrait.FILLER);
		if (!filler && step.latencyTargetMillis() == 0) {
			return false;
		}
		return worker.runs.values()
			.stream()
			.anyMatch((run) -> filler ? run.step().latencyTargetMillis() > 0 : run.step().has(StepTrait.FILLER));
	}

	private static long runsOfStep(TaskEntity task, WorkerEntity worker) {
		TaskName name = task.name();
		return worker.runs.keySet()
			.stream()
			.filter((run) -> run.task().job().equals(name.job()) && run.task().step() == name.step())
			.count();
	}

	private double factor(TaskEntity task, WorkerEntity worker, long nowNanos) {
		double factor = this.model.factor(worker);
		String rack = task.step().dataRack();
		if (!rack.isEmpty() && !worker.info.labels().contains(rack)) {
			factor *= this.remoteFactor;
		}
		if (worker.suspectUntilNanos > nowNanos || task.failedOn == worker) {
			factor *= SUSPECT_DURATION_FACTOR;
		}
		return factor;
	}

	private static double cost(TaskEntity task, WorkerEntity worker, double factor, boolean slowestFirst) {
		double leftoverShare = (double) worker.freeCapacity().minus(task.step().demand()).cpuMillis()
				/ Math.max(1, worker.info.capacity().cpuMillis());
		double durationLevel = Math.round(Math.log(factor) / EQUAL_DURATION_SHARE);
		return (slowestFirst ? -durationLevel : durationLevel) + leftoverShare;
	}

}
