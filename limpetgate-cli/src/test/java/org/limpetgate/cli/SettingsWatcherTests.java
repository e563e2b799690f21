package org.limpetgate.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import net.jqwik.api.Example;
import org.limpetgate.ErrorKind;
import org.limpetgate.host.settings.HostSettings;
import org.limpetgate.host.settings.Key;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SettingsWatcher}.
 */
class SettingsWatcherTests {

	private static final String OLD = key("old", 'o');

	private static final String NEW = key("new", 'n');

	private static String key(String id, char secret) {
		return "{'id':'" + id + "','secret':'" + String.valueOf(secret).repeat(40) + "'}";
	}

	private static String settings(String keys, String operatorKeys, int size) {
		return ("{'host':'h','dataCentre':'d','size':" + size + ",'platform':[{'address':'127.0.0.1','port':9}],"
				+ "'keys':[" + keys + "],'operatorKeys':[" + operatorKeys + "]}")
			.replace('\'', '"');
	}

	/**
	 * Steps of a key rotation, each with the expected new keys and a part of the expected
	 * log line, if any. Guards against a rotation that needs a restart, an invalid file
	 * that removes keys, and a change to other settings that is ignored without a
	 * warning.
	 */
	@Example
	void reloadsTheKeysOfValidFiles() throws IOException {
		record Step(String content, boolean touched, String replaced, String logged) {
		}
		String first = settings(OLD, OLD, 1);
		List<Step> steps = List.of(new Step(first, false, "", ""), new Step(first, true, "", ""),
				new Step(settings(OLD + "," + NEW, OLD, 1), false, "", ""),
				new Step(settings(OLD + "," + NEW, OLD, 1), true, "[key old, key new] [key old]", ""),
				new Step(settings(NEW + "," + OLD, NEW, 1), true, "[key new, key old] [key new]", ""),
				new Step("{", true, "", "LG4005"),
				new Step(settings(NEW, "{'id':'x','secret':'short'}", 0), true, "", "$.operatorKeys[0].secret"),
				new Step(settings(NEW, "{'id':'x','secret':'short'}", 0), true, "", "$.size"),
				new Step(settings(NEW, NEW, 2), true, "[key new] [key new]", "LG4006"),
				new Step(settings("", NEW, 1), true, "", "at least one"),
				new Step(settings(NEW, key("new", 'x'), 1), true, "[key new] [key new]", ""));
		Path file = Files.createTempFile("settings", ".json");
		Logger logger = Logger.getLogger(SettingsWatcher.class.getName());
		LogLines lines = new LogLines();
		logger.addHandler(lines);
		List<String> replaced = new ArrayList<>();
		long modified = 1_000_000;
		Files.writeString(file, first);
		Files.setLastModifiedTime(file, FileTime.fromMillis(modified));
		SettingsWatcher watcher = new SettingsWatcher(file, FileTime.fromMillis(modified),
				HostSettings.read("first", first.getBytes(StandardCharsets.UTF_8)).orThrow(ErrorKind.INVALID_EDIT),
				(keys, operatorKeys) -> replaced.add(requireNonEmpty(keys) + " " + operatorKeys));
		for (Step step : steps) {
			replaced.clear();
			lines.messages.clear();
			modified += step.touched ? 1 : 0;
			Files.writeString(file, step.content);
			Files.setLastModifiedTime(file, FileTime.fromMillis(modified));
			watcher.reloadIfModified();
			watcher.reloadIfModified();
			assertThat(String.join(";", replaced)).as(step.toString()).isEqualTo(step.replaced);
			assertThat(lines.messages).as(step.toString()).hasSize(step.logged.isEmpty() ? 0 : 1);
			assertThat(String.join(";", lines.messages)).contains(step.logged).doesNotContain("short");
		}
		logger.removeHandler(lines);
		Files.delete(file);
	}

	/** Rejects an empty list, as the host does. */
	private static List<Key> requireNonEmpty(List<Key> keys) {
		if (keys.isEmpty()) {
			throw new IllegalArgumentException("add at least one");
		}
		return keys;
	}

	private static final class LogLines extends Handler {

		private final List<String> messages = new ArrayList<>();

		@Override
		public void publish(LogRecord line) {
			this.messages.add(line.getMessage());
		}

		@Override
		public void flush() {
		}

		@Override
		public void close() {
		}

	}

}
