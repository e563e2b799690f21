package org.limpetgate.scheduling;

import java.util.List;

/**
 * The capacity that the waiting tasks of a job need.
 * <p>
 * Immutable and thread-safe, except for the job.
 *
 * @param job the job
 * @param cpuMillis the mean demand of its tasks, in thousandths of a core
 * @param memoryMb the mean demand of its tasks, in megabytes
 * @param tasks the number of waiting tasks that may start now
 * @param durationNanos the expected duration of a task on a worker of speed 1, in
 * nanoseconds
 */
record JobDemand(JobEntity job, int cpuMillis, int memoryMb, int tasks, double durationNanos) {

	// Tasks that wait for another reason than capacity are left out.
	static JobDemand ofWaiting(JobEntity job, RunTimeModel model, long nowNanos) {
		int count = 0;
		long totalCpu = 0;
		long totalMemory = 0;
		double totalWork = 0;
		for (List<TaskEntity> step : job.steps()) {
			int waiting = 0;
			for (TaskEntity task : step) {
				if (task.state == TaskEntity.State.WAITING && task.notBeforeNanos <= nowNanos
						&& !task.crashes.isHeldBack(nowNanos)) {
					waiting++;
				}
			}
			if (waiting > 0) {
				StepSpec spec = step.get(0).step();
				count += waiting;
				totalCpu += (long) waiting * spec.demand().cpuMillis();
				totalMemory += (long) waiting * spec.demand().memoryMb();
				totalWork += waiting * spec.demand().cpuMillis() * model.taskNanos(job.spec().queue(), spec);
			}
		}
		if (count == 0) {
			return new JobDemand(job, 0, 0, 0, 0);
		}
		return new JobDemand(job, (int) (totalCpu / count), (int) (totalMemory / count), count,
				totalWork / Math.max(1, totalCpu));
	}

	// Returns the work in thousandths of a core times nanoseconds.
	double work() {
		return this.cpuMillis * this.durationNanos * this.tasks;
	}

}
