package org.limpetgate.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;

import org.limpetgate.config.ConfigurationTable;
import org.limpetgate.config.TableJson;
import org.limpetgate.config.TableName;
import picocli.CommandLine;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Commands that list and edit the rows of one table.
 */
@Command(description = "Lists and edits the rows of a table.", mixinStandardHelpOptions = true,
		synopsisSubcommandLabel = "COMMAND")
final class TableCommand implements Runnable {

	@Spec
	private CommandSpec spec;

	private TableCommand() {
	}

	static CommandLine commandLine(TableName table, Map<String, String> environment) {
		CommandLine line = new CommandLine(new TableCommand());
		line.addSubcommand(new ListRows(table, environment));
		line.addSubcommand(new GetRow(table, environment));
		line.addSubcommand(new PutRow(table, environment));
		line.addSubcommand(new RemoveRow(table, environment));
		return line;
	}

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(),
				"a command is missing; use one of " + String.join(", ", this.spec.subcommands().keySet()));
	}

	/** Base class of the subcommands. */
	private abstract static class RowCommand implements Callable<Integer> {

		private final TableName table;

		@Mixin
		private final ConnectionOptions connection;

		@Spec
		private CommandSpec spec;

		RowCommand(TableName table, Map<String, String> environment) {
			this.table = table;
			this.connection = new ConnectionOptions(environment);
		}

		final TableName table() {
			return this.table;
		}

		final OperatorClient client() {
			return this.connection.createClient();
		}

		final PrintWriter out() {
			return this.spec.commandLine().getOut();
		}

		final void printError(String line) {
			this.spec.commandLine().getErr().println(line);
		}

		final void printAccepted(OperatorClient.Response response) {
			out().println(
					"accepted at version " + response.version() + ", edit " + response.body().path("editId").asText());
		}

	}

	@Command(name = "list", description = "Prints version and name of each row.", mixinStandardHelpOptions = true)
	private static final class ListRows extends RowCommand {

		ListRows(TableName table, Map<String, String> environment) {
			super(table, environment);
		}

		@Override
		public Integer call() {
			client().get(table().text())
				.body()
				.path("rows")
				.forEach((row) -> out().printf("%12d %s%n", row.path("version").asLong(), row.path("name").asText()));
			return ExitCodes.OK;
		}

	}

	@Command(name = "get", description = "Prints a row as JSON, and its version on standard error.",
			mixinStandardHelpOptions = true)
	private static final class GetRow extends RowCommand {

		@Parameters(paramLabel = "NAME", description = "The name of the row.")
		private String name;

		GetRow(TableName table, Map<String, String> environment) {
			super(table, environment);
		}

		@Override
		public Integer call() {
			OperatorClient.Response response = client().get(table().text() + "/" + OperatorClient.encode(this.name));
			out().println(response.body().toPrettyString());
			printError("version " + response.version());
			return ExitCodes.OK;
		}

	}

	@Command(name = "put", description = "Adds or replaces a row.", mixinStandardHelpOptions = true)
	private static final class PutRow extends RowCommand {

		@Parameters(paramLabel = "FILE", description = "A file with the row as JSON.")
		private Path file;

		@ArgGroup(multiplicity = "1")
		private BaseVersion base;

		PutRow(TableName table, Map<String, String> environment) {
			super(table, environment);
		}

		@Override
		public Integer call() {
			byte[] json = InputFiles.read(this.file);
			OperatorClient.Response response = (table() == TableName.ROUTES) ? putRoute(json) : putPool(json);
			printAccepted(response);
			return ExitCodes.OK;
		}

		private OperatorClient.Response putRoute(byte[] json) {
			var route = InputFiles.valueOf(TableJson.readRoute(this.file.toString(), json));
			return client().edit(table(), route.name().value(), this.base.version(), TableJson.write(route));
		}

		private OperatorClient.Response putPool(byte[] json) {
			var pool = InputFiles.valueOf(TableJson.readPool(this.file.toString(), json));
			return client().edit(table(), pool.name().value(), this.base.version(), TableJson.write(pool));
		}

	}

	@Command(name = "remove", description = "Removes a row.", mixinStandardHelpOptions = true)
	private static final class RemoveRow extends RowCommand {

		@Parameters(paramLabel = "NAME", description = "The name of the row.")
		private String name;

		@Option(names = "--base", required = true, paramLabel = "VERSION",
				description = "The version of the row that is to be removed, as 'list' prints it.")
		private long base;

		RemoveRow(TableName table, Map<String, String> environment) {
			super(table, environment);
		}

		@Override
		public Integer call() {
			if (this.base < 0) {
				throw new BadInputException(
						"--base: " + this.base + " is no version; use the version that 'list' prints");
			}
			printAccepted(client().edit(table(), this.name, this.base, ""));
			return ExitCodes.OK;
		}

	}

	/** The row version that an edit is based on, for optimistic concurrency control. */
	private static final class BaseVersion {

		@Option(names = "--base", paramLabel = "VERSION",
				description = "The version of the row that is to be replaced, as 'list' prints it.")
		private Long base;

		@Option(names = "--new", description = "The row does not exist yet.")
		private boolean newRow;

		long version() {
			if (this.base != null && this.base < 0) {
				throw new BadInputException(
						"--base: " + this.base + " is no version; use the version that 'list' prints");
			}
			return (this.base != null) ? this.base : ConfigurationTable.NO_VERSION;
		}

	}

}
