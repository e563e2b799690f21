package org.limpetgate.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * A subcommand that is registered through a service file, as in another module.
 */
@Command(name = "provided")
public final class ProvidedCommand implements CliCommand {

	@Spec
	private CommandSpec spec;

	@Override
	public Integer call() {
		this.spec.commandLine().getOut().println("found by its service file");
		return ExitCodes.OK;
	}

}
