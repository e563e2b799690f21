package org.limpetgate.scheduling;

/**
 * Limits how far the leases of workers may be prolonged.
 * <p>
 * A caller whose connection breaks sends its job again after a while, to any host, whose
 * scheduler may not know of the first run. By then that run must have ended, even if no
 * stop reaches its worker and its own host is lost. The connection cannot have broken
 * before the host was last known to wait for the job, so the lease of a run lasts until a
 * limited time after that.
 * <p>
 * Invariant: no order of this scheduler prolongs the lease of a worker beyond the limit
 * of a run on it. The lease applies to all runs on a worker. Not thread-safe.
 */
final class LeaseLimits {

	/** Nothing may prolong the lease. */
	private static final long NO_LIMIT_LEFT = Long.MIN_VALUE;

	private final SchedulerTables tables;

	LeaseLimits(SchedulerTables tables) {
		this.tables = tables;
	}

	/**
	 * Returns until when the lease of a worker may last if it is renewed now.
	 * @param worker the worker
	 * @param nowNanos the current time
	 * @return the time, which may have passed
	 */
	long latestEndNanos(WorkerEntity worker, long nowNanos) {
		if (!worker.orphanRuns.isEmpty()) {
			return NO_LIMIT_LEFT;
		}
		long latestNanos = nowNanos + this.tables.settings.grantNanos();
		for (RunEntity run : worker.runs.values()) {
			latestNanos = Math.min(latestNanos, runLimitNanos(run, nowNanos));
		}
		return latestNanos;
	}

	private long runLimitNanos(RunEntity run, long nowNanos) {
		if (run.isForeign()) {
			return NO_LIMIT_LEFT;
		}
		if (run.isStored()) {
			return Long.MAX_VALUE;
		}
		return limitNanos(run.job(), nowNanos);
	}

	private long limitNanos(JobEntity job, long nowNanos) {
		long wantedNanos = job.lastWantedNanos(this.tables.heartbeats, nowNanos);
		return (wantedNanos > this.tables.suspendedNanos) ? wantedNanos + this.tables.settings.runLimitNanos()
				: NO_LIMIT_LEFT;
	}

	/**
	 * Tests whether tasks of a job may start. The lease that any worker has now ends
	 * within the limit of such a run.
	 * @param job the job
	 * @param nowNanos the current time
	 * @return false if its host was not heard for too long
	 */
	boolean mayStart(JobEntity job, long nowNanos) {
		return job.spec().stored() || limitNanos(job, nowNanos) >= nowNanos + this.tables.settings.grantNanos();
	}

	/**
	 * Tests whether the lease that a worker has or could get now is too short for new
	 * runs.
	 * @param worker the worker
	 * @param nowNanos the current time
	 * @return true if no run should be placed on it
	 */
	boolean isTooShort(WorkerEntity worker, long nowNanos) {
		if (worker.runs.isEmpty()) {
			return false;
		}
		long endNanos = Math.max(worker.grantedEndNanos, latestEndNanos(worker, nowNanos));
		return endNanos - nowNanos < this.tables.settings.grantNanos() / 2;
	}

}
