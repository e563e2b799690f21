package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.scheduling.SchedulingEffect.StopRun;

/**
 * Has the tasks of open jobs placed, handles the ends of their runs, and decides when a
 * job ends.
 * <p>
 * Invariants: a task starts only while no other run of it may be present on any worker; a
 * job that is not stored ends exactly once. Not thread-safe.
 */
final class JobSystem implements RunListener {

	// Added to the attempt number after a worker rejects it as too low. The attempts of
	// an earlier scheduler are unknown, so several numbers are skipped at once.
	private static final int ATTEMPT_INCREMENT = 4;

	private final SchedulerTables tables;

	private final Admission admission;

	private final RefusalRule refusals;

	private final StoredJobSystem storedJobs;

	private final WorkerRecordSystem workerRecords;

	private final RunSystem runs;

	private final GangSystem gangs;

	private final PreemptionSystem preemptions;

	private final PlacementSystem placements;

	private final CrashSystem crashes;

	private final MoveSystem moves;

	private final JobEndSystem jobEnds;

	private final SubmissionSystem submissions;

	JobSystem(SchedulerTables tables, Placement placement, QueueOrder order) {
		this.tables = tables;
		this.admission = new Admission(tables, order);
		this.refusals = (tables.settings.policy().refusal() == SchedulingPolicy.RefusalKind.PROJECTED)
				? new ProjectedRefusal(tables, order) : new LatestStartRefusal(tables, this.admission);
		this.storedJobs = new StoredJobSystem(tables);
		this.workerRecords = new WorkerRecordSystem(tables, this.storedJobs);
		this.crashes = new CrashSystem(tables, this.storedJobs::progressChanged);
		this.runs = new RunSystem(tables, this);
		this.gangs = new GangSystem(tables, placement, this.runs);
		this.preemptions = new PreemptionSystem(tables, this.runs, (job, endNanos) -> job.cost.ofEndAt(endNanos));
		this.placements = new PlacementSystem(tables, placement, order, this.runs, this.gangs, this.preemptions);
		this.moves = new MoveSystem(tables, placement, this.runs);
		this.jobEnds = new JobEndSystem(tables, this.storedJobs, this.runs);
		this.submissions = new SubmissionSystem(tables, this.admission, this.refusals, this.storedJobs, this.runs,
				this.crashes, this.jobEnds);
	}

	void connect(Verification verification) {
		this.placements.connect(verification);
	}

	RunSystem runs() {
		return this.runs;
	}

	CrashSystem crashes() {
		return this.crashes;
	}

	MoveSystem moves() {
		return this.moves;
	}

	SubmissionSystem submissions() {
		return this.submissions;
	}

	StoredJobSystem storedJobs() {
		return this.storedJobs;
	}

	WorkerRecordSystem workerRecords() {
		return this.workerRecords;
	}

	void deactivate() {
		List<JobEntity> openJobs = List.copyOf(this.tables.jobs.values());
		this.tables.jobs.clear();
		this.tables.waitingJobs.clear();
		this.storedJobs.clear();
		this.workerRecords.clear();
		this.crashes.clear();
		this.preemptions.clear();
		for (JobEntity job : openJobs) {
			job.ended = true;
			this.jobEnds.notifyOrigins(job, JobOutcome.MOVED, "the host is no longer the active scheduler", 0);
		}
	}

	// Refuses the waiting jobs that can no longer be served after the drains have
	// changed.
	void drainsChanged(long nowNanos) {
		if (this.tables.isActive()) {
			this.admission.reevaluate(nowNanos).forEach((refusal) -> this.jobEnds.refuse(refusal, nowNanos));
		}
	}

	// Releases the stored jobs; another scheduler may take them over from now on.
	void releaseStoredJobs(long nowNanos) {
		this.storedJobs.clear();
		this.workerRecords.clear();
		this.runs.forgetUnsavedEnds();
		for (JobEntity job : List.copyOf(this.tables.jobs.values())) {
			if (job.spec().stored()) {
				this.tables.jobs.remove(job.id());
				this.tables.waitingJobs.remove(job);
				job.ended = true;
				job.runs().forEach((run) -> run.released = true);
				this.jobEnds.stopRuns(job, StopRun.Reason.JOB_RELEASED, nowNanos);
				this.jobEnds.notifyOrigins(job, JobOutcome.MOVED, "the host has lost ownership of the stored jobs", 0);
			}
		}
	}

	void withdraw(HostId origin, JobId id, long nowNanos) {
		JobEntity job = this.tables.jobs.get(id);
		if (job != null && job.removeOrigin(origin, this.tables.heartbeats, nowNanos) && job.origins.isEmpty()
				&& !job.spec().stored()) {
			this.jobEnds.end(job, null, "", nowNanos);
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
	 * @param nowNanos the current time
	 * @return the sequence number of the change that saves its end, 0 if the end is
	 * already saved, or empty if the job is unknown
	 */
	OptionalLong cancel(JobId id, long nowNanos) {
		if (this.storedJobs.hasEnded(id)) {
			return OptionalLong.of(0);
		}
		JobEntity job = this.tables.jobs.get(id);
		if (job == null || !job.spec().stored()) {
			return OptionalLong.empty();
		}
		if (!job.ended) {
			this.jobEnds.endStored(job, StoredState.CANCELED, nowNanos);
		}
		return OptionalLong.of(job.endChange);
	}

	void tick(long nowNanos) {
		if (!this.tables.isActive()) {
			return;
		}
		this.runs.applyDeferredEnds(nowNanos);
		this.workerRecords.tick(nowNanos);
		this.crashes.tick(nowNanos);
		this.crashes.takeDeadlyTasks().forEach((task) -> giveUp(task, nowNanos));
		if (!this.tables.waitingJobs.isEmpty()) {
			endLateJobs(nowNanos);
			if (this.tables.placementDue) {
				this.tables.placementDue = false;
				this.placements.place(nowNanos);
			}
			this.refusals.afterPlacement(nowNanos).forEach((refusal) -> this.jobEnds.refuse(refusal, nowNanos));
		}
		this.moves.tick(nowNanos);
		this.storedJobs.tick(nowNanos);
	}

	private void giveUp(TaskEntity task, long nowNanos) {
		if (!task.job().ended) {
			String reason = "task " + task.name() + " crashed " + task.crashes.crashes() + " workers"
					+ unconfirmed(task.crashes);
			this.jobEnds.end(task.job(), JobOutcome.FAILED, reason, nowNanos);
		}
	}

	private static String unconfirmed(CrashHistory history) {
		return (history.unconfirmedCrashes() > 0) ? ", and perhaps " + history.unconfirmedCrashes() + " more" : "";
	}

	private void endLateJobs(long nowNanos) {
		List<JobEntity> lateJobs = new ArrayList<>();
		for (JobEntity job : this.tables.waitingJobs) {
			if (Admission.isLate(job, nowNanos)) {
				lateJobs.add(job);
			}
		}
		for (JobEntity job : lateJobs) {
			RefusalRule.Refusal refusal = this.refusals.onLateness(job, nowNanos);
			if (refusal != null) {
				this.jobEnds.refuse(refusal, nowNanos);
			}
			else if (Admission.shouldAbandon(job, nowNanos)) {
				this.jobEnds.end(job, JobOutcome.ABANDONED, "no worker had free capacity in time", nowNanos);
			}
		}
	}

	@Override
	public TaskEntity adoptRun(WorkerEntity worker, RunId run) {
		JobEntity job = this.tables.jobs.get(run.task().job());
		TaskEntity task = (job != null) ? job.find(run.task()) : null;
		if (task == null || task.state != TaskEntity.State.WAITING) {
			return null;
		}
		job.runBegan();
		job.waitingTasks--;
		return task;
	}

	@Override
	public void runEnded(RunEntity run, RunEnd end, long nowNanos) {
		TaskEntity task = run.task;
		run.task = null;
		this.preemptions.runEnded(run, end, nowNanos);
		if (task == null || task.job().ended) {
			this.storedJobs.endRepeated(run.job(), run.worker(), run.endSequence);
		}
		if (task == null || task.run != run || task.job().ended) {
			return;
		}
		task.run = null;
		JobEntity job = task.job();
		keepCheckpoint(job, task, run);
		this.crashes.runEnded(run, task, end, nowNanos);
		if (task.step().has(StepTrait.PERPETUAL)) {
			restartLater(task, run, nowNanos);
			return;
		}
		if (job.spec().stored() && (end == RunEnd.DONE || end == RunEnd.FAILED)) {
			this.storedJobs.taskEnded(job, run.worker(), run.endSequence);
		}
		if (end == RunEnd.DONE) {
			this.admission.taskServed(task);
			this.tables.runTimeModel.recordDone(run, task, nowNanos - run.startedNanos());
			taskDone(job, task, nowNanos);
			return;
		}
		if (end == RunEnd.FAILED) {
			task.failedOn = run.worker();
			if (countFailure(job, task, run.id().attempt(), nowNanos)) {
				return;
			}
		}
		if (end == RunEnd.OLD_ATTEMPT) {
			task.nextAttempt += ATTEMPT_INCREMENT;
		}
		requeue(task);
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
			GangSystem.shareCheckpoint(job.steps().get(task.name().step()), run.checkpoint);
		}
	}

	private void requeue(TaskEntity task) {
		task.state = TaskEntity.State.WAITING;
		task.job().ordinary = false;
		task.job().waitingTasks++;
		this.tables.waitingJobs.add(task.job());
		this.tables.placementDue = true;
	}

	private void restartLater(TaskEntity task, RunEntity run, long nowNanos) {
		RestartBackoff.apply(task, nowNanos - run.startedNanos(), nowNanos);
		requeue(task);
	}

	// Counts a failed run and returns whether the job failed as a result.
	private boolean countFailure(JobEntity job, TaskEntity task, int attempt, long nowNanos) {
		if (!job.countFailure(task, attempt) || job.failures(task).count() < job.spec().terms().attempts()) {
			return false;
		}
		this.jobEnds.end(job, JobOutcome.FAILED,
				"task " + task.name() + " failed " + job.failures(task).count() + " times", nowNanos);
		return true;
	}

	@Override
	public void earlierRunEnded(WorkerEntity worker, WorkerReport.Ended ended, long nowNanos) {
		JobEntity job = this.tables.jobs.get(ended.run().task().job());
		TaskEntity task = (job != null) ? job.find(ended.run().task()) : null;
		if (task == null || !job.spec().stored()) {
			return;
		}
		task.attemptKnown(ended.run().attempt());
		if (job.ended || isApplied(job, task, ended)) {
			this.storedJobs.endRepeated(job, worker, ended.number());
			return;
		}
		this.storedJobs.taskEnded(job, worker, ended.number());
		job.runBegan();
		if (ended.kind() == WorkerReport.EndKind.FAILED) {
			countFailure(job, task, ended.run().attempt(), nowNanos);
			return;
		}
		if (task.state == TaskEntity.State.WAITING) {
			job.waitingTasks--;
		}
		if (task.run != null) {
			RunEntity redundantRun = task.run;
			task.run = null;
			redundantRun.task = null;
			this.runs.stop(redundantRun, StopRun.Reason.REDUNDANT, nowNanos);
		}
		taskDone(job, task, nowNanos);
	}

	private static boolean isApplied(JobEntity job, TaskEntity task, WorkerReport.Ended ended) {
		return task.state == TaskEntity.State.DONE || task.step().has(StepTrait.PERPETUAL)
				|| (ended.kind() == WorkerReport.EndKind.FAILED && job.failures(task).includes(ended.run().attempt()));
	}

	private void taskDone(JobEntity job, TaskEntity task, long nowNanos) {
		job.taskDone(task);
		if (task.step().has(StepTrait.GANG)) {
			this.gangs.markDone(job, job.steps().get(task.name().step()));
		}
		if (job.isDone()) {
			this.jobEnds.end(job, JobOutcome.COMPLETED, "", nowNanos);
		}
		else if (job.waitingTasks > 0) {
			this.tables.waitingJobs.add(job);
			this.tables.placementDue = true;
		}
	}

	long nextCheckNanos() {
		return this.refusals.nextCheckNanos();
	}

	int waitingJobs() {
		return this.tables.waitingJobs.size();
	}

	// Returns the number of stored jobs of a queue that have no started task.
	int pendingJobs(String queue) {
		return (int) this.tables.jobs.values()
			.stream()
			.filter((job) -> job.acceptanceSaved && !job.hasBegun() && !job.ended && job.spec().queue().equals(queue))
			.count();
	}

	boolean hasStoredJobs() {
		return this.tables.hasStoredJobs();
	}

}
