package org.limpetgate.bench.dispatch;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/**
 * Prints the results as tables and writes them as CSV files and plots.
 */
final class Report {

	private static final List<Column> COLUMNS = columns();

	private final List<String> csv = new ArrayList<>();

	private final List<String> series = new ArrayList<>(List.of("deployment,scenario,policy,arrival_s,short_p90"));

	private final List<XYChart> plots = new ArrayList<>();

	Report() {
		StringBuilder head = new StringBuilder("deployment,scenario,policy");
		COLUMNS.forEach((column) -> head.append(',').append(column.name));
		this.csv.add(head.toString());
	}

	private static List<Column> columns() {
		List<Column> columns = new ArrayList<>();
		for (Measurements.WorkClass workClass : Measurements.WorkClass.values()) {
			for (double percentile : new double[] { 50, 99, 99.9 }) {
				String suffix = "_p" + ((percentile == 99.9) ? "99.9" : (int) percentile);
				columns.add(new Column(workClass.name().toLowerCase(Locale.ROOT) + suffix,
						(measurements) -> measurements.slowdown(workClass, percentile)));
			}
		}
		columns.add(new Column("short_p99", (measurements) -> measurements.shortSlowdown(99)));
		columns.add(new Column("short_wait_ms_p99", (measurements) -> measurements.shortWaitMillis(99)));
		columns.add(new Column("wasted_per_100", Measurements::wastedPer100));
		columns.add(new Column("goodput_runners", (measurements) -> measurements.goodput(Workload.RUNNERS)));
		columns.add(new Column("goodput_workers", (measurements) -> measurements.goodput(Workload.WORKERS)));
		columns.add(new Column("in_time", Measurements::inTimeShare));
		columns.add(new Column("refused", (measurements) -> measurements.refused));
		columns.add(new Column("recovery_s", Measurements::recoverySeconds));
		columns.add(new Column("idem_lost_pct", Measurements::idempotentLostPercent));
		columns.add(new Column("other_lost_pct", Measurements::nonIdempotentLostPercent));
		columns.add(new Column("overbooked_pct", Measurements::overbookedPercent));
		columns.add(new Column("bad_attempts", Measurements::attemptsPerBadTask));
		return columns;
	}

	void add(Deployment deployment, Scenario scenario, Map<Policy, Measurements> results) {
		System.out.printf("%n%s %s%n%-20s", deployment, scenario, "");
		results.keySet().forEach((policy) -> System.out.printf("%20s", policy));
		System.out.println();
		for (Column column : COLUMNS) {
			System.out.printf("%-20s", column.name);
			results.values()
				.forEach((value) -> System.out.printf(Locale.ROOT, "%20.3f", column.value.applyAsDouble(value)));
			System.out.println();
		}
		results.forEach((policy, value) -> addSeries(deployment + "," + scenario + "," + policy, value));
		results.forEach((policy, value) -> this.csv.add(row(deployment, scenario, policy, value)));
		this.plots.add(plot(deployment, scenario, results));
	}

	private void addSeries(String prefix, Measurements value) {
		double[] series = value.series();
		for (int i = 0; i < series.length; i++) {
			this.series
				.add(String.format(Locale.ROOT, "%s,%.1f,%.3f", prefix, i * Measurements.windowSeconds(), series[i]));
		}
	}

	private static String row(Deployment deployment, Scenario scenario, Policy policy, Measurements value) {
		StringBuilder row = new StringBuilder(deployment + "," + scenario + "," + policy);
		for (Column column : COLUMNS) {
			row.append(',').append(String.format(Locale.ROOT, "%.4f", column.value.applyAsDouble(value)));
		}
		return row.toString();
	}

	private static XYChart plot(Deployment deployment, Scenario scenario, Map<Policy, Measurements> results) {
		XYChart chart = new XYChartBuilder().width(900)
			.height(500)
			.title(deployment + " " + scenario)
			.xAxisTitle("time of arrival (s)")
			.yAxisTitle("slowdown of short tasks, p90")
			.build();
		chart.getStyler().setYAxisLogarithmic(true).setMarkerSize(0);
		results.forEach((policy, value) -> {
			double[] series = value.series();
			List<Double> times = new ArrayList<>();
			List<Double> values = new ArrayList<>();
			for (int i = 0; i < series.length; i++) {
				if (series[i] > 0) {
					times.add(i * Measurements.windowSeconds());
					values.add(series[i]);
				}
			}
			chart.addSeries(policy.name(), times, values);
		});
		return chart;
	}

	void write(Path directory) throws IOException {
		Files.write(directory.resolve("dispatch.csv"), this.csv);
		Files.write(directory.resolve("series.csv"), this.series);
		for (XYChart plot : this.plots) {
			String name = plot.getTitle().toLowerCase(Locale.ROOT).replace(' ', '-');
			BitmapEncoder.saveBitmap(plot, directory.resolve(name).toString(), BitmapEncoder.BitmapFormat.PNG);
		}
	}

	/**
	 * A column of the table.
	 *
	 * @param name the name
	 * @param value returns the value of the column
	 */
	private record Column(String name, ToDoubleFunction<Measurements> value) {
	}

}
