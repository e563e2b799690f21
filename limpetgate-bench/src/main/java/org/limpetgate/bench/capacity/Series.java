package org.limpetgate.bench.capacity;

import java.util.Arrays;
import java.util.Locale;
import java.util.function.IntToDoubleFunction;

/**
 * Measurements of a quantity at several sizes.
 *
 * @param name what was measured
 * @param unit the unit of the values
 * @param sizeUnit what the sizes count
 * @param sizes the sizes
 * @param values the measured values
 */
record Series(String name, String unit, String sizeUnit, double[] sizes, double[] values) {

	static final String CSV_HEADER = "quantity,unit,size_unit,size,value,slope,intercept,r_squared";

	/**
	 * Measures a time at each size. The largest size is measured once as a warm-up,
	 * because the first size would otherwise include the cost of JIT compilation.
	 * @param name what is measured, not null
	 * @param sizeUnit what the sizes count, not null
	 * @param sizes the sizes, not null
	 * @param measurement returns the time at a size in nanoseconds, not null
	 * @return the series, not null
	 */
	static Series measureTime(String name, String sizeUnit, int[] sizes, IntToDoubleFunction measurement) {
		measurement.applyAsDouble(sizes[sizes.length - 1]);
		return measure(name, "ns", sizeUnit, sizes, measurement);
	}

	/**
	 * Measures a quantity at each size.
	 * @param name what is measured, not null
	 * @param unit the unit of the values, not null
	 * @param sizeUnit what the sizes count, not null
	 * @param sizes the sizes, not null
	 * @param measurement returns the value at a size, not null
	 * @return the series, not null
	 */
	static Series measure(String name, String unit, String sizeUnit, int[] sizes, IntToDoubleFunction measurement) {
		return new Series(name, unit, sizeUnit, Arrays.stream(sizes).asDoubleStream().toArray(),
				Arrays.stream(sizes).mapToDouble(measurement).toArray());
	}

	LinearFit fit() {
		return LinearFit.of(this.sizes, this.values);
	}

	String toRow() {
		LinearFit fit = fit();
		StringBuilder points = new StringBuilder();
		for (int i = 0; i < this.sizes.length; i++) {
			points
				.append(String.format(Locale.ROOT, "%s%.0f: %.0f", (i > 0) ? ", " : "", this.sizes[i], this.values[i]));
		}
		return String.format(Locale.ROOT, "| %s | %s per %s | %s | %.2f | %.0f | %.4f |", this.name, this.unit,
				this.sizeUnit, points, fit.slope(), fit.intercept(), fit.rSquared());
	}

	String toCsv() {
		LinearFit fit = fit();
		StringBuilder lines = new StringBuilder();
		for (int i = 0; i < this.sizes.length; i++) {
			lines.append(String.format(Locale.ROOT, "\"%s\",%s,%s,%.0f,%.3f,%.4f,%.3f,%.5f%n", this.name, this.unit,
					this.sizeUnit, this.sizes[i], this.values[i], fit.slope(), fit.intercept(), fit.rSquared()));
		}
		return lines.toString();
	}

}
