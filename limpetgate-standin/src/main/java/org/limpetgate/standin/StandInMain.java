package org.limpetgate.standin;

import picocli.CommandLine;

/**
 * Runs the stand-ins as processes of their own.
 */
@CommandLine.Command(name = "standin", mixinStandardHelpOptions = true,
		description = "Runs stand-ins for the platform and the upstreams.",
		subcommands = { PlatformCommand.class, RunnerCommand.class, WorkerCommand.class, DevCommand.class })
public final class StandInMain {

	private StandInMain() {
	}

	/**
	 * Runs a command.
	 * @param args the name of the command and its options, not null
	 */
	public static void main(String[] args) {
		System.exit(new CommandLine(new StandInMain()).execute(args));
	}

}
