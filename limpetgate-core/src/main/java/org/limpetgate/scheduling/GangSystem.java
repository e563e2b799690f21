package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.limpetgate.scheduling.SchedulingEffect.StopRun;

/**
 * Starts and ends the tasks of a gang together.
 * <p>
 * Invariants: either all members are started in one tick with the same attempt number, or
 * none is; when a member ends without being done, the others are stopped. Not
 * thread-safe.
 */
final class GangSystem {

	private final SchedulerTables tables;

	private final Placement placement;

	private final RunSystem runs;

	GangSystem(SchedulerTables tables, Placement placement, RunSystem runs) {
		this.tables = tables;
		this.placement = placement;
		this.runs = runs;
	}

	/**
	 * Starts a gang if there is capacity for all of its tasks.
	 * @param tasks all tasks of the step
	 * @param taskNanos the expected duration of a task on a worker of speed 1, in
	 * nanoseconds
	 * @param nowNanos the current time
	 */
	void place(List<TaskEntity> tasks, double taskNanos, long nowNanos) {
		for (TaskEntity task : tasks) {
			if (task.state != TaskEntity.State.WAITING || task.notBeforeNanos > nowNanos
					|| task.crashes.isHeldBack(nowNanos) || this.tables.mayBeRunning(task.name())) {
				return;
			}
		}
		List<RunEntity> reserved = reserve(tasks, taskNanos, nowNanos);
		if (reserved.isEmpty()) {
			return;
		}
		tasks.get(0).job().startSent();
		tasks.get(0).job().waitingTasks -= tasks.size();
		reserved.forEach((run) -> this.runs.sendStart(run, nowNanos));
	}

	private List<RunEntity> reserve(List<TaskEntity> tasks, double taskNanos, long nowNanos) {
		if (tasks.get(0).step().has(StepTrait.SAME_RACK)) {
			for (List<WorkerEntity> group : workersByLabel()) {
				List<RunEntity> reserved = reserve(tasks, group, taskNanos, nowNanos);
				if (!reserved.isEmpty()) {
					return reserved;
				}
			}
		}
		return reserve(tasks, this.tables.workers.values(), taskNanos, nowNanos);
	}

	// Groups the workers by label, the smallest groups first. Labels name the kind
	// and the rack of a worker, and fewer workers share a rack than a kind.
	private List<List<WorkerEntity>> workersByLabel() {
		Map<String, List<WorkerEntity>> byLabel = new HashMap<>();
		for (WorkerEntity worker : this.tables.workers.values()) {
			for (String label : worker.info.labels()) {
				byLabel.computeIfAbsent(label, (key) -> new ArrayList<>()).add(worker);
			}
		}
		return byLabel.values().stream().sorted(Comparator.comparingInt(List::size)).toList();
	}

	private List<RunEntity> reserve(List<TaskEntity> tasks, Collection<WorkerEntity> workers, double taskNanos,
			long nowNanos) {
		int attempt = tasks.stream().mapToInt((task) -> task.nextAttempt).max().orElse(1);
		List<RunEntity> reserved = new ArrayList<>();
		for (TaskEntity task : tasks) {
			WorkerEntity worker = this.placement.choose(task, taskNanos, workers, nowNanos);
			if (worker == null) {
				reserved.forEach(this::cancelReservation);
				return List.of();
			}
			reserved.add(this.runs.reserve(task, worker, attempt,
					taskNanos * this.tables.runTimeModel.factor(worker, nowNanos), nowNanos));
			this.placement.workerChanged(worker);
		}
		return reserved;
	}

	private void cancelReservation(RunEntity run) {
		this.runs.cancelReservation(run);
		this.placement.workerChanged(run.worker());
	}

	// Marks all members as done, since the completion of one member completes the gang.
	void markDone(JobEntity job, List<TaskEntity> tasks) {
		for (TaskEntity member : tasks) {
			if (member.state == TaskEntity.State.WAITING) {
				job.waitingTasks--;
			}
			if (member.run != null) {
				member.run.task = null;
				member.run = null;
			}
			if (member.state != TaskEntity.State.DONE) {
				job.taskDone(member);
			}
		}
	}

	void stopOthers(List<TaskEntity> tasks, long nowNanos) {
		for (TaskEntity member : tasks) {
			if (member.run != null) {
				this.runs.stop(member.run, StopRun.Reason.GANG_MEMBER_ENDED, nowNanos);
			}
		}
	}

	// Copies the checkpoint of a member to all members.
	static void shareCheckpoint(List<TaskEntity> tasks, String checkpoint) {
		tasks.forEach((member) -> member.checkpoint = checkpoint);
	}

}
