package org.limpetgate.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * The pace of a present run, from the percentages in the reports of its worker.
 * <p>
 * A window lasts from one report to a later one in which the run has progressed far
 * enough to tell its pace. Not thread-safe.
 */
final class RunPace {

	/** Shorter windows are dominated by the delay of the start and of the report. */
	private static final long MIN_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

	/** Covers that percentages are integers, and irregular progress. */
	private static final int PERCENT_ERROR = 2;

	/**
	 * The error while a run that has progressed before does not, since some tasks report
	 * progress in steps.
	 */
	private static final int STALLED_PERCENT_ERROR = 10;

	/** The progress at which a window ends. */
	private static final int WINDOW_PERCENT = 5;

	private long windowStartNanos;

	private int windowStartPercent;

	private long sampledNanos;

	private int percent;

	/** The time per percent in the latest window, 0 if unknown. */
	private double nanosPerPercent;

	/** The bounds of the time per percent that the latest report shows. */
	private double lowerNanos;

	private double upperNanos;

	/**
	 * Creates the pace of a run.
	 * @param startNanos when it started, or 0 if that is unknown
	 */
	RunPace(long startNanos) {
		this.windowStartNanos = startNanos;
	}

	/**
	 * Records a report.
	 * @param reported the progress in percent
	 * @param atNanos when the worker created the report
	 * @return whether the report tells something about the pace
	 */
	boolean report(int reported, long atNanos) {
		if (atNanos <= this.sampledNanos || atNanos <= this.windowStartNanos) {
			return false;
		}
		this.sampledNanos = atNanos;
		this.percent = reported;
		if (this.windowStartNanos == 0) {
			startWindow();
			return false;
		}
		long elapsed = atNanos - this.windowStartNanos;
		if (elapsed < MIN_WINDOW_NANOS) {
			return false;
		}
		int progress = reported - this.windowStartPercent;
		if (reported == 0) {
			// Some tasks report no progress, so only the age of the run counts.
			this.lowerNanos = elapsed / 100.0;
			this.upperNanos = Double.POSITIVE_INFINITY;
			return true;
		}
		int error = (progress == 0) ? STALLED_PERCENT_ERROR : PERCENT_ERROR;
		this.lowerNanos = (double) elapsed / (progress + error);
		this.upperNanos = (progress > error) ? (double) elapsed / (progress - error) : Double.POSITIVE_INFINITY;
		this.nanosPerPercent = (double) elapsed / Math.max(1, progress);
		if (progress >= WINDOW_PERCENT) {
			startWindow();
		}
		return true;
	}

	private void startWindow() {
		this.windowStartNanos = this.sampledNanos;
		this.windowStartPercent = this.percent;
	}

	// Returns the lower bound of the duration that the latest report shows.
	double lowerDurationNanos() {
		return 100 * this.lowerNanos;
	}

	// Returns the upper bound of the duration that the latest report shows.
	double upperDurationNanos() {
		return 100 * this.upperNanos;
	}

	/**
	 * Returns the duration of a run with the pace of the latest report.
	 * @param expectedNanos the duration if no report has shown a pace
	 * @return the duration in nanoseconds
	 */
	double durationNanos(double expectedNanos) {
		return (this.nanosPerPercent > 0) ? 100 * this.nanosPerPercent : expectedNanos;
	}

	boolean isKnown() {
		return this.nanosPerPercent > 0;
	}

	/**
	 * Returns when the run ends if it continues at its pace.
	 * @param startedNanos when it started
	 * @param expectedNanos the duration if no report has shown a pace
	 * @return the time, nanoseconds since the Unix epoch
	 */
	double endNanos(long startedNanos, double expectedNanos) {
		if (this.nanosPerPercent > 0) {
			return this.sampledNanos + (100 - this.percent) * this.nanosPerPercent;
		}
		return startedNanos + expectedNanos;
	}

}
