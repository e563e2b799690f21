package org.limpetgate.scheduling;

import java.util.Collection;
import java.util.function.BooleanSupplier;

/**
 * Places a task on a worker that completes it in time, and among nearly equal workers on
 * the one with the least capacity left over (best fit). A task that some worker could
 * complete in time waits rather than start on one that cannot, until its latest start has
 * passed.
 * <p>
 * Suits peak load on workers of unequal speed: a long task on a slow worker misses its
 * objective, and fragments of capacity too small for a task are useless. Suspect workers
 * are used only for a task that has not failed yet and when no other worker has capacity.
 * Not thread-safe.
 */
final class FinishTimePlacement implements Placement {

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

	/** The index of the current pass, null between passes. */
	private CandidateIndex passIndex;

	private long evaluations;

	FinishTimePlacement(RunTimeModel model, double remoteFactor) {
		this.model = model;
		this.remoteFactor = remoteFactor;
	}

	@Override
	public void passStarted(Collection<WorkerEntity> workers, int minCpuMillis, long nowNanos) {
		// Tracked factors depend on the task, which the index does not allow for.
		this.passIndex = this.model.isTracked() ? null : index(workers, minCpuMillis, nowNanos);
	}

	private CandidateIndex index(Collection<WorkerEntity> workers, int minCpuMillis, long nowNanos) {
		return new CandidateIndex(workers, minCpuMillis, (worker, rack) -> factor(worker, rack, nowNanos));
	}

	@Override
	public void passEnded() {
		this.passIndex = null;
	}

	@Override
	public void workerChanged(WorkerEntity worker) {
		if (this.passIndex != null) {
			this.passIndex.workerChanged(worker);
		}
	}

	// The first task of a service decides whether capacity is scarce, so no job is passed
	// over before.
	@Override
	public boolean hasNoRoom(JobEntity job, long nowNanos) {
		String service = job.spec().service();
		return this.passIndex != null && nowNanos == this.scarceNanos && service.equals(this.scarceService)
				&& this.passIndex.hasNoRoom(service, job.minCpuMillis());
	}

	// Returns how many times a worker was considered for a task so far.
	long evaluations() {
		return this.evaluations;
	}

	@Override
	public WorkerEntity choose(TaskEntity task, double taskNanos, Collection<WorkerEntity> workers, long nowNanos) {
		if (this.model.isTracked()) {
			return scan(task, taskNanos, workers, nowNanos);
		}
		CandidateIndex index = (this.passIndex != null && this.passIndex.isOf(workers)) ? this.passIndex
				: index(workers, 0, nowNanos);
		Candidates candidates = index.candidates(task);
		Capacity demand = task.step().demand();
		boolean scarceNow = isScarce(task, () -> candidates.isFreeBelow(SCARCE_CAPACITY_SHARE, demand), nowNanos);
		candidates.prepare(demand);
		double allowedNanos = task.job().objectiveEndNanos - SchedulerSettings.OVERHEAD_NANOS - nowNanos;
		double lowestFactor = Math.max(candidates.lowestFactorWithRoom(demand),
				candidates.lowestFactorBySearches(kind(task), demand, task.job().leaseLimitNanos));
		if (lowestFactor >= Double.MAX_VALUE) {
			return null;
		}
		Conditions conditions = new Conditions(scarceNow, allowedNanos, nowNanos);
		boolean allLate = taskNanos * lowestFactor > allowedNanos && durationLevel(lowestFactor) >= 0;
		if (allLate && canBeOnTime(task, candidates, taskNanos, conditions)) {
			return null;
		}
		return search(task, candidates, taskNanos, conditions);
	}

	private WorkerEntity search(TaskEntity task, Candidates candidates, double taskNanos, Conditions conditions) {
		Capacity demand = task.step().demand();
		boolean prefersToRunAlone = CrashIsolation.prefersToRunAlone(task);
		WorkerEntity best = null;
		double bestCost = Double.MAX_VALUE;
		int bestPlace = Integer.MAX_VALUE;
		double lowestFactor = Double.POSITIVE_INFINITY;
		for (CapacityGroup group : candidates.groups()) {
			int count = demand.fits(group.capacity()) ? group.countWithRoom(demand.cpuMillis()) : 0;
			for (int place = 0; place < count; place++) {
				this.evaluations++;
				WorkerEntity worker = group.worker(place);
				if (!isEligible(task, worker, conditions.nowNanos())) {
					continue;
				}
				lowestFactor = Math.min(lowestFactor, group.factor(place));
				double factor = factor(task, worker, group.factor(place), conditions.nowNanos());
				boolean onTime = taskNanos * factor <= conditions.allowedNanos();
				double cost = cost(task, worker, factor, conditions.scarce() && onTime) + (onTime ? 0 : LATE_COST);
				if (!worker.runs.isEmpty() && prefersToRunAlone) {
					cost += SHARED_COST;
				}
				if (cost < bestCost || (cost == bestCost && group.passPlace(place) < bestPlace)) {
					best = worker;
					bestCost = cost;
					bestPlace = group.passPlace(place);
				}
			}
		}
		boolean late = bestCost >= LATE_COST;
		if (best != null && (!late || !canBeOnTime(task, candidates, taskNanos, conditions))) {
			return best;
		}
		if (isOrdinary(task)) {
			candidates.addFailedSearch(kind(task),
					new Candidates.FailedSearch(demand, task.job().leaseLimitNanos, lowestFactor));
		}
		return null;
	}

	// Considers all workers.
	private WorkerEntity scan(TaskEntity task, double taskNanos, Collection<WorkerEntity> workers, long nowNanos) {
		boolean scarceNow = isScarce(task, () -> isFreeBelow(SCARCE_CAPACITY_SHARE, task, workers), nowNanos);
		double allowedNanos = task.job().objectiveEndNanos - SchedulerSettings.OVERHEAD_NANOS - nowNanos;
		boolean canBeOnTime = false;
		WorkerEntity best = null;
		double bestCost = Double.MAX_VALUE;
		for (WorkerEntity worker : workers) {
			if (!canServe(task, worker)) {
				continue;
			}
			double factor = taskFactor(task, worker, nowNanos);
			boolean onTime = taskNanos * factor <= allowedNanos;
			canBeOnTime |= onTime;
			if (!isEligible(task, worker, nowNanos)) {
				continue;
			}
			double cost = cost(task, worker, factor, scarceNow && onTime) + (onTime ? 0 : LATE_COST);
			if (!worker.runs.isEmpty() && CrashIsolation.prefersToRunAlone(task)) {
				cost += SHARED_COST;
			}
			if (this.model.isProbe(task, worker, nowNanos)) {
				cost -= SHARED_COST;
			}
			if (cost < bestCost) {
				best = worker;
				bestCost = cost;
			}
		}
		boolean late = bestCost >= LATE_COST;
		return (late && canBeOnTime) ? null : best;
	}

	private static boolean isFreeBelow(double share, TaskEntity task, Collection<WorkerEntity> workers) {
		long free = 0;
		long total = 0;
		for (WorkerEntity worker : workers) {
			if (canServe(task, worker)) {
				free += worker.freeCapacity().cpuMillis();
				total += worker.info.capacity().cpuMillis();
			}
		}
		return free < share * total;
	}

	// Tests whether the worker can run the task once it has enough free capacity.
	private static boolean canServe(TaskEntity task, WorkerEntity worker) {
		StepSpec step = task.step();
		return worker.isUsable() && worker.info.service().equals(task.job().spec().service())
				&& step.demand().fits(worker.info.capacity())
				&& (step.requiredLabel().isEmpty() || worker.info.labels().contains(step.requiredLabel()));
	}

	private double taskFactor(TaskEntity task, WorkerEntity worker, long nowNanos) {
		double factor = onRack(this.model.placementFactor(task, worker, nowNanos), worker, task.step().dataRack());
		boolean suspect = worker.suspectUntilNanos > nowNanos || task.failedOn == worker;
		return suspect ? factor * SUSPECT_DURATION_FACTOR : factor;
	}

	private double onRack(double factor, WorkerEntity worker, String rack) {
		return (rack.isEmpty() || worker.info.labels().contains(rack)) ? factor : factor * this.remoteFactor;
	}

	// Tests whether some worker, which may be in use, could complete the task in time.
	private static boolean canBeOnTime(TaskEntity task, Candidates candidates, double taskNanos,
			Conditions conditions) {
		boolean failed = task.failedOn != null && task.failedOn.suspectUntilNanos <= conditions.nowNanos();
		WorkerEntity failedOn = failed ? task.failedOn : null;
		for (CapacityGroup group : candidates.groups()) {
			if (!task.step().demand().fits(group.capacity())) {
				continue;
			}
			if (taskNanos * group.minFactorWithout(failedOn) <= conditions.allowedNanos()) {
				return true;
			}
			if (failed
					&& taskNanos * (group.factorOf(failedOn) * SUSPECT_DURATION_FACTOR) <= conditions.allowedNanos()) {
				return true;
			}
		}
		return false;
	}

	// Tests whether tasks of the same kind can use no other workers than this one. A gang
	// may release what it has reserved, which makes its searches outdated.
	private static boolean isOrdinary(TaskEntity task) {
		return !task.step().has(StepTrait.GANG) && !task.crashes.isSuspect() && task.step().maxPerWorker() <= 0;
	}

	// Tasks of one kind can use the same workers, as far as these have room.
	private static int kind(TaskEntity task) {
		int interference = task.step().has(StepTrait.FILLER) ? 1 : (task.step().latencyTargetMillis() > 0) ? 2 : 0;
		return task.failures.isEmpty() ? interference : interference + 3;
	}

	// While capacity is scarce, tasks that a slow worker completes in time leave the
	// fast workers to tasks that need them.
	private boolean isScarce(TaskEntity task, BooleanSupplier freeBelow, long nowNanos) {
		String service = task.job().spec().service();
		if (nowNanos != this.scarceNanos || !service.equals(this.scarceService)) {
			this.scarceNanos = nowNanos;
			this.scarceService = service;
			this.scarce = freeBelow.getAsBoolean();
		}
		return this.scarce;
	}

	// Tests whether a worker that can serve the task may start it now.
	private boolean isEligible(TaskEntity task, WorkerEntity worker, long nowNanos) {
		StepSpec step = task.step();
		if (worker.reserved || !step.demand().fits(worker.freeCapacity())) {
			return false;
		}
		if (!worker.findable && task.job().spec().stored()) {
			return false;
		}
		if (!worker.isWarmEnough(step.demand(), nowNanos) || this.model.isTooSlow(task, worker, nowNanos)) {
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

	// Returns the factor of a worker for tasks whose data is on a rack.
	private double factor(WorkerEntity worker, String rack, long nowNanos) {
		double factor = onRack(this.model.factor(worker, nowNanos), worker, rack);
		return (worker.suspectUntilNanos > nowNanos) ? factor * SUSPECT_DURATION_FACTOR : factor;
	}

	private static double factor(TaskEntity task, WorkerEntity worker, double factor, long nowNanos) {
		boolean onlyFailedThere = task.failedOn == worker && worker.suspectUntilNanos <= nowNanos;
		return onlyFailedThere ? factor * SUSPECT_DURATION_FACTOR : factor;
	}

	private static double cost(TaskEntity task, WorkerEntity worker, double factor, boolean slowestFirst) {
		double leftoverShare = (double) worker.freeCapacity().minus(task.step().demand()).cpuMillis()
				/ Math.max(1, worker.info.capacity().cpuMillis());
		double level = durationLevel(factor);
		return (slowestFirst ? -level : level) + leftoverShare;
	}

	private static double durationLevel(double factor) {
		return Math.round(Math.log(factor) / EQUAL_DURATION_SHARE);
	}

	private record Conditions(boolean scarce, double allowedNanos, long nowNanos) {

	}

}
