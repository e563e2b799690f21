package org.limpetgate.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.RunListener.RunEnd;
import org.limpetgate.scheduling.SchedulingEffect.RunGivenUp;
import org.limpetgate.scheduling.SchedulingEffect.StopRun;
import org.limpetgate.scheduling.WorkerReport.EndKind;

/**
 * Starts and stops runs, tracks them through the reports of their workers, and resolves
 * orders whose answer is missing.
 * <p>
 * Invariants: a run occupies capacity from its start order until the worker no longer
 * reports it, or has confirmed a stop and then no longer reports it; an end that must be
 * saved is not acknowledged to its worker before it is saved. Not thread-safe.
 */
final class RunSystem {

	/**
	 * How long an orphan run of an earlier owner waits for its job to be resubmitted
	 * before it is stopped.
	 */
	private static final long ADOPTION_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	private static final long STOP_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(120);

	/**
	 * The number of unanswered stop orders after which the worker is taken over with a
	 * higher token.
	 */
	private static final int MAX_STOP_ATTEMPTS = 3;

	private static final long SUSPECT_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final long START_FAILURE_SUSPECT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/** The number of consecutive failed runs that make a worker suspect. */
	private static final int SUSPECT_FAILURES = 2;

	// The delay before a worker is taken back from another owner. That owner may need
	// longer to notice that it was replaced, and two owners must not take a worker from
	// each other in quick succession.
	private static final long FENCED_RETRY_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final SchedulerTables tables;

	private final RunListener listener;

	private final LeaseLimits leaseLimits;

	RunSystem(SchedulerTables tables, RunListener listener) {
		this.tables = tables;
		this.listener = listener;
		this.leaseLimits = new LeaseLimits(tables);
	}

	void start(TaskEntity task, WorkerEntity worker, double expectedNanos, long nowNanos) {
		sendStart(reserve(task, worker, task.nextAttempt, expectedNanos, nowNanos), nowNanos);
	}

	// Reserves capacity for a run whose start is not sent yet.
	RunEntity reserve(TaskEntity task, WorkerEntity worker, int attempt, double expectedNanos, long nowNanos) {
		RunEntity run = new RunEntity(new RunId(task.name(), attempt), worker, task.step(), task, nowNanos);
		run.expectedNanos = expectedNanos;
		worker.add(run);
		return run;
	}

	// Frees the capacity of a run whose start was not sent.
	void cancelReservation(RunEntity run) {
		run.worker().remove(run);
	}

	void sendStart(RunEntity run, long nowNanos) {
		TaskEntity task = run.task;
		WorkerEntity worker = run.worker();
		task.nextAttempt = run.id().attempt() + 1;
		task.run = run;
		task.state = TaskEntity.State.ACTIVE;
		this.tables.addRun(task.name());
		this.tables.runTimeModel.recordStart(worker, nowNanos);
		extendLease(worker, nowNanos);
		run.token = worker.token;
		this.tables.changedWorkers.add(worker);
		this.tables.emit(new SchedulingEffect.StartRun(worker.info, run.id(), task.job().spec().payload(),
				task.checkpoint, worker.clock.millis(worker.grantedEndNanos), worker.token));
	}

	/**
	 * Prolongs the lease of a worker as far as its runs allow.
	 * @param worker the worker
	 * @param nowNanos the current time
	 * @return false if the lease stays as it is
	 */
	boolean extendLease(WorkerEntity worker, long nowNanos) {
		long endNanos = this.leaseLimits.latestEndNanos(worker, nowNanos);
		if (endNanos <= Math.max(nowNanos, worker.grantedEndNanos)) {
			return false;
		}
		worker.grantedEndNanos = endNanos;
		worker.renewedNanos = nowNanos;
		return true;
	}

	// Updates the limit of the leases of a job's runs and tests whether runs may start.
	boolean updateLeaseLimit(JobEntity job, long nowNanos) {
		job.leaseLimitNanos = this.leaseLimits.limitNanos(job, nowNanos);
		return this.leaseLimits.isUseful(job.leaseLimitNanos, nowNanos);
	}

	// Stops a run that its task no longer needs, or that must run elsewhere.
	void stop(RunEntity run, StopRun.Reason reason, long nowNanos) {
		if (run.state == RunEntity.State.STARTING || run.state == RunEntity.State.RUNNING) {
			run.enter(RunEntity.State.STOPPING, nowNanos);
			run.stopReason = reason;
			sendStop(run, nowNanos);
		}
	}

	private void sendStop(RunEntity run, long nowNanos) {
		run.stopSentNanos = nowNanos;
		run.stopsSent++;
		run.stopRepeated |= run.stopsSent > 1;
		this.tables.emit(new StopRun(run.worker().info, run.id(), run.worker().token, run.stopReason));
	}

	// The order is compared by its token too, since a run of an earlier activation may
	// have had the same attempt number.
	void startAnswered(SchedulingEffect.StartRun order, StartAnswer answer, long nowNanos) {
		RunId id = order.run();
		WorkerEntity worker = this.tables.workers.get(order.worker().id());
		RunEntity run = (worker != null) ? worker.runs.get(id) : null;
		if (run == null || run.state != RunEntity.State.STARTING || !order.token().equals(run.token)) {
			return;
		}
		this.tables.changedWorkers.add(worker);
		if (answer != StartAnswer.UNKNOWN && answer != StartAnswer.NOT_SENT) {
			this.tables.silentDataCentres.answered(worker, nowNanos);
		}
		switch (answer) {
			case STARTED -> {
				run.confirm();
				run.enter(RunEntity.State.RUNNING, nowNanos);
			}
			case UNKNOWN -> {
				worker.markSuspect(START_FAILURE_SUSPECT_NANOS, nowNanos);
				stop(run, StopRun.Reason.START_UNANSWERED, nowNanos);
			}
			case FENCED -> markFenced(worker, nowNanos);
			case OLD_ATTEMPT -> {
				emitGivenUp(worker, id, RunGivenUp.Reason.START_REJECTED, false, nowNanos);
				finish(run, RunEnd.OLD_ATTEMPT, nowNanos);
			}
			case LEASE_EXPIRED, NO_CAPACITY, REFUSED, OTHER_INCARNATION, NOT_SENT -> {
				worker.markSuspect(START_FAILURE_SUSPECT_NANOS, nowNanos);
				if (answer == StartAnswer.OTHER_INCARNATION) {
					worker.verifySinceNanos = nowNanos;
				}
				emitGivenUp(worker, id, RunGivenUp.Reason.START_REJECTED, false, nowNanos);
				finish(run, RunEnd.REJECTED, nowNanos);
			}
		}
	}

	// The other owner stops or adopts the runs on the worker. They count as present
	// until the report of a takeover lists those that still are.
	static void markFenced(WorkerEntity worker, long nowNanos) {
		worker.fenced = true;
		worker.loseOwnership(nowNanos + FENCED_RETRY_NANOS);
	}

	void stopAnswered(UpstreamId workerId, RunId id, boolean acknowledged, long nowNanos) {
		WorkerEntity worker = this.tables.workers.get(workerId);
		RunEntity run = (worker != null) ? worker.runs.get(id) : null;
		if (run != null && acknowledged && run.state == RunEntity.State.STOPPING) {
			run.enter(RunEntity.State.STOPPED, nowNanos);
			// The pending poll waits for an end and may take long, while the task
			// cannot start again before a report shows that the run has ended.
			worker.verifySinceNanos = nowNanos;
			this.tables.changedWorkers.add(worker);
		}
	}

	// Applies a report. The first one under a new token completes the takeover.
	void applyReport(WorkerEntity worker, WorkerReport report, long sentNanos, long nowNanos) {
		for (WorkerReport.Ended ended : report.ended()) {
			if (ended.number() > worker.lastEndNumber) {
				worker.lastEndNumber = ended.number();
				applyEnd(worker, ended, nowNanos);
			}
		}
		applyRunning(worker, report, sentNanos, nowNanos);
		worker.runsLost = false;
	}

	private void applyEnd(WorkerEntity worker, WorkerReport.Ended ended, long nowNanos) {
		if (worker.orphanRuns.remove(ended.run()) != null) {
			this.tables.removeRun(ended.run().task());
		}
		RunEntity run = worker.runs.get(ended.run());
		if (run == null || run.released) {
			applyEndOfEarlierRun(worker, ended, nowNanos);
			if (run != null) {
				finish(run, RunEnd.LOST, nowNanos);
			}
			return;
		}
		run.confirm();
		run.checkpoint(ended.checkpoint(), nowNanos);
		run.endSequence = ended.number();
		if (ended.kind() == EndKind.DONE) {
			worker.consecutiveFailures = 0;
			worker.suspectUntilNanos = Math.min(worker.suspectUntilNanos, nowNanos);
			finish(run, RunEnd.DONE, nowNanos);
		}
		else if (ended.kind() == EndKind.FAILED) {
			countFailure(worker, run, nowNanos);
			finish(run, RunEnd.FAILED, nowNanos);
		}
		else {
			finish(run, RunEnd.LOST, nowNanos);
		}
	}

	// While the stored jobs are not read yet, or another scheduler may own them, an
	// unknown job may be a stored one, and the end of its run must not be acknowledged.
	private void applyEndOfEarlierRun(WorkerEntity worker, WorkerReport.Ended ended, long nowNanos) {
		JobEntity job = this.tables.jobs.get(ended.run().task().job());
		if (job != null) {
			job.runBegan();
		}
		if (ended.kind() != EndKind.DONE && ended.kind() != EndKind.FAILED) {
			return;
		}
		boolean known = this.tables.storedJobsLoaded && job != null;
		if (known || this.tables.isOwnershipConfirmed(worker)) {
			this.listener.earlierRunEnded(worker, ended, nowNanos);
		}
		else {
			worker.unsavedEnds.add(ended.number());
			worker.deferredEnds.add(ended);
			this.tables.endsDeferred = true;
		}
	}

	// Handles the deferred ends of which it is certain by now whether their jobs are
	// stored.
	void applyDeferredEnds(long nowNanos) {
		if (!this.tables.endsDeferred || !this.tables.storedJobsLoaded) {
			return;
		}
		this.tables.endsDeferred = false;
		for (WorkerEntity worker : this.tables.workers.values()) {
			List<WorkerReport.Ended> ends = List.copyOf(worker.deferredEnds);
			worker.deferredEnds.clear();
			for (WorkerReport.Ended ended : ends) {
				worker.removeUnsavedEnd(ended.number());
				applyEndOfEarlierRun(worker, ended, nowNanos);
			}
		}
	}

	// Discards ends that were not saved; their workers report them again.
	void forgetUnsavedEnds() {
		for (WorkerEntity worker : this.tables.workers.values()) {
			worker.lastEndNumber = worker.ackNumber();
			worker.unsavedEnds.clear();
			worker.deferredEnds.clear();
		}
	}

	// The failure of a task that has failed before does not count against the worker.
	private void countFailure(WorkerEntity worker, RunEntity run, long nowNanos) {
		if (run.task == null || !run.task.failures.isEmpty()) {
			return;
		}
		worker.consecutiveFailures++;
		if (worker.consecutiveFailures >= SUSPECT_FAILURES) {
			worker.markSuspect(SUSPECT_NANOS, nowNanos);
		}
	}

	private void applyRunning(WorkerEntity worker, WorkerReport report, long sentNanos, long nowNanos) {
		Map<RunId, WorkerReport.Running> running = new HashMap<>();
		report.running().forEach((reportedRun) -> running.put(reportedRun.run(), reportedRun));
		for (RunEntity run : List.copyOf(worker.runs.values())) {
			WorkerReport.Running reportedRun = running.remove(run.id());
			if (reportedRun != null) {
				run.markReported();
				run.updateProgress(reportedRun.percent(), nowNanos);
				run.checkpoint(reportedRun.checkpoint(), nowNanos);
				if (run.state == RunEntity.State.STARTING) {
					run.enter(RunEntity.State.RUNNING, nowNanos);
				}
			}
			else if (isProvenLost(run, report, sentNanos)) {
				giveUp(run,
						isOrderedBeforeTakeover(run) ? RunGivenUp.Reason.NOT_IN_TAKEOVER_REPORT
								: RunGivenUp.Reason.NOT_IN_REPORT,
						(run.endWithoutReport != null) ? run.endWithoutReport : RunEnd.LOST, nowNanos);
			}
		}
		for (RunId run : List.copyOf(worker.orphanRuns.keySet())) {
			if (!running.containsKey(run)) {
				giveUpOrphan(worker, run, RunGivenUp.Reason.NOT_IN_REPORT, nowNanos);
			}
		}
		for (WorkerReport.Running reportedRun : running.values()) {
			adoptOrAddOrphan(worker, reportedRun, nowNanos);
		}
	}

	// Tests whether a report that lists neither a run nor its end shows that it has ended
	// without a result. The result of a run of a stored job may be among the ends that a
	// report does not list. A task of another job may start again in any case, since
	// the list of present runs is always complete.
	private static boolean isProvenLost(RunEntity run, WorkerReport report, long pollSentNanos) {
		if (isOrderedBeforeTakeover(run)) {
			return report.endsComplete() || !run.isStored();
		}
		return report.endsComplete() && mustHaveEnded(run, pollSentNanos);
	}

	// Tests whether the present token fences the order to start a run.
	private static boolean isOrderedBeforeTakeover(RunEntity run) {
		return !run.token.equals(run.worker().token);
	}

	private static boolean mustHaveEnded(RunEntity run, long pollSentNanos) {
		return (run.state == RunEntity.State.RUNNING || run.state == RunEntity.State.STOPPED)
				&& run.stateSinceNanos <= pollSentNanos;
	}

	private void adoptOrAddOrphan(WorkerEntity worker, WorkerReport.Running reportedRun, long nowNanos) {
		if (worker.orphanRuns.containsKey(reportedRun.run())) {
			return;
		}
		TaskEntity task = this.listener.adoptRun(worker, reportedRun.run());
		if (task == null) {
			worker.orphanRuns.put(reportedRun.run(), nowNanos);
			this.tables.addRun(reportedRun.run().task());
		}
		else {
			addAdoptedRun(worker, reportedRun.run(), task, nowNanos);
		}
	}

	// Adopts the orphan runs of a job that was resubmitted or read from the store.
	void adoptRuns(JobEntity job, long nowNanos) {
		for (WorkerEntity worker : this.tables.workers.values()) {
			for (RunId run : List.copyOf(worker.orphanRuns.keySet())) {
				if (run.task().job().equals(job.id())) {
					TaskEntity task = this.listener.adoptRun(worker, run);
					if (task != null) {
						worker.orphanRuns.remove(run);
						this.tables.removeRun(run.task());
						addAdoptedRun(worker, run, task, nowNanos);
					}
				}
			}
		}
	}

	private void addAdoptedRun(WorkerEntity worker, RunId id, TaskEntity task, long nowNanos) {
		RunEntity run = new RunEntity(id, worker, task.step(), task, nowNanos);
		run.adopt();
		run.markReported();
		run.enter(RunEntity.State.RUNNING, nowNanos);
		run.expectedNanos = this.tables.runTimeModel.taskNanos(task.job().spec().queue(), task.step());
		task.run = run;
		task.state = TaskEntity.State.ACTIVE;
		task.attemptKnown(id.attempt());
		worker.add(run);
		this.tables.addRun(id.task());
	}

	void finish(RunEntity run, RunEnd end, long nowNanos) {
		run.worker().remove(run);
		this.tables.removeRun(run.id().task());
		this.listener.runEnded(run, end, nowNanos);
	}

	// Handles a run that must have ended although the worker has not listed its end.
	void giveUp(RunEntity run, RunGivenUp.Reason reason, RunEnd end, long nowNanos) {
		emitGivenUp(run.worker(), run.id(), reason, run.confirmed, nowNanos);
		finish(run, end, nowNanos);
	}

	void giveUpOrphan(WorkerEntity worker, RunId run, RunGivenUp.Reason reason, long nowNanos) {
		emitGivenUp(worker, run, reason, true, nowNanos);
		worker.orphanRuns.remove(run);
		this.tables.removeRun(run.task());
	}

	private void emitGivenUp(WorkerEntity worker, RunId run, RunGivenUp.Reason reason, boolean confirmed,
			long nowNanos) {
		long sinceRenewalNanos = (worker.renewedNanos != 0) ? nowNanos - worker.renewedNanos : -1;
		this.tables.emit(new RunGivenUp(worker.info, run, reason, confirmed, sinceRenewalNanos, worker.fenced));
	}

	// Applies the time-outs of the runs on a worker.
	void process(WorkerEntity worker, long nowNanos) {
		worker.leaseTooShort = this.leaseLimits.isTooShort(worker, nowNanos);
		retryStops(worker, nowNanos);
		stopOrphanRuns(worker, nowNanos);
		stopHanging(worker, nowNanos);
	}

	private void retryStops(WorkerEntity worker, long nowNanos) {
		if (worker.ownership != WorkerEntity.Ownership.OWNED) {
			return;
		}
		for (RunEntity run : worker.runs.values()) {
			if (run.state == RunEntity.State.STOPPING && nowNanos - run.stopSentNanos >= STOP_RETRY_NANOS) {
				if (run.stopsSent >= MAX_STOP_ATTEMPTS) {
					run.stopsSent = 0;
					worker.loseOwnership(nowNanos);
					return;
				}
				sendStop(run, nowNanos);
			}
		}
	}

	private void stopOrphanRuns(WorkerEntity worker, long nowNanos) {
		if (worker.orphanRuns.isEmpty() || worker.ownership != WorkerEntity.Ownership.OWNED) {
			return;
		}
		for (Map.Entry<RunId, Long> entry : worker.orphanRuns.entrySet()) {
			if (nowNanos - entry.getValue() >= ADOPTION_TIMEOUT_NANOS) {
				entry.setValue(nowNanos - ADOPTION_TIMEOUT_NANOS + STOP_RETRY_NANOS);
				this.tables.emit(new StopRun(worker.info, entry.getKey(), worker.token, StopRun.Reason.ORPHAN));
			}
		}
	}

	private void stopHanging(WorkerEntity worker, long nowNanos) {
		for (RunEntity run : List.copyOf(worker.runs.values())) {
			if (run.state == RunEntity.State.RUNNING && run.isHanging(nowNanos)
					&& worker.lastReportNanos > run.progressNanos) {
				worker.markSuspect(SUSPECT_NANOS, nowNanos);
				stop(run, StopRun.Reason.HANGING, nowNanos);
			}
		}
	}

}
