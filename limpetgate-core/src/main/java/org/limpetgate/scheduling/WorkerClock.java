package org.limpetgate.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * What the reports of a worker tell about its clock, which begins anew with each
 * incarnation and may be slow or be set back. Not thread-safe.
 */
final class WorkerClock {

	private long readMillis;

	private long readNanos;

	/**
	 * The least time by which this host's clock was ahead of the worker's at the arrival
	 * of a report, allowing for drift; unlimited before the first report.
	 */
	private long offsetNanos = Long.MAX_VALUE;

	private long sampledNanos;

	/**
	 * Records the clock of a report and estimates when the worker created it. The delay
	 * of a report is how much later it arrived, by the worker's clock, than the one with
	 * the least delay.
	 * @param millis the clock of the worker
	 * @param sentNanos when the poll was sent that the report answers
	 * @param nowNanos the current time
	 */
	void update(long millis, long sentNanos, long nowNanos) {
		long offset = nowNanos - TimeUnit.MILLISECONDS.toNanos(millis);
		long drift = (long) (SchedulerSettings.CLOCK_DRIFT * (nowNanos - this.readNanos));
		boolean known = this.offsetNanos < Long.MAX_VALUE;
		this.offsetNanos = known ? Math.min(offset, this.offsetNanos + drift) : offset;
		if (nowNanos - (offset - this.offsetNanos) < sentNanos) {
			// The report answers the poll, so the clock was set back.
			this.offsetNanos = offset;
		}
		this.sampledNanos = nowNanos - (offset - this.offsetNanos);
		this.readMillis = millis;
		this.readNanos = nowNanos;
	}

	// Returns when the worker created its latest report, nanoseconds since the Unix
	// epoch.
	long sampledNanos() {
		return this.sampledNanos;
	}

	// Converts a time to the worker's clock, which shows that or more then, even if it
	// runs as slow as it may.
	long millis(long timeNanos) {
		long sinceReadMillis = (timeNanos - this.readNanos) / 1_000_000;
		return this.readMillis + (long) (sinceReadMillis * (1 - SchedulerSettings.CLOCK_DRIFT));
	}

	// Forgets the offset, since the next incarnation has another one.
	void startIncarnation() {
		this.offsetNanos = Long.MAX_VALUE;
	}

}
