package org.limpetgate.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import com.google.common.flogger.FluentLogger;
import org.limpetgate.ErrorKind;
import org.limpetgate.host.settings.HostSettings;
import org.limpetgate.host.settings.Key;
import org.limpetgate.json.JsonResult;

/**
 * Takes over the keys of a settings file when the file changes, so that keys are rotated
 * without a restart.
 * <p>
 * A faulty file changes nothing. Other settings are not taken over. Not thread-safe.
 */
final class SettingsWatcher {

	private static final long INTERVAL_SECONDS = 5;

	private static final FluentLogger log = FluentLogger.forEnclosingClass();

	private final Path file;

	private final BiConsumer<List<Key>, List<Key>> replaceKeys;

	private FileTime lastModified;

	private HostSettings settings;

	/**
	 * Creates a watcher.
	 * @param file the settings file, not null
	 * @param modified the modification time from before the settings were read, so that a
	 * change during the start is noticed; null reads the file at the first look
	 * @param settings the settings in use, not null
	 * @param replaceKeys takes the keys of the entry hosts and of the operators, not null
	 */
	SettingsWatcher(Path file, FileTime lastModified, HostSettings settings,
			BiConsumer<List<Key>, List<Key>> replaceKeys) {
		this.file = Objects.requireNonNull(file, "file");
		this.lastModified = lastModified;
		this.settings = Objects.requireNonNull(settings, "settings");
		this.replaceKeys = Objects.requireNonNull(replaceKeys, "replaceKeys");
	}

	/**
	 * Looks at the file every {@value #INTERVAL_SECONDS} s on a daemon thread.
	 */
	void start() {
		Thread thread = new Thread(this::run, "settings-watcher");
		thread.setDaemon(true);
		thread.start();
	}

	private void run() {
		try {
			while (true) {
				TimeUnit.SECONDS.sleep(INTERVAL_SECONDS);
				reloadIfModified();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Takes over the keys if the file has changed since the last look.
	 */
	void reloadIfModified() {
		try {
			FileTime currentModified = Files.getLastModifiedTime(this.file);
			if (!currentModified.equals(this.lastModified)) {
				JsonResult<HostSettings> result = HostSettings.read(this.file.toString(),
						Files.readAllBytes(this.file));
				this.lastModified = currentModified;
				apply(result);
			}
		}
		catch (IOException | RuntimeException ex) {
			logInvalidSettings(ex.toString());
		}
	}

	private void apply(JsonResult<HostSettings> result) {
		if (!result.isValid()) {
			logInvalidSettings(result.problemText());
			return;
		}
		HostSettings updated = result.orThrow(ErrorKind.INVALID_EDIT);
		HostSettings rotated = this.settings.withKeys(updated.keys(), updated.operatorKeys());
		if (!rotated.equals(this.settings)) {
			this.replaceKeys.accept(updated.keys(), updated.operatorKeys());
			this.settings = rotated;
		}
		if (!rotated.equals(updated)) {
			log.atWarning()
				.log("LG4006 RESTART_NEEDED %s changes settings besides keys and operatorKeys; they apply after a restart",
						this.file);
		}
	}

	private void logInvalidSettings(String problems) {
		log.atWarning().log("LG4005 SETTINGS_FAULTY the changed settings are ignored and the keys stay: %s", problems);
	}

}
