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

	/** The end of a lease that nothing may prolong. */
	private static final long NOT_RENEWABLE = Long.MIN_VALUE;

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
			return NOT_RENEWABLE;
		}
		long latestNanos = nowNanos + this.tables.settings.grantNanos();
		for (RunEntity run : worker.runs.values()) {
			latestNanos = Math.min(latestNanos, runLimitNanos(run, nowNanos));
		}
		return latestNanos;
	}

	private long runLimitNanos(RunEntity run, long nowNanos) {
		if (run.isForeign()) {
			return NOT_RENEWABLE;
		}
		return limitNanos(run.job(), nowNanos);
	}

	/**
	 * Returns until when the lease of the runs of a job may last.
	 * @param job the job
	 * @param nowNanos the current time
	 * @return the time, which may have passed
	 */
	long limitNanos(JobEntity job, long nowNanos) {
		if (job.spec().stored()) {
			return Long.MAX_VALUE;
		}
		long waitedNanos = job.lastWaitedNanos(this.tables.heartbeats, nowNanos);
		return (waitedNanos > this.tables.suspendedNanos) ? waitedNanos + this.tables.settings.runLimitNanos()
				: NOT_RENEWABLE;
	}

	/**
	 * Tests whether a run may have a lease of a useful length.
	 * @param limitNanos until when its lease may last
	 * @param nowNanos the current time
	 * @return false if the run should not start
	 */
	boolean isUseful(long limitNanos, long nowNanos) {
		return limitNanos >= nowNanos + this.tables.settings.grantNanos() / 2;
	}

	/**
	 * Tests whether the lease that a worker has or could get now is too short for new
	 * runs.
	 * @param worker the worker
	 * @param nowNanos the current time
	 * @return true if no run should be placed on it
	 */
	boolean isTooShort(WorkerEntity worker, long nowNanos) {
		if (worker.runs.isEmpty() || isUseful(worker.grantedEndNanos, nowNanos)) {
			return false;
		}
		return !isUseful(latestEndNanos(worker, nowNanos), nowNanos);
	}

}
