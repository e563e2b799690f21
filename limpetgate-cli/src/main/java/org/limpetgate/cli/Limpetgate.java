package org.limpetgate.cli;

import java.io.PrintWriter;
import java.util.Map;
import java.util.ServiceLoader;

import com.google.common.flogger.FluentLogger;
import org.limpetgate.config.TableName;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParameterException;

/**
 * The {@code limpetgate} command.
 */
@Command(name = "limpetgate", description = "Dispatches sub-second tasks from callers to upstreams.",
		mixinStandardHelpOptions = true, versionProvider = BuildVersion.class, synopsisSubcommandLabel = "COMMAND",
		exitCodeListHeading = "Exit codes:%n",
		exitCodeList = { "0:done", "1:refused or unreachable; nothing was changed",
				"2:invalid arguments or file; nothing was sent", "3:result unknown; the edit may have taken effect" })
public final class Limpetgate implements Runnable {

	private static final FluentLogger log = FluentLogger.forEnclosingClass();

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	/**
	 * Runs the command line and exits with one of the {@link ExitCodes}.
	 * @param arguments the command-line arguments, not null
	 */
	public static void main(String[] arguments) {
		System.exit(commandLine(System.getenv()).execute(arguments));
	}

	/**
	 * Creates the command line with all subcommands.
	 * @param environment the environment variables, not null
	 * @return the command line, not null
	 */
	public static CommandLine commandLine(Map<String, String> environment) {
		CommandLine line = new CommandLine(new Limpetgate());
		line.addSubcommand(new CheckCommand());
		for (TableName table : TableName.values()) {
			line.addSubcommand(table.text(), TableCommand.commandLine(table, environment));
		}
		line.addSubcommand("tables", TablesCommand.commandLine(environment));
		line.addSubcommand(new StatusCommand(environment));
		line.addSubcommand(new HistoryCommand(environment));
		ServiceLoader.load(CliCommand.class).forEach(line::addSubcommand);
		line.setExecutionExceptionHandler(Limpetgate::handleFailure);
		line.setCaseInsensitiveEnumValuesAllowed(true);
		return line;
	}

	@Override
	public void run() {
		throw new ParameterException(this.spec.commandLine(),
				"a command is missing; use one of " + String.join(", ", this.spec.subcommands().keySet()));
	}

	private static int handleFailure(Exception failure, CommandLine line, CommandLine.ParseResult result) {
		PrintWriter errors = line.getErr();
		if (failure instanceof BadInputException) {
			errors.println(failure.getMessage());
			return ExitCodes.BAD_INPUT;
		}
		if (failure instanceof RequestFailedException refused) {
			errors.println(refused.getMessage());
			return refused.exitCode();
		}
		log.atSevere()
			.withCause(failure)
			.log("LG2112 COMMAND_FAULT unexpected error in command %s", line.getCommandName());
		errors.println("unexpected error: " + failure + "; report it as a bug together with the surrounding log lines");
		return ExitCodes.REFUSED;
	}

}
