package org.limpetgate.bench.capacity;

import java.util.List;

import net.jqwik.api.Example;
import org.assertj.core.data.Offset;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link LinearFit} and {@link Series}.
 */
class LinearFitTests {

	private static final Offset<Double> TOLERANCE = Offset.offset(1e-9);

	// Guards against wrong slopes in docs/CAPACITY.md.
	@Example
	void fitsTheLineOfLeastSquares() {
		List<Case> cases = List.of(
				// An exact line, a falling one, a constant, and one far from the origin.
				new Case(new double[] { 1, 2, 4 }, new double[] { 5, 8, 14 }, 3, 2, 1),
				new Case(new double[] { 0, 10 }, new double[] { 7, 2 }, -0.5, 7, 1),
				new Case(new double[] { 1, 2, 3 }, new double[] { 4, 4, 4 }, 0, 4, 1),
				new Case(new double[] { 1e6, 1e6 + 1 }, new double[] { 10, 12 }, 2, 10 - 2e6, 1),
				// Computed by hand: sums xx = 5, xy = 3, yy = 5.
				new Case(new double[] { 1, 2, 3, 4 }, new double[] { 2, 1, 4, 3 }, 0.6, 1, 0.36),
				// No relation between x and y.
				new Case(new double[] { -1, 0, 1 }, new double[] { 1, 0, 1 }, 0, 2.0 / 3, 0));
		for (Case fitCase : cases) {
			LinearFit fit = LinearFit.of(fitCase.x, fitCase.y);
			assertThat(fit.slope()).isCloseTo(fitCase.slope, TOLERANCE);
			assertThat(fit.intercept()).isCloseTo(fitCase.intercept, TOLERANCE);
			assertThat(fit.rSquared()).isCloseTo(fitCase.rSquared, TOLERANCE);
		}
	}

	// Guards against a division by zero that would print NaN as a slope.
	@Example
	void refusesPointsWithoutALine() {
		List<double[][]> cases = List.of(new double[][] { { 1 }, { 1 } }, new double[][] { { 1, 2 }, { 1 } },
				new double[][] { { 3, 3 }, { 1, 2 } });
		for (double[][] points : cases) {
			assertThatIllegalArgumentException().isThrownBy(() -> LinearFit.of(points[0], points[1]));
		}
	}

	// Guards against a CSV file whose columns do not match its header, and against names
	// with commas that shift the columns.
	@Example
	void writesOneLineForEachPoint() {
		Series series = Series.measure("table, full", "bytes", "row", new int[] { 1, 2, 3 }, (size) -> 10 + 2 * size);
		String[] lines = series.toCsv().split(System.lineSeparator());
		assertThat(lines).hasSize(3);
		assertThat(lines[2]).isEqualTo("\"table, full\",bytes,row,3,16.000,2.0000,10.000,1.00000");
		assertThat(lines[2].replace("table, full", "").split(",")).hasSameSizeAs(Series.CSV_HEADER.split(","));
	}

	private record Case(double[] x, double[] y, double slope, double intercept, double rSquared) {
	}

}
