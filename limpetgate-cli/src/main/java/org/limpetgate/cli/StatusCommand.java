package org.limpetgate.cli;

import java.io.PrintWriter;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Shows the configuration version in effect at each host.
 */
@Command(name = "status",
		description = "Shows the configuration version in effect at each host and its lag. With --metrics, shows the "
				+ "state of one host on the platform.",
		mixinStandardHelpOptions = true)
final class StatusCommand implements Callable<Integer> {

	@Mixin
	private final ConnectionOptions connection;

	@Option(names = "--metrics", paramLabel = "URL",
			description = "The metrics address of a host on the platform, for example http://10.1.0.13:9464/metrics")
	private URI metrics;

	@Spec
	private CommandSpec spec;

	StatusCommand(Map<String, String> environment) {
		this.connection = new ConnectionOptions(environment);
	}

	@Override
	public Integer call() {
		if (this.metrics != null) {
			printHostMetrics(validMetricsAddress());
			return ExitCodes.OK;
		}
		JsonNode status = this.connection.createClient().get("status").body();
		PrintWriter out = this.spec.commandLine().getOut();
		out.printf("host %s: %s, version %d%s%s%n", status.path("host").asText(),
				status.path("ready").asBoolean() ? "ready" : "not ready", status.path("version").asLong(),
				status.path("logFailing").asBoolean() ? ", log unreachable" : "",
				status.path("inGap").asBoolean() ? ", records are missing" : "");
		if (status.path("divergentSnapshots").asLong() > 0) {
			out.printf("%d snapshots contradict the tables of this host; report this fault%n",
					status.path("divergentSnapshots").asLong());
		}
		out.printf("%-32s %-24s %12s %12s %14s%n", "HOST", "DATA CENTRE", "VERSION", "BEHIND (ms)", "LAST SEEN (ms)");
		status.path("hosts")
			.forEach((host) -> out.printf("%-32s %-24s %12d %12d %14d%n", host.path("host").asText(),
					host.path("dataCentre").asText(), host.path("version").asLong(), host.path("behindMillis").asLong(),
					host.path("heardAgoMillis").asLong()));
		return ExitCodes.OK;
	}

	private URI validMetricsAddress() {
		if (!"http".equals(this.metrics.getScheme()) || this.metrics.getHost() == null) {
			throw new BadInputException(
					"--metrics: '" + this.metrics + "' is no address; use for example http://10.1.0.13:9464/metrics");
		}
		return this.metrics;
	}

	private void printHostMetrics(URI address) {
		Map<String, Double> values = new HostMetricsReader(address).read();
		PrintWriter out = this.spec.commandLine().getOut();
		out.printf("host %s: %s, version %d, %s%n", address.getAuthority(),
				(number(values, "ready") == 1) ? "ready" : "not ready", number(values, "configuration_version"),
				(number(values, "scheduling") == 1) ? "schedules" : "does not schedule");
		out.printf("%d workers listed, %d jobs open, %d jobs waiting for capacity%n", number(values, "workers_listed"),
				number(values, "jobs_open"), number(values, "jobs_waiting"));
		if (values.containsKey("datacentres_drained")) {
			out.printf("%d data centres drained, as of version %d of the operators' records%n",
					number(values, "datacentres_drained"), number(values, "drain_version"));
		}
		if (number(values, "log_dropped") > 0) {
			out.printf("%d log lines were dropped%n", number(values, "log_dropped"));
		}
	}

	private static long number(Map<String, Double> values, String name) {
		return values.getOrDefault(name, 0.0).longValue();
	}

}
