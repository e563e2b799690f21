package org.limpetgate.host;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares the log events in the sources of all modules with their catalogue.
 */
class LogEventTests {

	private static final Path ROOT = Path.of("..");

	private static final Pattern ROW = Pattern.compile("(?m)^\\| (\\d{4}) \\| (\\w+) \\|");

	private static final Pattern LITERAL = Pattern.compile("\"LG(\\d{4}) ([A-Z_]+) ");

	private static final Pattern ANY_LITERAL = Pattern.compile("\"LG\\d");

	/**
	 * Guards against events that operators cannot look up, a number with two meanings,
	 * and rows of events that no longer exist.
	 */
	@Example
	void catalogueHasEachEventOnce() throws IOException {
		List<String> events = new ArrayList<>();
		for (LogEvent event : LogEvent.values()) {
			events.add(event.number() + " " + event.name());
		}
		for (Path source : sources()) {
			String text = Files.readString(source);
			List<String> literals = find(LITERAL, text);
			assertThat(literals).as("each event in %s has a number and a name", source)
				.hasSize((int) ANY_LITERAL.matcher(text).results().count());
			events.addAll(literals);
		}
		List<String> rows = find(ROW, Files.readString(ROOT.resolve("docs").resolve("log-events.md")));
		assertThat(rows).isSorted().containsExactlyInAnyOrderElementsOf(events);
		assertThat(events).extracting((event) -> event.substring(0, 4)).doesNotHaveDuplicates();
	}

	private static List<String> find(Pattern pattern, String text) {
		return pattern.matcher(text).results().map((match) -> match.group(1) + " " + match.group(2)).toList();
	}

	private static List<Path> sources() throws IOException {
		List<Path> sources = new ArrayList<>();
		try (Stream<Path> modules = Files.list(ROOT)) {
			for (Path module : modules.map((path) -> path.resolve("src/main/java"))
				.filter(Files::isDirectory)
				.toList()) {
				try (Stream<Path> files = Files.walk(module)) {
					files.filter((file) -> file.toString().endsWith(".java")).forEach(sources::add);
				}
			}
		}
		assertThat(sources).hasSizeGreaterThan(100);
		return sources;
	}

}
