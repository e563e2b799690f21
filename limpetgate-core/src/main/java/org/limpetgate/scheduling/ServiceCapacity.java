package org.limpetgate.scheduling;

import java.util.List;

/**
 * The present and expected capacity of the workers of one service. Not thread-safe.
 *
 * @param projection the projection, to which the capacity is added
 * @param throughput the usable capacity at the learned speeds of the workers, in
 * thousandths of a core of speed 1, 0 if no worker is usable
 * @param durationFactor the factor of a mean worker on the duration of a task
 */
record ServiceCapacity(CapacityProjection projection, double throughput, double durationFactor) {

	// Collects the capacity for waiting jobs, whose mean demand decides which free
	// capacity counts: fragments that are too small for it are of no use.
	static ServiceCapacity of(String service, List<JobDemand> waiting, SchedulerTables tables, long nowNanos) {
		long tasks = Math.max(1, waiting.stream().mapToLong(JobDemand::tasks).sum());
		long cpuMillis = waiting.stream().mapToLong((job) -> (long) job.cpuMillis() * job.tasks()).sum() / tasks;
		long memoryMb = waiting.stream().mapToLong((job) -> (long) job.memoryMb() * job.tasks()).sum() / tasks;
		CapacityProjection created = new CapacityProjection(nowNanos);
		double usable = 0;
		double speedWeighted = 0;
		for (WorkerEntity worker : tables.workers.values()) {
			if (!worker.info.service().equals(service)) {
				continue;
			}
			if (worker.isUsable()) {
				usable += worker.info.capacity().cpuMillis();
				speedWeighted += worker.info.capacity().cpuMillis() / tables.runTimeModel.factor(worker, nowNanos);
				if (worker.isHeldBack(nowNanos)) {
					created.add(usefulCpuMillis(worker.info.capacity(), cpuMillis, memoryMb), worker.suspectUntilNanos);
					continue;
				}
				created.add(usefulCpuMillis(worker.freeCapacity(), cpuMillis, memoryMb), nowNanos);
				worker.runs.values().forEach((run) -> addRelease(created, run, tables.settings, nowNanos));
			}
			else if (worker.isBeingTakenOver()) {
				// Its runs are not known yet. Counting all of its capacity as free errs
				// on the side of the jobs.
				created.add(usefulCpuMillis(worker.info.capacity(), cpuMillis, memoryMb), worker.retryNanos);
			}
		}
		return new ServiceCapacity(created, speedWeighted, (speedWeighted > 0) ? usable / speedWeighted : 1);
	}

	private static long usefulCpuMillis(Capacity free, long cpuMillis, long memoryMb) {
		if (cpuMillis <= 0) {
			return Math.max(0, free.cpuMillis());
		}
		long tasks = free.cpuMillis() / cpuMillis;
		if (memoryMb > 0) {
			tasks = Math.min(tasks, free.memoryMb() / memoryMb);
		}
		return Math.max(0, tasks) * cpuMillis;
	}

	private static void addRelease(CapacityProjection projection, RunEntity run, SchedulerSettings settings,
			long nowNanos) {
		int cpuMillis = run.demand().cpuMillis();
		if (run.state == RunEntity.State.STOPPING || run.state == RunEntity.State.STOPPED) {
			projection.add(cpuMillis, run.stopSentNanos + settings.stopNanos());
		}
		else if (!run.step().has(StepTrait.PERPETUAL)) {
			projection.addRun(cpuMillis, run.expectedNanos, nowNanos - run.startedNanos());
		}
	}

}
