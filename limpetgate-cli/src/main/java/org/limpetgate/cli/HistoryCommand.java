package org.limpetgate.cli;

import java.io.PrintWriter;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Shows the latest edits with their operators and results, or the result of one edit.
 */
@Command(name = "history", description = "Shows the latest edits, or the result of one edit.",
		mixinStandardHelpOptions = true)
final class HistoryCommand implements Callable<Integer> {

	private static final int MAX_LIMIT = 100_000;

	@Mixin
	private final ConnectionOptions connection;

	@Spec
	private CommandSpec spec;

	@Option(names = "--limit", defaultValue = "20", paramLabel = "NUMBER",
			description = "The number of edits to show; default: ${DEFAULT-VALUE}")
	private int limit;

	@Option(names = "--edit", paramLabel = "ID", description = "Show the result of this edit only.")
	private String edit;

	HistoryCommand(Map<String, String> environment) {
		this.connection = new ConnectionOptions(environment);
	}

	@Override
	public Integer call() {
		PrintWriter out = this.spec.commandLine().getOut();
		if (this.edit != null) {
			JsonNode result = this.connection.createClient().get("edits/" + OperatorClient.encode(this.edit)).body();
			out.println(result.toPrettyString());
			boolean hasResult = result.hasNonNull("version") || result.hasNonNull("error");
			return hasResult ? ExitCodes.OK : ExitCodes.UNKNOWN;
		}
		if (this.limit < 1 || this.limit > MAX_LIMIT) {
			throw new BadInputException("--limit: " + this.limit + " is out of range; use 1 to " + MAX_LIMIT);
		}
		this.connection.createClient()
			.get("history?limit=" + this.limit)
			.body()
			.path("entries")
			.forEach((entry) -> print(out, entry));
		return ExitCodes.OK;
	}

	private static void print(PrintWriter out, JsonNode entry) {
		out.printf("%12d %s %-16s %s %s '%s' from version %d: %s%n", entry.path("version").asLong(),
				Instant.ofEpochMilli(entry.path("appendedAtMillis").asLong()), entry.path("operator").asText(),
				entry.path("removal").asBoolean() ? "remove" : "put", entry.path("table").asText(),
				entry.path("name").asText(), entry.path("baseVersion").asLong(), result(entry));
	}

	private static String result(JsonNode entry) {
		String error = entry.path("error").asText();
		return error.isEmpty() ? "accepted" : error + ", " + entry.path("message").asText();
	}

}
