package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.limpetgate.HostId;
import org.limpetgate.JobId;

/**
 * The state of one job. Confined to the thread of the scheduler.
 */
final class JobEntity {

	private final JobSpec spec;

	private final long sequence;

	private final long arrivalNanos;

	/** The hosts to notify of the outcome. */
	final Set<HostId> origins = new LinkedHashSet<>();

	/**
	 * The newest time at which a host that waits for it no longer was known to wait,
	 * nanoseconds since the Unix epoch.
	 */
	private long formerlyWaitedNanos;

	/** The tasks of each step, by step number. */
	private final List<List<TaskEntity>> steps = new ArrayList<>();

	private final int[] unfinishedTasks;

	/** The expected duration of its longest chain of tasks, in nanoseconds. */
	double workNanos;

	/** When its caller stops waiting, nanoseconds since the Unix epoch. */
	long deadlineNanos;

	/** When it must have ended to be on time, nanoseconds since the Unix epoch. */
	long objectiveEndNanos;

	/** The cost of its delay and of its refusal, null until its times are computed. */
	JobCost cost;

	/** Whether it was within the fair share of its flow at its arrival. */
	boolean withinShare;

	/** The rank that the queue order gave it, lowest first. */
	int rank;

	/** The key that orders jobs of equal rank, lowest first. */
	double rankKey;

	/**
	 * The latest start of its next step with which it is expected to be on time, as the
	 * queue order computed it, nanoseconds since the Unix epoch.
	 */
	long nextStartNanos;

	/** The number of steps whose tasks are all done. */
	int doneSteps;

	/** The number of done steps for which {@link #nextStartNanos} was computed. */
	int nextStartDoneSteps;

	/**
	 * The latest start with which it is expected to be on time, nanoseconds since the
	 * Unix epoch.
	 */
	long latestStartNanos;

	/**
	 * When it is refused if none of its tasks has started, nanoseconds since the Unix
	 * epoch.
	 */
	long refusalNanos;

	/** Whether it was late already when it was submitted to this scheduler. */
	boolean delayed;

	/** Whether a projection has shown that it can be served in time. */
	boolean projected;

	/**
	 * When a projection last showed that it can be served in time, or when it was
	 * submitted if that is later, nanoseconds since the Unix epoch.
	 */
	long servableNanos;

	/**
	 * When it was submitted to this scheduler, or when the latest earlier scheduler stops
	 * acting on it if that is later, nanoseconds since the Unix epoch.
	 */
	long handedOverNanos;

	/**
	 * When all workers that the earlier schedulers used were listed, nanoseconds since
	 * the Unix epoch.
	 */
	long earlierListNanos = Long.MAX_VALUE;

	/** The handover whose earlier runs are known or have ended. */
	long settledHandoverNanos;

	/**
	 * Until when the lease of its runs may last, as of the last placement pass. It starts
	 * only on workers whose lease ends before.
	 */
	long leaseLimitNanos = Long.MAX_VALUE;

	/** Whether an earlier scheduler may have started some of its tasks. */
	boolean resubmitted;

	/**
	 * Whether a run of one of its tasks may have begun: an order to start one was sent.
	 */
	private boolean mayHaveBegun;

	/**
	 * Whether a run of one of its tasks has begun: a worker has confirmed its start or
	 * reported it or its end, or the store has what it left.
	 */
	private boolean begun;

	boolean ended;

	/** Whether one of its runs was stopped for a more urgent job. */
	boolean preempted;

	/** Whether the acceptance of a stored job is saved. */
	boolean acceptanceSaved;

	/** The sequence number of the last change that saves its progress, 0 for none. */
	long progressChange;

	/** The sequence number of the change that saves the end of a stored job. */
	long endChange;

	/**
	 * Ends of runs that are not acknowledged until the next change of the job is saved.
	 */
	final List<StoredJobSystem.UnsavedEnd> unsavedEnds = new ArrayList<>();

	/** Whether it is in {@link SchedulerTables#waitingJobs}. */
	boolean waiting;

	/** Whether it is in the sorted list of {@link WaitingJobs}. */
	boolean listedForSort;

	/**
	 * Whether none of its tasks has run before, is perpetual or belongs to a gang, so
	 * that nothing but a worker with free capacity is missing for its start.
	 */
	boolean ordinary;

	private int minCpuMillis = Integer.MAX_VALUE;

	/** The number of tasks in state WAITING. */
	int waitingTasks;

	JobEntity(JobSpec spec, long sequence, long arrivalNanos) {
		this.spec = spec;
		this.sequence = sequence;
		this.arrivalNanos = arrivalNanos;
		this.unfinishedTasks = new int[spec.steps().size()];
		this.ordinary = !spec.stored();
		for (int number = 0; number < spec.steps().size(); number++) {
			StepSpec step = spec.steps().get(number);
			this.ordinary &= !step.has(StepTrait.GANG) && !step.has(StepTrait.PERPETUAL);
			this.minCpuMillis = Math.min(this.minCpuMillis, step.demand().cpuMillis());
			List<TaskEntity> tasks = new ArrayList<>(step.count());
			for (int index = 0; index < step.count(); index++) {
				tasks.add(new TaskEntity(this, new TaskName(spec.id(), 0, number, index), step));
			}
			this.steps.add(tasks);
			this.unfinishedTasks[number] = step.count();
		}
		unblockSteps();
	}

	// Returns when a host was last known to wait for it, nanoseconds since the Unix
	// epoch.
	long lastWaitedNanos(OriginHeartbeats heartbeats, long nowNanos) {
		long newestNanos = this.formerlyWaitedNanos;
		if (!this.ended) {
			for (HostId origin : this.origins) {
				newestNanos = Math.max(newestNanos, heartbeats.lastWaitedNanos(origin, id(), nowNanos));
			}
		}
		return newestNanos;
	}

	// Removes a host that no longer waits for it; returns false if the host did not wait.
	boolean removeOrigin(HostId origin, OriginHeartbeats heartbeats, long nowNanos) {
		this.formerlyWaitedNanos = lastWaitedNanos(heartbeats, nowNanos);
		return this.origins.remove(origin);
	}

	// Ends it; what its hosts do from now on does not prolong the leases of its runs.
	void end(OriginHeartbeats heartbeats, long nowNanos) {
		this.formerlyWaitedNanos = lastWaitedNanos(heartbeats, nowNanos);
		this.ended = true;
	}

	private void unblockSteps() {
		for (int number = 0; number < this.unfinishedTasks.length; number++) {
			if (isUnblocked(this.spec.steps().get(number))) {
				for (TaskEntity task : this.steps.get(number)) {
					if (task.state == TaskEntity.State.BLOCKED) {
						task.state = TaskEntity.State.WAITING;
						this.waitingTasks++;
					}
				}
			}
		}
	}

	private boolean isUnblocked(StepSpec step) {
		return step.after().stream().allMatch((predecessor) -> this.unfinishedTasks[predecessor] == 0);
	}

	void taskDone(TaskEntity task) {
		task.state = TaskEntity.State.DONE;
		this.unfinishedTasks[task.name().step()]--;
		if (this.unfinishedTasks[task.name().step()] == 0) {
			this.doneSteps++;
			unblockSteps();
		}
	}

	boolean isStepDone(int number) {
		return this.unfinishedTasks[number] == 0;
	}

	boolean isDone() {
		for (int unfinished : this.unfinishedTasks) {
			if (unfinished > 0) {
				return false;
			}
		}
		return true;
	}

	// Records that an order to start one of its tasks is sent.
	void startSent() {
		this.mayHaveBegun = true;
	}

	// Records that a run of one of its tasks has begun.
	void runBegan() {
		this.mayHaveBegun = true;
		this.begun = true;
	}

	boolean mayHaveBegun() {
		return this.mayHaveBegun;
	}

	boolean hasBegun() {
		return this.begun;
	}

	// Applies the progress that an earlier scheduler saved.
	void restore(JobProgress progress) {
		for (int number = 0; number < Math.min(progress.steps().size(), this.steps.size()); number++) {
			StepProgress step = progress.steps().get(number);
			if (step.showsRun()) {
				runBegan();
			}
			List<TaskEntity> tasks = this.steps.get(number);
			step.failures().forEach((index, failures) -> {
				tasks.get(index).failures = failures;
				tasks.get(index).attemptKnown(failures.highestAttempt());
			});
			step.checkpoints().forEach((index, checkpoint) -> tasks.get(index).checkpoint = checkpoint);
			step.crashes().forEach((index, crashes) -> tasks.get(index).crashes = crashes);
			step.done().stream().forEach((index) -> {
				TaskEntity task = tasks.get(index);
				if (task.state == TaskEntity.State.WAITING) {
					this.waitingTasks--;
				}
				taskDone(task);
			});
		}
	}

	// Returns the failed runs that count for a task; those of a gang count for all of its
	// tasks.
	FailedRuns failures(TaskEntity task) {
		return holderOfFailures(task).failures;
	}

	/**
	 * Counts a failed run. A gang counts one failure for each attempt.
	 * @param task its task
	 * @param attempt its attempt
	 * @return false if the failure of the attempt was counted before
	 */
	boolean countFailure(TaskEntity task, int attempt) {
		TaskEntity holder = holderOfFailures(task);
		FailedRuns before = holder.failures;
		holder.failures = before.plus(attempt);
		return holder.failures != before;
	}

	private TaskEntity holderOfFailures(TaskEntity task) {
		return task.step().has(StepTrait.GANG) ? this.steps.get(task.name().step()).get(0) : task;
	}

	JobProgress progress() {
		return new JobProgress(StoredState.OPEN, 0, this.steps.stream().map(JobEntity::progress).toList());
	}

	private static StepProgress progress(List<TaskEntity> tasks) {
		BitSet done = new BitSet();
		Map<Integer, FailedRuns> failures = new HashMap<>();
		Map<Integer, String> checkpoints = new HashMap<>();
		Map<Integer, CrashHistory> crashes = new HashMap<>();
		for (TaskEntity task : tasks) {
			int index = task.name().index();
			if (task.state == TaskEntity.State.DONE) {
				done.set(index);
				continue;
			}
			if (!task.failures.isEmpty()) {
				failures.put(index, task.failures);
			}
			if (!task.checkpoint.isEmpty()) {
				checkpoints.put(index, task.checkpoint);
			}
			if (task.crashes.isSuspect()) {
				crashes.put(index, task.crashes);
			}
		}
		return new StepProgress(done, failures, checkpoints, crashes);
	}

	/**
	 * Returns until when its end is of use to its caller.
	 * @param durationFactor how many times longer than expected its tasks take; its
	 * objective grows with their duration
	 * @return the time, nanoseconds since the Unix epoch
	 */
	long usefulEndNanos(double durationFactor) {
		return this.arrivalNanos
				+ QueueTerms.USEFUL_FACTOR * this.spec.terms().objectiveNanos(this.workNanos * durationFactor);
	}

	// Returns the current runs of its tasks.
	List<RunEntity> runs() {
		return this.steps.stream().flatMap(List::stream).map((task) -> task.run).filter(Objects::nonNull).toList();
	}

	TaskEntity find(TaskName name) {
		if (name.occurrence() != 0 || name.step() < 0 || name.step() >= this.steps.size()) {
			return null;
		}
		List<TaskEntity> tasks = this.steps.get(name.step());
		return (name.index() >= 0 && name.index() < tasks.size()) ? tasks.get(name.index()) : null;
	}

	JobId id() {
		return this.spec.id();
	}

	JobSpec spec() {
		return this.spec;
	}

	// Returns the time after which its end is of no use to its caller.
	long usefulEndNanos() {
		return this.arrivalNanos + QueueTerms.USEFUL_FACTOR * (this.objectiveEndNanos - this.arrivalNanos);
	}

	// Returns the lowest demand of its tasks, in thousandths of a core.
	int minCpuMillis() {
		return this.minCpuMillis;
	}

	long sequence() {
		return this.sequence;
	}

	long arrivalNanos() {
		return this.arrivalNanos;
	}

	List<List<TaskEntity>> steps() {
		return this.steps;
	}

}
