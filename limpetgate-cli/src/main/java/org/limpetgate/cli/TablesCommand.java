package org.limpetgate.cli;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;

import org.limpetgate.config.TableJson;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Commands that print or replace the routes and the pools together.
 */
@Command(name = "tables", description = "Prints both tables, or replaces them after they were lost.",
		mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND")
final class TablesCommand implements Runnable {

	@Spec
	private CommandSpec spec;

	private TablesCommand() {
	}

	static CommandLine commandLine(Map<String, String> environment) {
		CommandLine line = new CommandLine(new TablesCommand());
		line.addSubcommand(new Get(environment));
		line.addSubcommand(new Reset(environment));
		return line;
	}

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(), "a command is missing; use get or reset");
	}

	@Command(name = "get", description = "Prints both tables in the form that 'check' and 'tables reset' read.",
			mixinStandardHelpOptions = true)
	private static final class Get implements Callable<Integer> {

		@Mixin
		private final ConnectionOptions connection;

		@Spec
		private CommandSpec spec;

		Get(Map<String, String> environment) {
			this.connection = new ConnectionOptions(environment);
		}

		@Override
		public Integer call() {
			OperatorClient.Response response = this.connection.createClient().get("tables");
			this.spec.commandLine().getOut().println(response.body().toPrettyString());
			this.spec.commandLine().getErr().println("version " + response.version());
			return ExitCodes.OK;
		}

	}

	@Command(name = "reset", description = "Replaces both tables after all hosts have lost them.",
			mixinStandardHelpOptions = true)
	private static final class Reset implements Callable<Integer> {

		@Mixin
		private final ConnectionOptions connection;

		@Spec
		private CommandSpec spec;

		@Parameters(paramLabel = "FILE", description = "A file with both tables.")
		private Path file;

		Reset(Map<String, String> environment) {
			this.connection = new ConnectionOptions(environment);
		}

		@Override
		public Integer call() {
			byte[] json = InputFiles.read(this.file);
			InputFiles.valueOf(TableJson.readTables(this.file.toString(), json));
			OperatorClient.Response response = this.connection.createClient()
				.reset(new String(json, StandardCharsets.UTF_8));
			this.spec.commandLine().getOut().println("reset at version " + response.version());
			return ExitCodes.OK;
		}

	}

}
