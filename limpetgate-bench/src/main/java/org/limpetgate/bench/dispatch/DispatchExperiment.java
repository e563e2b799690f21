package org.limpetgate.bench.dispatch;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import picocli.CommandLine;

/**
 * Runs all scenarios with all policies, each with the same seeds, and prints a table of
 * results.
 */
@CommandLine.Command(name = "dispatch-experiment", mixinStandardHelpOptions = true,
		description = "Compares the dispatch policy with the baselines in a simulation.")
public final class DispatchExperiment implements Callable<Integer> {

	private static final long SEED_STEP = 1_000_003;

	@CommandLine.Option(names = "--seed", defaultValue = "1", description = "First seed (${DEFAULT-VALUE}).")
	private long seed;

	@CommandLine.Option(names = "--runs", defaultValue = "3", description = "Seeds per scenario (${DEFAULT-VALUE}).")
	private int runs;

	@CommandLine.Option(names = "--seconds", defaultValue = "40",
			description = "Virtual seconds per run (${DEFAULT-VALUE}).")
	private int seconds;

	@CommandLine.Option(names = "--threads", defaultValue = "3", description = "Threads (${DEFAULT-VALUE}).")
	private int threads;

	@CommandLine.Option(names = "--deployment", split = ",", description = "Deployments, all by default.")
	private List<Deployment> deployments = List.of(Deployment.values());

	@CommandLine.Option(names = "--scenario", split = ",", description = "Scenarios, all by default.")
	private List<Scenario> scenarios = List.of(Scenario.values());

	@CommandLine.Option(names = "--policy", split = ",", description = "Policies, all by default.")
	private List<Policy> policies = List.of(Policy.values());

	@CommandLine.Option(names = "--output", description = "Directory for the CSV file and the plots.")
	private Path output;

	/**
	 * Runs the command.
	 * @param arguments the command-line arguments
	 */
	public static void main(String[] arguments) {
		System.exit(new CommandLine(new DispatchExperiment()).execute(arguments));
	}

	@Override
	public Integer call() throws IOException, InterruptedException, ExecutionException {
		ExecutorService executor = Executors.newFixedThreadPool(this.threads);
		try {
			Report report = new Report();
			for (Deployment deployment : this.deployments) {
				runAll(deployment, executor, report);
			}
			if (this.output != null) {
				Files.createDirectories(this.output);
				report.write(this.output);
			}
		}
		finally {
			executor.shutdownNow();
		}
		return 0;
	}

	private void runAll(Deployment deployment, ExecutorService executor, Report report)
			throws InterruptedException, ExecutionException {
		for (Scenario scenario : this.scenarios) {
			Map<Policy, List<Future<Measurements>>> futures = new EnumMap<>(Policy.class);
			for (Policy policy : this.policies) {
				futures.put(policy, submit(deployment, scenario, policy, executor));
			}
			Map<Policy, Measurements> results = new EnumMap<>(Policy.class);
			for (Map.Entry<Policy, List<Future<Measurements>>> entry : futures.entrySet()) {
				Measurements sum = new Measurements();
				for (Future<Measurements> future : entry.getValue()) {
					sum.add(future.get());
				}
				results.put(entry.getKey(), sum);
			}
			report.add(deployment, scenario, results);
		}
	}

	private List<Future<Measurements>> submit(Deployment deployment, Scenario scenario, Policy policy,
			ExecutorService executor) {
		List<Future<Measurements>> futures = new ArrayList<>();
		for (int i = 0; i < this.runs * Deployment.DATA_CENTRES; i++) {
			long runSeed = this.seed * SEED_STEP + i;
			long end = this.seconds * VirtualTime.SECOND;
			futures
				.add(executor.submit(() -> new SimulatedDataCentre(scenario, deployment, policy, runSeed, end).run()));
		}
		return futures;
	}

}
