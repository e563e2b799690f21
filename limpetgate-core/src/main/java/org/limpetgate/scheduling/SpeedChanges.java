package org.limpetgate.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * Reports the sudden changes of the speeds of workers, and hastens the probes of the
 * other slow workers when one recovers: workers that turn slow together usually recover
 * together. Not thread-safe.
 */
final class SpeedChanges implements SpeedListener {

	/** The number of reports per second, so that flapping workers do not fill the log. */
	private static final int MAX_REPORTS_PER_SECOND = 100;

	private final SchedulerTables tables;

	private long secondStartNanos;

	private int reports;

	/** The number of changes, whether reported or not. */
	private long count;

	SpeedChanges(SchedulerTables tables) {
		this.tables = tables;
	}

	@Override
	public void speedChanged(WorkerEntity worker, double before, double after, long nowNanos) {
		this.count++;
		boolean slow = worker.speed.isSlow();
		if (!slow) {
			this.tables.workers.values().forEach((other) -> other.speed.hastenProbe(worker.speed, nowNanos));
		}
		this.tables.placementDue = true;
		this.tables.movesDue = true;
		if (nowNanos - this.secondStartNanos >= TimeUnit.SECONDS.toNanos(1)) {
			this.secondStartNanos = nowNanos;
			this.reports = 0;
		}
		if (this.reports < MAX_REPORTS_PER_SECOND) {
			this.reports++;
			this.tables.emit(new SchedulingEffect.WorkerSpeedChanged(worker.info.id(), slow, before, after));
		}
	}

	long count() {
		return this.count;
	}

}
