package org.limpetgate.scheduling;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.limpetgate.HostId;
import org.limpetgate.JobId;

/**
 * Takes jobs, places their tasks, and ends them.
 * <p>
 * Invariants: a task starts only while no other run of it may be present on any worker; a
 * job that is refused has started nothing; a job that is not stored ends once, and a
 * stored one starts only when its acceptance is saved. Not thread-safe.
 */
final class JobSystem implements RunListener {

	// The attempts of an earlier scheduler are not known; a few at once are skipped.
	private static final int ATTEMPT_JUMP = 4;

	/** More stored jobs than this would not fit into the memory of a host. */
	private static final int MAX_STORED_JOBS = 20_000;

	private static final long MIN_RESTART_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final int MAX_RESTART_DOUBLINGS = 4;

	/** A perpetual task that ran for this long is restarted at once. */
	private static final long STABLE_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final SchedulerTables tables;

	private final Admission admission;

	private final StoredJobSystem stored;

	private final RunSystem runs;

	private final GangSystem gangs;

	private final PlacementSystem placements;

	private long sequence;

	JobSystem(SchedulerTables tables, Placement placement, QueueOrder order) {
		this.tables = tables;
		this.admission = new Admission(tables, order);
		this.stored = new StoredJobSystem(tables);
		this.runs = new RunSystem(tables, this);
		this.gangs = new GangSystem(tables, placement, this.runs);
		this.placements = new PlacementSystem(tables, placement, order, this.runs, this.gangs);
	}

	void connect(Verification workers) {
		this.placements.connect(workers);
	}

	RunSystem runs() {
		return this.runs;
	}

	StoredJobSystem stored() {
		return this.stored;
	}

	void deactivate() {
		List<JobEntity> open = List.copyOf(this.tables.jobs.values());
		this.tables.jobs.clear();
		this.tables.waiting.clear();
		this.stored.close();
		for (JobEntity job : open) {
			job.ended = true;
			notifyOrigins(job, JobOutcome.MOVED, "the host no longer schedules", 0);
		}
	}

	void submit(HostId origin, JobSpec spec, long waitedNanos, long remainingNanos, boolean resubmitted,
			long nowNanos) {
		JobEntity known = this.tables.jobs.get(spec.id());
		if (spec.stored()) {
			submitStored(origin, spec, known, waitedNanos, nowNanos);
			return;
		}
		if (known != null) {
			known.origins.add(origin);
			return;
		}
		JobEntity job = new JobEntity(spec, this.sequence++, nowNanos - waitedNanos);
		job.origins.add(origin);
		job.resubmitted = resubmitted;
		job.submittedNanos = nowNanos;
		this.admission.measure(job, remainingNanos, nowNanos);
		if (!resubmitted && !this.admission.isPossible(spec)) {
			refuseImpossible(job);
			return;
		}
		long wait = this.admission.waitNanos(job, this.tables.waiting, nowNanos);
		if (!resubmitted && nowNanos + wait > job.latestStartNanos) {
			notifyOrigins(job, JobOutcome.REFUSED, "the queue is longer than the job can wait",
					Admission.retryAfter(wait));
			return;
		}
		this.tables.jobs.put(spec.id(), job);
		this.tables.waiting.add(job);
		if (resubmitted) {
			verifyWorkers(nowNanos);
		}
		this.runs.claimRuns(job, nowNanos);
		this.tables.placementDue = true;
	}

	private void refuseImpossible(JobEntity job) {
		notifyOrigins(job, JobOutcome.REFUSED, "no worker is large enough or has the required label",
				Admission.MAX_RETRY_AFTER_NANOS);
	}

	private void verifyWorkers(long nowNanos) {
		this.tables.verifyNanos = nowNanos;
		this.tables.scanDue = true;
	}

	private void submitStored(HostId origin, JobSpec spec, JobEntity known, long waitedNanos, long nowNanos) {
		JobEntity job = (known != null) ? known : new JobEntity(spec, this.sequence++, nowNanos - waitedNanos);
		job.origins.add(origin);
		if (this.stored.hasEnded(spec.id()) || job.saved) {
			notifyAccepted(job);
		}
		else if (!this.stored.isOpen()) {
			notifyOrigins(job, JobOutcome.REFUSED, "jobs that must be kept cannot be stored at present",
					TimeUnit.SECONDS.toNanos(1));
		}
		else if (known == null && this.tables.jobs.size() >= MAX_STORED_JOBS) {
			notifyOrigins(job, JobOutcome.REFUSED, "too many jobs are open", Admission.MAX_RETRY_AFTER_NANOS);
		}
		else if (known == null && !this.admission.isPossible(spec)) {
			refuseImpossible(job);
		}
		else if (known == null) {
			this.admission.measure(job, 0, nowNanos);
			this.tables.jobs.put(spec.id(), job);
			this.stored.accept(job, (savedNanos) -> accepted(job));
		}
	}

	private void accepted(JobEntity job) {
		if (!job.saved && !job.ended) {
			this.tables.waiting.add(job);
			this.tables.placementDue = true;
		}
		job.saved = true;
		notifyAccepted(job);
	}

	private void notifyAccepted(JobEntity job) {
		notifyOrigins(job, JobOutcome.ACCEPTED, "", 0);
		job.origins.clear();
	}

	// Takes the jobs that an earlier scheduler left in the store.
	void open(List<StoredJob> jobs, long nowNanos) {
		this.stored.open(jobs.stream().filter((job) -> job.progress().state() != StoredState.OPEN).toList());
		for (StoredJob read : jobs) {
			if (read.progress().state() == StoredState.OPEN && read.spec() != null) {
				restore(read, nowNanos);
			}
		}
		this.runs.claimEnds(nowNanos);
		verifyWorkers(nowNanos);
		this.tables.placementDue = true;
	}

	private void restore(StoredJob read, long nowNanos) {
		JobEntity job = new JobEntity(read.spec(), this.sequence++,
				TimeUnit.MILLISECONDS.toNanos(read.acceptedMillis()));
		job.restore(read.progress());
		job.saved = true;
		job.resubmitted = true;
		job.submittedNanos = nowNanos;
		this.admission.measure(job, 0, nowNanos);
		this.tables.jobs.put(job.id(), job);
		this.tables.waiting.add(job);
		this.runs.claimRuns(job, nowNanos);
		if (job.isDone()) {
			end(job, JobOutcome.COMPLETED, "", nowNanos);
		}
	}

	// Gives up the stored jobs, which another scheduler may take from now on.
	void close(long nowNanos) {
		this.stored.close();
		this.runs.listEndsAgain();
		for (JobEntity job : List.copyOf(this.tables.jobs.values())) {
			if (job.spec().stored()) {
				this.tables.jobs.remove(job.id());
				this.tables.waiting.remove(job);
				job.ended = true;
				job.runs().forEach((run) -> run.givenUp = true);
				stopRuns(job, nowNanos);
				notifyOrigins(job, JobOutcome.MOVED, "the host no longer keeps stored jobs", 0);
			}
		}
	}

	void withdraw(HostId origin, JobId id, long nowNanos) {
		JobEntity job = this.tables.jobs.get(id);
		if (job != null && job.origins.remove(origin) && job.origins.isEmpty() && !job.spec().stored()) {
			end(job, null, "", nowNanos);
		}
	}

	void hostLost(HostId origin, long nowNanos) {
		for (JobEntity job : List.copyOf(this.tables.jobs.values())) {
			withdraw(origin, job.id(), nowNanos);
		}
	}

	/**
	 * Cancels a stored job.
	 * @param id the job
	 * @param nowNanos the present time
	 * @return the number of the change with which its end is saved, 0 if it is, or empty
	 * if the job is not known
	 */
	OptionalLong cancel(JobId id, long nowNanos) {
		if (this.stored.hasEnded(id)) {
			return OptionalLong.of(0);
		}
		JobEntity job = this.tables.jobs.get(id);
		if (job == null || !job.spec().stored()) {
			return OptionalLong.empty();
		}
		if (!job.ended) {
			endStored(job, StoredState.CANCELED, nowNanos);
		}
		return OptionalLong.of(job.endChange);
	}

	void tick(long nowNanos) {
		if (!this.tables.isActive()) {
			return;
		}
		if (!this.tables.waiting.isEmpty()) {
			giveUpLate(nowNanos);
			if (this.tables.placementDue) {
				this.tables.placementDue = false;
				this.placements.place(nowNanos);
			}
		}
		this.stored.tick(nowNanos);
	}

	private void giveUpLate(long nowNanos) {
		for (JobEntity job : List.copyOf(this.tables.waiting)) {
			if (!Admission.isLate(job, nowNanos)) {
				continue;
			}
			if (Admission.isToBeRefused(job, nowNanos)) {
				end(job, JobOutcome.REFUSED, "the queue is longer than the job can wait", nowNanos);
			}
			else if (Admission.isToBeGivenUp(job, nowNanos)) {
				end(job, JobOutcome.ABANDONED, "no worker had room in time", nowNanos);
			}
		}
	}

	@Override
	public TaskEntity adopt(WorkerEntity worker, RunId run) {
		JobEntity job = this.tables.jobs.get(run.task().job());
		TaskEntity task = (job != null) ? job.find(run.task()) : null;
		if (task == null || task.state != TaskEntity.State.WAITING) {
			return null;
		}
		job.started = true;
		job.waitingTasks--;
		return task;
	}

	@Override
	public void ended(RunEntity run, RunEnd end, long nowNanos) {
		TaskEntity task = run.task;
		run.task = null;
		if (task == null || task.run != run || task.job().ended) {
			return;
		}
		task.run = null;
		JobEntity job = task.job();
		keepCheckpoint(job, task, run);
		if (task.step().has(StepTrait.PERPETUAL)) {
			restartLater(task, run, nowNanos);
			return;
		}
		if (job.spec().stored() && (end == RunEnd.DONE || end == RunEnd.FAILED)) {
			this.stored.taskEnded(job, run.worker(), run.endNumber);
		}
		if (end == RunEnd.DONE) {
			this.tables.model.done(run, task, nowNanos - run.startedNanos());
			done(job, task, nowNanos);
			return;
		}
		if (end == RunEnd.FAILED) {
			task.failedOn = run.worker();
			if (countFailure(job, task, run.id().attempt(), nowNanos)) {
				return;
			}
		}
		if (end == RunEnd.OLD_ATTEMPT) {
			task.nextAttempt += ATTEMPT_JUMP;
		}
		wait(task);
		if (task.step().has(StepTrait.GANG)) {
			this.gangs.stopOthers(job.steps().get(task.name().step()), nowNanos);
		}
	}

	private static void keepCheckpoint(JobEntity job, TaskEntity task, RunEntity run) {
		if (!task.step().has(StepTrait.CHECKPOINTED) || run.checkpoint.isEmpty()) {
			return;
		}
		task.checkpoint = run.checkpoint;
		if (task.step().has(StepTrait.GANG)) {
			GangSystem.keepCheckpoint(job.steps().get(task.name().step()), run.checkpoint);
		}
	}

	private void wait(TaskEntity task) {
		task.state = TaskEntity.State.WAITING;
		task.job().waitingTasks++;
		this.tables.waiting.add(task.job());
		this.tables.placementDue = true;
	}

	private void restartLater(TaskEntity task, RunEntity run, long nowNanos) {
		if (nowNanos - run.startedNanos() > STABLE_NANOS) {
			task.restarts = 0;
		}
		long delay = (task.restarts == 0) ? 0 : MIN_RESTART_NANOS << Math.min(task.restarts - 1, MAX_RESTART_DOUBLINGS);
		task.restarts++;
		task.notBeforeNanos = nowNanos + delay;
		wait(task);
	}

	// Returns whether the job has failed with it. A gang fails once for each attempt.
	private boolean countFailure(JobEntity job, TaskEntity task, int attempt, long nowNanos) {
		TaskEntity counted = task.step().has(StepTrait.GANG) ? job.steps().get(task.name().step()).get(0) : task;
		if (counted.step().has(StepTrait.GANG) && attempt <= counted.failedAttempt) {
			return false;
		}
		counted.failedAttempt = attempt;
		counted.failures++;
		if (counted.failures < job.spec().terms().attempts()) {
			return false;
		}
		end(job, JobOutcome.FAILED, "task " + task.name() + " failed " + counted.failures + " times", nowNanos);
		return true;
	}

	@Override
	public void endedBefore(WorkerEntity worker, WorkerReport.Ended ended, long nowNanos) {
		JobEntity job = this.tables.jobs.get(ended.run().task().job());
		TaskEntity task = (job != null) ? job.find(ended.run().task()) : null;
		if (task == null || job.ended || !job.spec().stored() || task.state == TaskEntity.State.DONE
				|| task.step().has(StepTrait.PERPETUAL)) {
			return;
		}
		this.stored.taskEnded(job, worker, ended.number());
		job.started = true;
		if (ended.kind() == WorkerReport.EndKind.FAILED) {
			countFailure(job, task, ended.run().attempt(), nowNanos);
			return;
		}
		if (task.state == TaskEntity.State.WAITING) {
			job.waitingTasks--;
		}
		if (task.run != null) {
			RunEntity needless = task.run;
			task.run = null;
			needless.task = null;
			this.runs.stop(needless, nowNanos);
		}
		done(job, task, nowNanos);
	}

	private void done(JobEntity job, TaskEntity task, long nowNanos) {
		job.done(task);
		if (task.step().has(StepTrait.GANG)) {
			this.gangs.done(job, job.steps().get(task.name().step()));
		}
		if (job.isDone()) {
			end(job, JobOutcome.COMPLETED, "", nowNanos);
		}
		else if (job.waitingTasks > 0) {
			this.tables.waiting.add(job);
			this.tables.placementDue = true;
		}
	}

	private void end(JobEntity job, JobOutcome outcome, String reason, long nowNanos) {
		if (job.spec().stored()) {
			endStored(job, (outcome == JobOutcome.FAILED) ? StoredState.FAILED : StoredState.COMPLETED, nowNanos);
			return;
		}
		this.tables.jobs.remove(job.id());
		this.tables.waiting.remove(job);
		job.ended = true;
		stopRuns(job, nowNanos);
		if (outcome != null) {
			notifyOrigins(job, outcome, reason,
					(outcome == JobOutcome.REFUSED) ? Admission.retryAfter(nowNanos - job.arrivalNanos()) : 0);
		}
	}

	private void endStored(JobEntity job, StoredState state, long nowNanos) {
		this.tables.waiting.remove(job);
		job.ended = true;
		stopRuns(job, nowNanos);
		job.endChange = this.stored.jobEnded(job, state, nowNanos);
	}

	private void stopRuns(JobEntity job, long nowNanos) {
		job.runs().forEach((run) -> this.runs.stop(run, nowNanos));
	}

	private void notifyOrigins(JobEntity job, JobOutcome outcome, String reason, long retryAfterNanos) {
		for (HostId origin : job.origins) {
			this.tables.emit(new SchedulingEffect.JobEnded(origin, job.id(), outcome, reason, retryAfterNanos));
		}
	}

	int waitingJobs() {
		return this.tables.waiting.size();
	}

	// Returns the number of stored jobs of a queue of which no task has started.
	int pendingJobs(String queue) {
		return (int) this.tables.jobs.values()
			.stream()
			.filter((job) -> job.saved && !job.started && !job.ended && job.spec().queue().equals(queue))
			.count();
	}

	boolean hasStoredJobs() {
		return this.tables.jobs.values().stream().anyMatch((job) -> job.spec().stored());
	}

}
