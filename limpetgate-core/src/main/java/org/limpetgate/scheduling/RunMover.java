package org.limpetgate.scheduling;

import java.util.List;
import java.util.OptionalDouble;

import org.limpetgate.scheduling.SchedulingEffect.StopRun;

/**
 * Decides which runs are stopped to start their tasks on other workers.
 * <p>
 * A run is moved if its end on its worker would be of no use to its caller, because the
 * worker has turned slow or leaves before, and its end on another worker that has room
 * now would be of use to the rest of the job. Stored jobs have no caller that waits, so
 * their runs are moved only from workers that leave. Runs of gangs and of perpetual tasks
 * stay, as do runs whose worker has not reported for longer than a poll takes. Not
 * thread-safe.
 */
final class RunMover {

	/** Bounds the work that repeated moves of one task waste. */
	private static final int MAX_MOVES = 2;

	private final RunTimeModel model;

	private final Placement placement;

	private final SchedulerSettings settings;

	RunMover(RunTimeModel model, Placement placement, SchedulerSettings settings) {
		this.model = model;
		this.placement = placement;
		this.settings = settings;
	}

	/**
	 * Decides about one run.
	 * @param run the run
	 * @param candidates the workers to which it may be moved
	 * @param nowNanos the current time
	 * @return the move, or null if the run stays
	 */
	Move decide(RunEntity run, List<WorkerEntity> candidates, long nowNanos) {
		WorkerEntity worker = run.worker();
		if (!isMovable(run) || nowNanos - worker.clock.sampledNanos() > this.settings.pollWaitNanos()) {
			return null;
		}
		double endHere = endHereNanos(run);
		StopRun.Reason reason = reason(run, endHere, nowNanos);
		if (reason == null) {
			return null;
		}
		TaskEntity task = run.task;
		double workNanos = workNanos(run);
		WorkerEntity target = this.placement.choose(task, workNanos, candidates, nowNanos);
		if (target == null) {
			return null;
		}
		double endThere = nowNanos + this.settings.stopNanos() + SchedulerSettings.OVERHEAD_NANOS
				+ remainingShare(run) * workNanos * this.model.factor(target, nowNanos);
		long usefulEnd = usefulEndNanos(run);
		if (endThere >= endHere && reason == StopRun.Reason.SLOW_WORKER) {
			return null;
		}
		if (!task.job().spec().stored() && (endThere + chainAfterNanos(task) > usefulEnd || !otherRunsAllowMove(run))) {
			return null;
		}
		return new Move(run, target, reason, endHere, endThere, usefulEnd, lostCoreNanos(run, nowNanos));
	}

	private static boolean isMovable(RunEntity run) {
		TaskEntity task = run.task;
		return run.state == RunEntity.State.RUNNING && task != null && !run.released && !run.job().ended
				&& task.moves < MAX_MOVES && !run.step().has(StepTrait.GANG) && !run.step().has(StepTrait.PERPETUAL)
				&& run.worker().ownership == WorkerEntity.Ownership.OWNED;
	}

	private StopRun.Reason reason(RunEntity run, double endHereNanos, long nowNanos) {
		WorkerEntity worker = run.worker();
		if (endHereNanos > worker.drainEndNanos) {
			return StopRun.Reason.WORKER_LEAVING;
		}
		boolean useless = !run.isStored() && worker.speed.isSlow() && endHereNanos > usefulEndNanos(run);
		return (useless && hasShownPace(run, nowNanos)) ? StopRun.Reason.SLOW_WORKER : null;
	}

	// Tests whether the run itself shows that it is slow. A probe that has just started
	// must not be judged by what its worker did before.
	private boolean hasShownPace(RunEntity run, long nowNanos) {
		return run.pace.isKnown()
				|| nowNanos - run.startedNanos() > taskNanos(run) * this.model.normalFactor(run.worker());
	}

	private double endHereNanos(RunEntity run) {
		double expectedNanos = taskNanos(run) * this.model.factor(run.worker());
		return run.pace.endNanos(run.startedNanos(), expectedNanos);
	}

	// Returns the expected duration of the task on a worker of speed 1. What a worker of
	// known speed shows of it counts more than the estimate.
	private double workNanos(RunEntity run) {
		if (run.worker().speed.isSlow()) {
			return taskNanos(run);
		}
		return run.pace.durationNanos(taskNanos(run) * this.model.factor(run.worker()))
				/ this.model.factor(run.worker());
	}

	private double taskNanos(RunEntity run) {
		return this.model.taskNanos(run.job().spec().queue(), run.step()) * jobFactor(run);
	}

	private static double jobFactor(RunEntity run) {
		OptionalDouble log = Siblings.durationLog(run.task, run.worker());
		return Math.exp(log.orElse(0));
	}

	private static double remainingShare(RunEntity run) {
		boolean resumes = run.step().has(StepTrait.CHECKPOINTED) && !run.checkpoint.isEmpty();
		return resumes ? 1 - run.progressPercent / 100.0 : 1;
	}

	private static long usefulEndNanos(RunEntity run) {
		return run.job().usefulEndNanos(Math.max(1, jobFactor(run)));
	}

	// Returns the duration of the longest chain of the steps that remain after the task.
	private double chainAfterNanos(TaskEntity task) {
		JobSpec spec = task.job().spec();
		if (spec.steps().size() == 1) {
			return 0;
		}
		return spec.longestChainNanos((step) -> {
			List<TaskEntity> tasks = task.job().steps().get(spec.steps().indexOf(step));
			boolean blocked = tasks.get(0).state == TaskEntity.State.BLOCKED;
			return blocked ? this.model.taskNanos(spec.queue(), step) : 0;
		});
	}

	// Tests whether the other runs of the job end in time to be of use. Those on slow
	// workers are assumed to be movable.
	private boolean otherRunsAllowMove(RunEntity run) {
		for (RunEntity other : run.job().runs()) {
			if (other != run && !other.worker().speed.isSlow() && endHereNanos(other) > usefulEndNanos(other)) {
				return false;
			}
		}
		return true;
	}

	private static long lostCoreNanos(RunEntity run, long nowNanos) {
		double lostShare = (remainingShare(run) < 1) ? 0 : 1;
		return (long) (lostShare * (nowNanos - run.startedNanos()) * run.demand().cpuMillis() / 1000);
	}

	/**
	 * A run to be stopped so that its task starts on another worker.
	 *
	 * @param run the run
	 * @param target the worker that has room for it
	 * @param reason why
	 * @param endHereNanos the expected end on its worker, nanoseconds since the Unix
	 * epoch
	 * @param endThereNanos the expected end on the target, nanoseconds since the Unix
	 * epoch
	 * @param usefulEndNanos until when its end is of use, nanoseconds since the Unix
	 * epoch
	 * @param lostCoreNanos the work that the stop wastes, in core nanoseconds
	 */
	record Move(RunEntity run, WorkerEntity target, StopRun.Reason reason, double endHereNanos, double endThereNanos,
			long usefulEndNanos, long lostCoreNanos) {

	}

}
