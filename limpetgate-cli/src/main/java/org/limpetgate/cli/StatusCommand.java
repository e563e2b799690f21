package org.limpetgate.cli;

import java.io.PrintWriter;
import java.util.Map;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * Shows the version in force at each host.
 */
@Command(name = "status", description = "Shows the version in force at each host, and who is behind.",
		mixinStandardHelpOptions = true)
final class StatusCommand implements Callable<Integer> {

	@Mixin
	private final Connection connection;

	@Spec
	private CommandSpec spec;

	StatusCommand(Map<String, String> environment) {
		this.connection = new Connection(environment);
	}

	@Override
	public Integer call() {
		JsonNode status = this.connection.open().get("status").body();
		PrintWriter out = this.spec.commandLine().getOut();
		out.printf("host %s: %s, version %d%s%s%n", status.path("host").asText(),
				status.path("ready").asBoolean() ? "ready" : "not ready", status.path("version").asLong(),
				status.path("logFailing").asBoolean() ? ", log out of reach" : "",
				status.path("inGap").asBoolean() ? ", records are missing" : "");
		if (status.path("divergentSnapshots").asLong() > 0) {
			out.printf("%d snapshots contradict the tables of this host; report this fault%n",
					status.path("divergentSnapshots").asLong());
		}
		out.printf("%-32s %-24s %12s %12s %14s%n", "HOST", "DATA CENTRE", "VERSION", "BEHIND (ms)", "HEARD AGO (ms)");
		status.path("hosts")
			.forEach((host) -> out.printf("%-32s %-24s %12d %12d %14d%n", host.path("host").asText(),
					host.path("dataCentre").asText(), host.path("version").asLong(), host.path("behindMillis").asLong(),
					host.path("heardAgoMillis").asLong()));
		return ExitCodes.OK;
	}

}
