package org.limpetgate.scheduling;

import java.util.List;

import org.limpetgate.scheduling.RunListener.RunEnd;
import org.limpetgate.scheduling.SchedulingEffect.RunGivenUp;

/**
 * Gives up the runs of lost workers: those of which a later incarnation is known, and
 * those that are silent for longer than their leases can last.
 * <p>
 * Invariant: a run is given up only when no incarnation of its worker can have it, or
 * when its lease must have ended. Not thread-safe.
 */
final class LossSystem {

	private final SchedulerTables tables;

	private final RunSystem runs;

	LossSystem(SchedulerTables tables, RunSystem runs) {
		this.tables = tables;
		this.runs = runs;
	}

	// Gives up the runs that the previous incarnation of a worker has reported. The next
	// one may have carried out the other orders, which its takeover settles.
	void startIncarnation(WorkerEntity worker, WorkerInfo next, long nowNanos) {
		RunEnd end = endOfLostRun(worker, RunEnd.WORKER_CRASHED);
		List<RunEntity> lost = worker.runs.values().stream().filter((run) -> run.reported).toList();
		List<RunEntity> unsettled = worker.runs.values().stream().filter((run) -> !run.reported).toList();
		recordWhichAreAlone(worker);
		giveUpOrphans(worker, RunGivenUp.Reason.NEW_INCARNATION, nowNanos);
		worker.startIncarnation(next, nowNanos);
		if (!unsettled.isEmpty()) {
			unsettled.forEach((run) -> {
				run.endWithoutReport = (run.endWithoutReport != null) ? run.endWithoutReport : end;
				worker.add(run);
			});
			// Its clock began anew, so that each order may have granted the longest
			// lease.
			worker.renewedNanos = nowNanos;
			worker.inheritedEndNanos = nowNanos + this.tables.settings.leaseEndNanos();
		}
		lost.forEach((run) -> this.runs.giveUp(run, RunGivenUp.Reason.NEW_INCARNATION, end, nowNanos));
	}

	// Gives up all runs of a worker whose process has ended. No other process carries out
	// orders for its id.
	void endIncarnation(WorkerEntity worker, long nowNanos) {
		RunEnd end = endOfLostRun(worker, RunEnd.WORKER_CRASHED);
		List<RunEntity> lost = List.copyOf(worker.runs.values());
		recordWhichAreAlone(worker);
		giveUpOrphans(worker, RunGivenUp.Reason.NEW_INCARNATION, nowNanos);
		lost.forEach((run) -> this.runs.giveUp(run, RunGivenUp.Reason.NEW_INCARNATION,
				(run.endWithoutReport != null) ? run.endWithoutReport : end, nowNanos));
	}

	// Counts runs on a worker that does not report as lost, once no owner can have
	// renewed their lease. Orders without an answer stay unresolved, since they may still
	// arrive.
	void expireLease(WorkerEntity worker, long nowNanos) {
		if (worker.pollFailures == 0 || !worker.isBusy()) {
			return;
		}
		long sinceRenewalNanos = nowNanos - worker.renewedNanos;
		for (RunEntity run : List.copyOf(worker.runs.values())) {
			boolean settled = run.state == RunEntity.State.RUNNING || run.state == RunEntity.State.STOPPED
					|| run.endWithoutReport != null || !worker.listed;
			if (settled && sinceRenewalNanos >= lossNanos(worker, run.isStored(), nowNanos)) {
				giveUpOnSilence(run, nowNanos);
			}
		}
		// An orphan run may belong to a stored job.
		if (sinceRenewalNanos >= lossNanos(worker, true, nowNanos)) {
			giveUpOrphans(worker, RunGivenUp.Reason.LEASE_EXPIRED, nowNanos);
		}
	}

	// A run that no report has listed ended with the incarnation for which the order was
	// meant, not with the one that is silent now.
	private void giveUpOnSilence(RunEntity run, long nowNanos) {
		WorkerEntity worker = run.worker();
		RunEnd end = run.endWithoutReport;
		if (end == null) {
			run.alone = worker.isAlone(run);
			end = endOfLostRun(worker, RunEnd.WORKER_SILENT);
		}
		worker.runsLost = true;
		this.runs.giveUp(run, RunGivenUp.Reason.LEASE_EXPIRED, end, nowNanos);
	}

	/**
	 * Returns how long after the last renewal by this scheduler a run on a worker that
	 * does not report must have ended. Another scheduler renews its lease only after
	 * adopting it.
	 * @param worker the worker
	 * @param stored whether the run may belong to a stored job
	 * @param nowNanos the current time
	 * @return the time in nanoseconds
	 */
	private long lossNanos(WorkerEntity worker, boolean stored, long nowNanos) {
		SchedulerSettings settings = this.tables.settings;
		if (worker.fenced) {
			return SchedulerSettings.MAX_GUARD_NANOS;
		}
		if (!this.tables.otherSchedulerPossible) {
			return settings.leaseEndNanos();
		}
		// A best-effort job that its host has submitted to another scheduler is
		// withdrawn here by then, since the loss of that host is noticed.
		if (!stored) {
			return settings.storedGuardNanos();
		}
		boolean removed = !worker.listed && nowNanos - worker.unlistedNanos > settings.storedGuardNanos();
		return removed ? settings.leaseEndNanos() : SchedulerSettings.MAX_GUARD_NANOS;
	}

	private void giveUpOrphans(WorkerEntity worker, RunGivenUp.Reason reason, long nowNanos) {
		for (RunId run : List.copyOf(worker.orphanRuns.keySet())) {
			this.runs.giveUpOrphan(worker, run, reason, nowNanos);
		}
	}

	// What is known of a run from a former incarnation stays.
	private static void recordWhichAreAlone(WorkerEntity worker) {
		worker.runs.values()
			.stream()
			.filter((run) -> run.endWithoutReport == null)
			.forEach((run) -> run.alone = worker.isAlone(run));
	}

	// A worker that was draining has left as planned.
	private static RunEnd endOfLostRun(WorkerEntity worker, RunEnd unplanned) {
		return worker.info.draining() ? RunEnd.LOST : unplanned;
	}

}
