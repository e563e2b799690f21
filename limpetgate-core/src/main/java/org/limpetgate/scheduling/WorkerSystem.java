package org.limpetgate.scheduling;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.limpetgate.UpstreamId;

/**
 * Takes over workers, renews their leases and processes their reports.
 * <p>
 * Invariant: no start or stop is sent to a worker before it has reported its runs under a
 * token that fences all earlier owners. Not thread-safe.
 */
final class WorkerSystem implements Verification {

	private static final long ORPHAN_RUNS_POLL_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	/**
	 * After more failed polls in a row a worker is polled without renewing its lease.
	 * Each renewal without an answer may have arrived, so that its runs could never be
	 * given up.
	 */
	private static final int MAX_POLL_FAILURES_BEFORE_RENEWAL = 2;

	private static final long MIN_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/** Exceeds the usual steps of a wall clock. */
	private static final long FENCED_TOKEN_STEP_MILLIS = TimeUnit.SECONDS.toMillis(10);

	private static final long MAX_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	/**
	 * The interval at which the time-outs of all workers are checked. Workers with an
	 * event are checked in the next tick.
	 */
	private static final long SCAN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	/**
	 * The poll interval of a worker with unsaved ends. It answers every poll immediately,
	 * since it reports these ends each time.
	 */
	private static final long UNSAVED_ENDS_POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

	// The poll interval of a worker with deferred ends. While the stored jobs cannot
	// be read, every worker may have such ends for seconds, and processing the
	// answers to polls would use all processor time of the scheduling host.
	private static final long DEFERRED_ENDS_POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

	private static final long DEFERRED_ENDS_POLL_INTERVAL_PER_WORKER_NANOS = TimeUnit.MICROSECONDS.toNanos(400);

	/**
	 * The poll interval of an idle worker. Its report updates its clock and shows its
	 * incarnation.
	 */
	private static final long IDLE_POLL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final SchedulerTables tables;

	private final RunSystem runs;

	private final LossSystem losses;

	private final WorkerListSystem list;

	private final CrashSystem crashes;

	private long nextSequence;

	private long lastScanNanos;

	WorkerSystem(SchedulerTables tables, RunSystem runs, CrashSystem crashes) {
		this.tables = tables;
		this.runs = runs;
		this.losses = new LossSystem(tables, runs);
		this.list = new WorkerListSystem(tables, this.losses);
		this.crashes = crashes;
	}

	WorkerListSystem list() {
		return this.list;
	}

	void activate(long nowNanos) {
		this.tables.scanDue = true;
		this.list.activate();
		this.runs.forgetUnsavedEnds();
		for (WorkerEntity worker : this.tables.workers.values()) {
			worker.ownership = WorkerEntity.Ownership.NOT_OWNED;
			worker.retryNanos = nowNanos;
			worker.pollFailures = 0;
			worker.proven = false;
			worker.processEnded = false;
		}
		this.tables.silentDataCentres.clear();
	}

	// Forgets the granted leases, whose ends are unknown after the clock stood still.
	void forgetGrants(long nowNanos) {
		for (WorkerEntity worker : this.tables.workers.values()) {
			worker.grantedEndNanos = 0;
			worker.inheritedEndNanos = nowNanos + this.tables.settings.grantNanos();
		}
		this.tables.scanDue = true;
	}

	void deactivate() {
		this.list.deactivate();
		for (WorkerEntity worker : this.tables.workers.values()) {
			worker.ownership = WorkerEntity.Ownership.NOT_OWNED;
			worker.proven = false;
			List.copyOf(worker.runs.values()).forEach(worker::remove);
			worker.orphanRuns.clear();
		}
		this.tables.clearRuns();
	}

	// A worker that has answered under this owner's token since the given time
	// rejects orders of earlier owners that are still in transit. Workers that left
	// the list recently are included, since their entries expire while the store is
	// unavailable. A worker that is missing here proves nothing: the earlier owner may
	// have read a newer list, and a new host has not seen entries that expired before it
	// started.
	@Override
	public boolean areAllVerified(long sinceNanos, long nowNanos) {
		return this.list.isCompleteForStoredJobs(sinceNanos, nowNanos)
				&& this.tables.workers.values().stream().allMatch((worker) -> worker.isVerified(sinceNanos));
	}

	@Override
	public boolean areRunsVerified(long sinceNanos, long earlierListNanos, long nowNanos) {
		return this.list.isComplete(sinceNanos, nowNanos)
				&& this.list.includesWorkersListedAt(earlierListNanos, nowNanos)
				&& this.tables.workers.values().stream().allMatch((worker) -> worker.areRunsVerified(sinceNanos));
	}

	@Override
	public boolean mayHaveUnreadEnds(long nowNanos) {
		return this.tables.workers.values().stream().anyMatch((worker) -> worker.mayHaveUnreadEnds(nowNanos));
	}

	@Override
	public boolean areRemainingVerified(long sinceNanos, long nowNanos) {
		long maxUnlistedNanos = this.tables.settings.storedGuardNanos();
		return this.tables.listProvenNanos >= sinceNanos && this.tables.workers.values()
			.stream()
			.allMatch((worker) -> worker.isVerified(sinceNanos)
					|| (!worker.listed && nowNanos - worker.unlistedNanos > maxUnlistedNanos));
	}

	void applyReport(UpstreamId workerId, long sequence, FencingToken token, WorkerReport report, long nowNanos) {
		WorkerEntity worker = this.tables.workers.get(workerId);
		PendingPoll poll = (worker != null) ? worker.pendingPolls.remove(sequence) : null;
		if (poll == null || !this.tables.isActive() || !token.equals(worker.token)) {
			return;
		}
		this.tables.changedWorkers.add(worker);
		this.tables.silentDataCentres.answered(worker, nowNanos);
		if (report.incarnationMillis() != 0 && report.incarnationMillis() != worker.info.incarnationMillis()) {
			otherIncarnationReported(worker, report.incarnationMillis(), nowNanos);
			return;
		}
		this.list.processAnswered(worker, poll.sentNanos());
		if (worker.ownership == WorkerEntity.Ownership.NOT_OWNED) {
			// Another owner may have taken the worker over since the poll was answered.
			return;
		}
		long sentNanos = poll.sentNanos();
		worker.pollAnswered(poll);
		worker.lastReportNanos = nowNanos;
		worker.clock.update(report.clockMillis(), sentNanos, nowNanos);
		boolean takeover = worker.ownership == WorkerEntity.Ownership.TAKING_OVER;
		worker.ownership = WorkerEntity.Ownership.OWNED;
		if (takeover) {
			worker.takenOverNanos = nowNanos;
		}
		this.runs.applyReport(worker, report, sentNanos, nowNanos);
		this.tables.runTimeModel.recordProgress(worker, nowNanos);
		if (takeover && worker.fenced) {
			this.tables.retakenNanos = nowNanos;
		}
		worker.fenced = false;
		this.crashes.workerReported(worker.info);
		if (takeover) {
			// An earlier owner may have renewed the lease until now.
			worker.renewedNanos = nowNanos;
			worker.inheritedEndNanos = Math.max(worker.inheritedEndNanos, nowNanos + this.tables.settings.grantNanos());
		}
		worker.verify(report, sentNanos);
		this.tables.placementDue = true;
	}

	// The report answers a poll that was sent when the known incarnation was known
	// already, so that its incarnation is later, even if the clock of its machine was
	// set back. The takeover that follows reads its runs and ends again, under a token
	// that fences the orders for the known one.
	private void otherIncarnationReported(WorkerEntity worker, long incarnationMillis, long nowNanos) {
		WorkerInfo entry = worker.claim.entryOf(worker.info, incarnationMillis);
		this.losses.startIncarnation(worker, (entry != null) ? entry : worker.info.withIncarnation(incarnationMillis),
				nowNanos);
		worker.entryOutdated = entry == null;
		worker.proven = true;
		this.crashes.workerReported(worker.info);
	}

	void pollFailed(UpstreamId workerId, long sequence, FencingToken token, PollFailure failure, long nowNanos) {
		WorkerEntity worker = this.tables.workers.get(workerId);
		PendingPoll poll = (worker != null) ? worker.pendingPolls.remove(sequence) : null;
		if (poll == null || !this.tables.isActive() || !token.equals(worker.token)) {
			return;
		}
		this.tables.changedWorkers.add(worker);
		worker.pollFailures++;
		if (failure == PollFailure.FENCED) {
			handleFenced(worker, nowNanos);
		}
		else if (failure == PollFailure.OTHER_PROCESS) {
			worker.loseOwnership(nowNanos + retryNanos(worker));
			this.list.otherProcessAnswered(worker, nowNanos);
		}
		else if (worker.ownership != WorkerEntity.Ownership.OWNED) {
			worker.loseOwnership(nowNanos + retryNanos(worker));
		}
		else if (worker.pollFailures > 1) {
			worker.retryNanos = nowNanos + (worker.isBusy() ? MIN_RETRY_NANOS : MAX_RETRY_NANOS);
		}
		this.list.pollFailed(worker, nowNanos);
	}

	// While no other scheduler is possible, the worker knows the token of an earlier
	// owner whose wall clock was ahead. The takeover is soon repeated with a much higher
	// token.
	private void handleFenced(WorkerEntity worker, long nowNanos) {
		boolean takingOver = worker.ownership == WorkerEntity.Ownership.TAKING_OVER;
		RunSystem.markFenced(worker, nowNanos);
		if (takingOver && !this.tables.otherSchedulerPossible) {
			worker.token = worker.token.plusMillis(FENCED_TOKEN_STEP_MILLIS);
			worker.retryNanos = nowNanos + MIN_RETRY_NANOS;
		}
	}

	private static long retryNanos(WorkerEntity worker) {
		return Math.min(MAX_RETRY_NANOS, MIN_RETRY_NANOS << Math.min(worker.pollFailures, 4));
	}

	void tick(long nowNanos) {
		if (!this.tables.isActive()) {
			return;
		}
		if (nowNanos - this.lastScanNanos >= SCAN_INTERVAL_NANOS || this.tables.scanDue) {
			this.lastScanNanos = nowNanos;
			this.tables.scanDue = false;
			this.tables.changedWorkers.clear();
			List.copyOf(this.tables.workers.values()).forEach((worker) -> process(worker, nowNanos));
		}
		else {
			List<WorkerEntity> due = List.copyOf(this.tables.changedWorkers);
			this.tables.changedWorkers.clear();
			due.forEach((worker) -> process(worker, nowNanos));
		}
	}

	private void process(WorkerEntity worker, long nowNanos) {
		this.runs.process(worker, nowNanos);
		this.losses.expireLease(worker, nowNanos);
		poll(worker, nowNanos);
	}

	private void poll(WorkerEntity worker, long nowNanos) {
		if (worker.ownership == WorkerEntity.Ownership.OWNED) {
			if (needsVerification(worker)) {
				verify(worker, nowNanos);
			}
			else if (worker.pendingPolls.isEmpty() && isRenewalDue(worker, nowNanos)) {
				renew(worker, nowNanos);
			}
		}
		else if (worker.ownership == WorkerEntity.Ownership.NOT_OWNED && nowNanos >= worker.retryNanos) {
			takeOver(worker, nowNanos);
		}
	}

	// The remaining ends of a worker are read with renewals, which keep the lease of its
	// runs.
	private boolean needsVerification(WorkerEntity worker) {
		long since = Math.max(this.tables.verifySinceNanos, worker.verifySinceNanos);
		boolean verified = worker.endsTruncated ? worker.areRunsVerified(since) : worker.isVerified(since);
		return !verified && worker.pollFailures == 0
				&& worker.pendingPolls.values().stream().noneMatch((poll) -> poll.sentNanos() >= since);
	}

	// Sends a poll that is answered immediately, since a pending one may wait for the
	// end of a run.
	private void verify(WorkerEntity worker, long nowNanos) {
		sendPoll(worker, 0, 0, nowNanos);
	}

	// A silent worker is polled until it reports again, since it is not usable before.
	private boolean isRenewalDue(WorkerEntity worker, long nowNanos) {
		if (!worker.unsavedEnds.isEmpty() && nowNanos - worker.lastReportNanos < unsavedEndsPollIntervalNanos(worker)) {
			return false;
		}
		boolean due = worker.isBusy() || worker.ackDue || worker.isAckUrgent() || worker.pollFailures > 0
				|| nowNanos - worker.lastReportNanos > IDLE_POLL_INTERVAL_NANOS;
		return due && (worker.pollFailures < 2 || nowNanos >= worker.retryNanos);
	}

	private long unsavedEndsPollIntervalNanos(WorkerEntity worker) {
		if (worker.deferredEnds.isEmpty()) {
			return UNSAVED_ENDS_POLL_INTERVAL_NANOS;
		}
		return Math.min(this.tables.settings.pollWaitNanos(), DEFERRED_ENDS_POLL_INTERVAL_NANOS
				+ DEFERRED_ENDS_POLL_INTERVAL_PER_WORKER_NANOS * this.tables.workers.size());
	}

	private void renew(WorkerEntity worker, long nowNanos) {
		long leaseEndMillis = 0;
		boolean renewable = !worker.runs.isEmpty() && worker.pollFailures <= MAX_POLL_FAILURES_BEFORE_RENEWAL;
		if (renewable && this.runs.extendLease(worker, nowNanos)) {
			leaseEndMillis = worker.clock.millis(worker.grantedEndNanos);
		}
		sendPoll(worker, leaseEndMillis, pollWaitNanos(worker), nowNanos);
	}

	// The wait for the ends of orphan runs is short, since until then the worker's free
	// capacity is unknown and its lease is not renewed.
	private long pollWaitNanos(WorkerEntity worker) {
		if (worker.pollFailures > 0 || worker.endsTruncated) {
			return 0;
		}
		return worker.orphanRuns.isEmpty() ? this.tables.settings.pollWaitNanos() : ORPHAN_RUNS_POLL_WAIT_NANOS;
	}

	private void takeOver(WorkerEntity worker, long nowNanos) {
		FencingToken previous = (this.tables.schedulerToken.compareTo(worker.token) > 0) ? this.tables.schedulerToken
				: worker.token;
		worker.token = FencingToken.create(nowNanos, this.tables.settings.hostNumber(), previous);
		worker.ownership = WorkerEntity.Ownership.TAKING_OVER;
		sendPoll(worker, 0, 0, nowNanos);
	}

	private void sendPoll(WorkerEntity worker, long leaseEndMillis, long waitNanos, long nowNanos) {
		long sequence = this.nextSequence++;
		long ackNumber = worker.addPoll(sequence, nowNanos);
		this.tables.emit(new SchedulingEffect.PollWorker(worker.info, sequence, worker.token, ackNumber, leaseEndMillis,
				waitNanos));
	}

}
