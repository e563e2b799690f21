package org.limpetgate.cli;

import java.nio.file.Path;
import java.util.Iterator;
import java.util.Locale;
import java.util.ServiceLoader;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.limpetgate.config.FileCheck;
import org.limpetgate.config.TableJson;
import org.limpetgate.host.settings.HostSettings;
import org.limpetgate.json.JsonResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Validates a file without contacting a host.
 */
@Command(name = "check", description = "Validates a file with tables, a row, the settings of a host or a deployment.",
		mixinStandardHelpOptions = true)
final class CheckCommand implements Callable<Integer> {

	@Spec
	private CommandSpec spec;

	@Parameters(paramLabel = "FILE", description = "The file to check.")
	private Path file;

	@Option(names = "--kind", defaultValue = "tables", completionCandidates = Kinds.class,
			description = "The kind of file: ${COMPLETION-CANDIDATES}; default: ${DEFAULT-VALUE}")
	private String kind;

	@Override
	public Integer call() {
		FileCheck check = checks().filter((candidate) -> candidate.kind().equalsIgnoreCase(this.kind))
			.findFirst()
			.orElseThrow(() -> new BadInputException("--kind: '" + this.kind + "' is not known; use one of "
					+ checks().map(FileCheck::kind).collect(Collectors.joining(", "))));
		byte[] content = InputFiles.read(this.file);
		String summary = InputFiles.valueOf(check.check(this.file, content));
		this.spec.commandLine().getOut().println(this.file + ": valid, " + summary);
		return ExitCodes.OK;
	}

	private static Stream<FileCheck> checks() {
		return Stream.concat(Stream.of(BuiltInCheck.values()),
				ServiceLoader.load(FileCheck.class).stream().map(ServiceLoader.Provider::get));
	}

	/** The kinds of file that the help text lists. */
	private static final class Kinds implements Iterable<String> {

		@Override
		public Iterator<String> iterator() {
			return checks().map(FileCheck::kind).iterator();
		}

	}

	/**
	 * The file kinds of the command line itself; other modules provide {@link FileCheck}
	 * services.
	 */
	private enum BuiltInCheck implements FileCheck {

		/** The routes and the pools. */
		TABLES {
			@Override
			public JsonResult<String> check(Path file, byte[] content) {
				return TableJson.readTables(file.toString(), content)
					.map((tables) -> tables.routes().size() + " routes, " + tables.pools().size() + " pools");
			}
		},

		/** One route. */
		ROUTE {
			@Override
			public JsonResult<String> check(Path file, byte[] content) {
				return TableJson.readRoute(file.toString(), content).map((route) -> "route " + route.name());
			}
		},

		/** One pool. */
		POOL {
			@Override
			public JsonResult<String> check(Path file, byte[] content) {
				return TableJson.readPool(file.toString(), content).map((pool) -> "pool " + pool.name());
			}
		},

		/** The settings of a host. */
		SETTINGS {
			@Override
			public JsonResult<String> check(Path file, byte[] content) {
				return HostSettings.read(file.toString(), content)
					.map((settings) -> "settings of host " + settings.host());
			}
		};

		@Override
		public String kind() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}
