package org.limpetgate.scheduling;

/**
 * Estimates how much longer a run takes, from its expected duration and its age.
 * <p>
 * Durations are taken as log-logistic around the expected one, which has the spread of
 * the estimates and a tail that allows for the few runs that take many times as long. The
 * remaining time of a run that has outlasted its estimate therefore grows with its age. A
 * run is described by quantiles rather than by one time, since the ends of several runs
 * that are equally old are spread as well. Thread-safe.
 */
final class RemainingTime {

	/** The number of equally likely remaining times that describe a run. */
	static final int QUANTILES = 4;

	/** The standard deviation of the logarithm of the ratio of duration to estimate. */
	private static final double ESTIMATE_SPREAD = 0.4;

	/** The shape of the log-logistic distribution with this spread. */
	private static final double SHAPE = Math.PI / (ESTIMATE_SPREAD * Math.sqrt(3));

	/** The number of table rows for an age equal to the expected duration. */
	private static final int ROWS_PER_DURATION = 16;

	/**
	 * The largest age in the table, as a multiple of the expected duration; from there on
	 * the remaining time is proportional to the age.
	 */
	private static final int MAX_AGE = 8;

	private static final double[][] TABLE = createTable();

	private RemainingTime() {
	}

	private static double[][] createTable() {
		double[][] table = new double[MAX_AGE * ROWS_PER_DURATION + 1][QUANTILES];
		for (int row = 0; row < table.length; row++) {
			double age = (double) row / ROWS_PER_DURATION;
			for (int quantile = 0; quantile < QUANTILES; quantile++) {
				double survival = 1 - (quantile + 0.5) / QUANTILES;
				double end = Math.pow((1 + Math.pow(age, SHAPE)) / survival - 1, 1 / SHAPE);
				table[row][quantile] = Math.max(0, end - age);
			}
		}
		return table;
	}

	/**
	 * Returns a quantile of the remaining time of a run.
	 * @param expectedNanos the expected duration, in nanoseconds
	 * @param ageNanos the time since the start, in nanoseconds
	 * @param quantile the number of the quantile, from 0 to {@link #QUANTILES} - 1,
	 * shortest first
	 * @return the time in nanoseconds, at least 0
	 */
	static long quantileNanos(double expectedNanos, long ageNanos, int quantile) {
		if (expectedNanos <= 0) {
			return 0;
		}
		double age = Math.max(0, ageNanos / expectedNanos);
		if (age >= MAX_AGE) {
			return (long) (TABLE[TABLE.length - 1][quantile] / MAX_AGE * ageNanos);
		}
		double position = age * ROWS_PER_DURATION;
		int row = (int) position;
		double share = position - row;
		return (long) (expectedNanos * ((1 - share) * TABLE[row][quantile] + share * TABLE[row + 1][quantile]));
	}

}
