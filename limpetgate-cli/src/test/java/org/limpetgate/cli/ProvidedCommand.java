package org.limpetgate.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * A subcommand as another module provides it.
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
