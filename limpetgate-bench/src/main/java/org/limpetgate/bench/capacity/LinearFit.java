package org.limpetgate.bench.capacity;

/**
 * Least-squares fit of a straight line.
 *
 * @param slope the increase of y per unit of x
 * @param intercept the value at x = 0
 * @param rSquared the coefficient of determination, from 0 to 1; 1 if all y are equal
 */
record LinearFit(double slope, double intercept, double rSquared) {

	/**
	 * Fits a line.
	 * @param x the sizes, at least two distinct ones
	 * @param y the measured values, one for each size
	 * @return the line, not null
	 * @throws IllegalArgumentException if the points do not determine a line
	 */
	static LinearFit of(double[] x, double[] y) {
		if (x.length != y.length || x.length < 2) {
			throw new IllegalArgumentException("a fit needs at least two points and as many values as sizes");
		}
		double meanX = mean(x);
		double meanY = mean(y);
		double xx = 0;
		double xy = 0;
		double yy = 0;
		for (int i = 0; i < x.length; i++) {
			xx += (x[i] - meanX) * (x[i] - meanX);
			xy += (x[i] - meanX) * (y[i] - meanY);
			yy += (y[i] - meanY) * (y[i] - meanY);
		}
		if (xx == 0) {
			throw new IllegalArgumentException("all sizes are equal; use at least two distinct sizes");
		}
		double rSquared = (yy == 0) ? 1 : xy * xy / (xx * yy);
		return new LinearFit(xy / xx, meanY - xy / xx * meanX, rSquared);
	}

	private static double mean(double[] values) {
		double sum = 0;
		for (double value : values) {
			sum += value;
		}
		return sum / values.length;
	}

}
