package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.scheduling.SchedulingEffect.StopRun;

/**
 * Admits jobs, has their tasks placed, handles the ends of their runs, and ends the jobs.
 * <p>
 * Invariants: a task starts only while no other run of it may be present on any worker;
 * no task of a refused job has started; a job that is not stored ends exactly once; a
 * stored job starts only after its acceptance is saved. Not thread-safe.
 */
final class JobSystem implements RunListener {

	// Added to the attempt number after a worker rejects it as too low. The attempts of
	// an earlier scheduler are unknown, so several numbers are skipped at once.
	private static final int ATTEMPT_INCREMENT = 4;

	/**
	 * The limit of open jobs above which stored jobs are refused; more would not fit into
	 * the memory of a host.
	 */
	private static final int MAX_STORED_JOBS = 20_000;

	private final SchedulerTables tables;

	private final Admission admission;

	private final RefusalRule refusals;

	private final StoredJobSystem storedJobs;

	private final RunSystem runs;

	private final GangSystem gangs;

	private final PreemptionSystem preemptions;

	private final PlacementSystem placements;

	private final CrashSystem crashes;

	private final MoveSystem moves;

	private long nextSequence;

	JobSystem(SchedulerTables tables, Placement placement, QueueOrder order) {
		this.tables = tables;
		this.admission = new Admission(tables, order);
		this.refusals = (tables.settings.policy().refusal() == SchedulingPolicy.RefusalKind.PROJECTED)
				? new ProjectedRefusal(tables, order) : new LatestStartRefusal(tables, this.admission);
		this.storedJobs = new StoredJobSystem(tables);
		this.crashes = new CrashSystem(tables, this.storedJobs::progressChanged);
		this.runs = new RunSystem(tables, this);
		this.gangs = new GangSystem(tables, placement, this.runs);
		this.preemptions = new PreemptionSystem(tables, this.runs, (job, endNanos) -> job.cost.ofEndAt(endNanos));
		this.placements = new PlacementSystem(tables, placement, order, this.runs, this.gangs, this.preemptions);
		this.moves = new MoveSystem(tables, placement, this.runs);
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

	StoredJobSystem storedJobs() {
		return this.storedJobs;
	}

	void deactivate() {
		List<JobEntity> openJobs = List.copyOf(this.tables.jobs.values());
		this.tables.jobs.clear();
		this.tables.waitingJobs.clear();
		this.storedJobs.clear();
		this.crashes.clear();
		this.preemptions.clear();
		for (JobEntity job : openJobs) {
			job.ended = true;
			notifyOrigins(job, JobOutcome.MOVED, "the host is no longer the active scheduler", 0);
		}
	}

	void submit(HostId origin, JobSpec spec, long waitedNanos, long remainingNanos, EarlierSubmission earlier,
			long nowNanos) {
		JobEntity existing = this.tables.jobs.get(spec.id());
		if (spec.stored()) {
			submitStored(origin, spec, existing, waitedNanos, nowNanos);
			return;
		}
		if (existing != null) {
			existing.origins.add(origin);
			recordEarlierSubmission(existing, earlier, nowNanos);
			return;
		}
		JobEntity job = new JobEntity(spec, this.nextSequence++, nowNanos - waitedNanos);
		job.origins.add(origin);
		boolean resubmitted = earlier.mayHaveRun();
		this.admission.computeTimes(job, remainingNanos, nowNanos);
		if (!resubmitted && !this.admission.isFeasible(spec)) {
			refuseInfeasible(job);
			return;
		}
		RefusalRule.Refusal refusal = resubmitted ? null : this.refusals.onSubmission(job, nowNanos);
		if (refusal != null) {
			notifyOrigins(job, JobOutcome.REFUSED, refusal.message(), refusal.retryAfterNanos());
			return;
		}
		this.tables.jobs.put(spec.id(), job);
		this.tables.waitingJobs.add(job);
		recordEarlierSubmission(job, earlier, nowNanos);
		this.runs.adoptRuns(job, nowNanos);
		this.tables.placementDue = true;
	}

	private void recordEarlierSubmission(JobEntity job, EarlierSubmission earlier, long nowNanos) {
		if (earlier.mayHaveRun()) {
			job.resubmitted = true;
			job.handedOverNanos = Math.max(job.handedOverNanos, nowNanos + earlier.heldNanos());
			job.earlierListNanos = Math.min(job.earlierListNanos, nowNanos - earlier.listAgeNanos());
			verifyWorkers(nowNanos);
		}
	}

	private void refuseInfeasible(JobEntity job) {
		notifyOrigins(job, JobOutcome.REFUSED, Admission.INFEASIBLE, Admission.MAX_RETRY_AFTER_NANOS);
	}

	// Refuses the waiting jobs that can no longer be served after the drains have
	// changed.
	void drainsChanged(long nowNanos) {
		if (this.tables.isActive()) {
			this.admission.reevaluate(nowNanos).forEach((refusal) -> refuse(refusal, nowNanos));
		}
	}

	private void verifyWorkers(long nowNanos) {
		this.tables.verifySinceNanos = nowNanos;
		this.tables.scanDue = true;
	}

	private void submitStored(HostId origin, JobSpec spec, JobEntity existing, long waitedNanos, long nowNanos) {
		JobEntity job = (existing != null) ? existing
				: new JobEntity(spec, this.nextSequence++, nowNanos - waitedNanos);
		job.origins.add(origin);
		if (this.storedJobs.hasEnded(spec.id()) || job.acceptanceSaved) {
			notifyAccepted(job);
		}
		else if (!this.storedJobs.isLoaded()) {
			notifyOrigins(job, JobOutcome.REFUSED, "the job store is unavailable", TimeUnit.SECONDS.toNanos(1));
		}
		else if (existing == null && this.tables.jobs.size() >= MAX_STORED_JOBS) {
			notifyOrigins(job, JobOutcome.REFUSED, "too many jobs are open", Admission.MAX_RETRY_AFTER_NANOS);
		}
		else if (existing == null && !this.admission.isFeasible(spec)) {
			refuseInfeasible(job);
		}
		else if (existing == null) {
			this.admission.computeTimes(job, 0, nowNanos);
			this.tables.jobs.put(spec.id(), job);
			this.storedJobs.saveAcceptance(job, (savedNanos) -> acceptanceSaved(job));
		}
	}

	private void acceptanceSaved(JobEntity job) {
		if (!job.acceptanceSaved && !job.ended) {
			this.tables.waitingJobs.add(job);
			this.tables.placementDue = true;
		}
		job.acceptanceSaved = true;
		notifyAccepted(job);
	}

	private void notifyAccepted(JobEntity job) {
		notifyOrigins(job, JobOutcome.ACCEPTED, "", 0);
		job.origins.clear();
	}

	// Takes over the stored jobs that an earlier scheduler left.
	void loadStoredJobs(List<StoredJob> stored, long nowNanos) {
		this.storedJobs.load(stored.stream().filter((job) -> job.progress().state() != StoredState.OPEN).toList(),
				nowNanos);
		for (StoredJob storedJob : stored) {
			if (storedJob.progress().state() == StoredState.OPEN && storedJob.spec() != null) {
				restore(storedJob, nowNanos);
			}
		}
		this.runs.applyDeferredEnds(nowNanos);
		verifyWorkers(nowNanos);
		this.tables.placementDue = true;
	}

	private void restore(StoredJob storedJob, long nowNanos) {
		JobEntity job = new JobEntity(storedJob.spec(), this.nextSequence++,
				TimeUnit.MILLISECONDS.toNanos(storedJob.acceptedMillis()));
		job.restore(storedJob.progress());
		job.acceptanceSaved = true;
		job.resubmitted = true;
		job.handedOverNanos = nowNanos;
		this.admission.computeTimes(job, 0, nowNanos);
		this.tables.jobs.put(job.id(), job);
		this.tables.waitingJobs.add(job);
		this.crashes.restored(job, nowNanos);
		this.runs.adoptRuns(job, nowNanos);
		if (job.isDone()) {
			end(job, JobOutcome.COMPLETED, "", nowNanos);
		}
	}

	// Releases the stored jobs; another scheduler may take them over from now on.
	void releaseStoredJobs(long nowNanos) {
		this.storedJobs.clear();
		this.runs.forgetUnsavedEnds();
		for (JobEntity job : List.copyOf(this.tables.jobs.values())) {
			if (job.spec().stored()) {
				this.tables.jobs.remove(job.id());
				this.tables.waitingJobs.remove(job);
				job.ended = true;
				job.runs().forEach((run) -> run.released = true);
				stopRuns(job, StopRun.Reason.JOB_RELEASED, nowNanos);
				notifyOrigins(job, JobOutcome.MOVED, "the host has lost ownership of the stored jobs", 0);
			}
		}
	}

	void withdraw(HostId origin, JobId id, long nowNanos) {
		JobEntity job = this.tables.jobs.get(id);
		if (job != null && job.removeOrigin(origin, this.tables.heartbeats, nowNanos) && job.origins.isEmpty()
				&& !job.spec().stored()) {
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
			endStored(job, StoredState.CANCELED, nowNanos);
		}
		return OptionalLong.of(job.endChange);
	}

	void tick(long nowNanos) {
		if (!this.tables.isActive()) {
			return;
		}
		this.runs.applyDeferredEnds(nowNanos);
		this.crashes.tick(nowNanos);
		this.crashes.takeDeadlyTasks().forEach((task) -> giveUp(task, nowNanos));
		if (!this.tables.waitingJobs.isEmpty()) {
			endLateJobs(nowNanos);
			if (this.tables.placementDue) {
				this.tables.placementDue = false;
				this.placements.place(nowNanos);
			}
			this.refusals.afterPlacement(nowNanos).forEach((refusal) -> refuse(refusal, nowNanos));
		}
		this.moves.tick(nowNanos);
		this.storedJobs.tick(nowNanos);
	}

	private void giveUp(TaskEntity task, long nowNanos) {
		if (!task.job().ended) {
			String reason = "task " + task.name() + " crashed " + task.crashes.crashes() + " workers"
					+ unconfirmed(task.crashes);
			end(task.job(), JobOutcome.FAILED, reason, nowNanos);
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
				refuse(refusal, nowNanos);
			}
			else if (Admission.shouldAbandon(job, nowNanos)) {
				end(job, JobOutcome.ABANDONED, "no worker had free capacity in time", nowNanos);
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
		job.started = true;
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
		end(job, JobOutcome.FAILED, "task " + task.name() + " failed " + job.failures(task).count() + " times",
				nowNanos);
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
		job.started = true;
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
			end(job, JobOutcome.COMPLETED, "", nowNanos);
		}
		else if (job.waitingTasks > 0) {
			this.tables.waitingJobs.add(job);
			this.tables.placementDue = true;
		}
	}

	private void refuse(RefusalRule.Refusal refusal, long nowNanos) {
		end(refusal.job(), JobOutcome.REFUSED, refusal.message(), refusal.retryAfterNanos(), nowNanos);
	}

	private void end(JobEntity job, JobOutcome outcome, String reason, long nowNanos) {
		end(job, outcome, reason, 0, nowNanos);
	}

	private void end(JobEntity job, JobOutcome outcome, String reason, long retryAfterNanos, long nowNanos) {
		if (job.spec().stored()) {
			endStored(job, (outcome == JobOutcome.FAILED) ? StoredState.FAILED : StoredState.COMPLETED, nowNanos);
			return;
		}
		this.tables.jobs.remove(job.id());
		this.tables.waitingJobs.remove(job);
		job.end(this.tables.heartbeats, nowNanos);
		stopRuns(job, (outcome != null) ? StopRun.Reason.JOB_ENDED : StopRun.Reason.JOB_WITHDRAWN, nowNanos);
		if (outcome != null) {
			notifyOrigins(job, outcome, reason, retryAfterNanos);
		}
	}

	private void endStored(JobEntity job, StoredState state, long nowNanos) {
		this.tables.waitingJobs.remove(job);
		job.end(this.tables.heartbeats, nowNanos);
		stopRuns(job, StopRun.Reason.JOB_ENDED, nowNanos);
		job.endChange = this.storedJobs.jobEnded(job, state, nowNanos);
	}

	private void stopRuns(JobEntity job, StopRun.Reason reason, long nowNanos) {
		job.runs().forEach((run) -> this.runs.stop(run, reason, nowNanos));
	}

	private void notifyOrigins(JobEntity job, JobOutcome outcome, String reason, long retryAfterNanos) {
		for (HostId origin : job.origins) {
			this.tables.emit(new SchedulingEffect.JobEnded(origin, job.id(), outcome, reason, retryAfterNanos));
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
			.filter((job) -> job.acceptanceSaved && !job.started && !job.ended && job.spec().queue().equals(queue))
			.count();
	}

	boolean hasStoredJobs() {
		return this.tables.jobs.values().stream().anyMatch((job) -> job.spec().stored());
	}

}
