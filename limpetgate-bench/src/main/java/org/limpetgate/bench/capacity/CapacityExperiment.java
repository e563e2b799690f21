package org.limpetgate.bench.capacity;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Measures how memory, message sizes and processor time grow with the size of a
 * deployment. Prints a table and writes the data points to a CSV file.
 */
public final class CapacityExperiment {

	private CapacityExperiment() {
	}

	/**
	 * Runs the experiment.
	 * @param args the seed and the CSV file
	 * @throws IOException if the file cannot be written
	 */
	public static void main(String[] args) throws IOException {
		long seed = Long.parseLong(args[0]);
		Path csv = Path.of(args[1]);
		PrintStream out = System.out;
		printLoad(out, "before");
		out.println("| quantity | unit | points (size: value) | slope | intercept | R squared |");
		out.println("| --- | --- | --- | ---: | ---: | ---: |");
		List<Series> allSeries = new ArrayList<>();
		print(new ConfigurationCost().measure(), out, allSeries);
		print(new MembershipCost(seed).measure(), out, allSeries);
		print(new ClaimCost(seed).measure(), out, allSeries);
		print(new SubmissionCost(seed).measure(), out, allSeries);
		print(new DispatchCost(seed).measure(), out, allSeries);
		StringBuilder lines = new StringBuilder(Series.CSV_HEADER).append(System.lineSeparator());
		allSeries.forEach((series) -> lines.append(series.toCsv()));
		Files.writeString(csv, lines, StandardCharsets.UTF_8);
		printLoad(out, "after");
	}

	private static void print(List<Series> measured, PrintStream out, List<Series> allSeries) {
		measured.forEach((series) -> out.println(series.toRow()));
		allSeries.addAll(measured);
	}

	private static void printLoad(PrintStream out, String when) {
		out.printf(Locale.ROOT, "system load average %s: %.1f on %d processors%n", when,
				ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage(),
				Runtime.getRuntime().availableProcessors());
	}

}
