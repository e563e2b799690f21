package org.limpetgate.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.limpetgate.config.Configuration;
import org.limpetgate.config.TableJson;
import org.limpetgate.host.settings.HostSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Checks a file with tables or settings without sending anything.
 */
@Command(name = "check", description = "Checks a file with tables, a row or the settings of a host.",
		mixinStandardHelpOptions = true)
final class CheckCommand implements Callable<Integer> {

	@Spec
	private CommandSpec spec;

	@Parameters(paramLabel = "FILE", description = "The file to check.")
	private Path file;

	@Option(names = "--kind", defaultValue = "tables",
			description = "What the file holds: ${COMPLETION-CANDIDATES}; default: ${DEFAULT-VALUE}")
	private Kind kind;

	@Override
	public Integer call() {
		byte[] json = InputFiles.read(this.file);
		String source = this.file.toString();
		String summary = switch (this.kind) {
			case tables -> summary(InputFiles.valueOf(TableJson.readTables(source, json)));
			case route -> "route " + InputFiles.valueOf(TableJson.readRoute(source, json)).name();
			case pool -> "pool " + InputFiles.valueOf(TableJson.readPool(source, json)).name();
			case settings -> "settings of host " + InputFiles.valueOf(HostSettings.read(source, json)).host();
		};
		this.spec.commandLine().getOut().println(source + ": valid, " + summary);
		return ExitCodes.OK;
	}

	private static String summary(Configuration tables) {
		return tables.routes().size() + " routes, " + tables.pools().size() + " pools";
	}

	/** What a file holds, named as on the command line. */
	enum Kind {

		/** Both tables. */
		tables,

		/** One route. */
		route,

		/** One pool. */
		pool,

		/** The settings of a host. */
		settings

	}

}
