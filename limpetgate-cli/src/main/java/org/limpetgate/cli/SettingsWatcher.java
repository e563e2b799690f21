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
 * Reloads the keys of a host when its settings file changes, so that keys can be rotated
 * without a restart.
 * <p>
 * An invalid file is ignored. Changes to other settings apply only after a restart. Not
 * thread-safe.
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
	 * @param lastModified the modification time of the file before the settings were
	 * read, so that a change during startup is detected; null to reload at the first
	 * check
	 * @param settings the settings in effect, not null
	 * @param replaceKeys called with the new keys of the entry hosts and of the
	 * operators, not null
	 */
	SettingsWatcher(Path file, FileTime lastModified, HostSettings settings,
			BiConsumer<List<Key>, List<Key>> replaceKeys) {
		this.file = Objects.requireNonNull(file, "file");
		this.lastModified = lastModified;
		this.settings = Objects.requireNonNull(settings, "settings");
		this.replaceKeys = Objects.requireNonNull(replaceKeys, "replaceKeys");
	}

	/**
	 * Starts a daemon thread that checks the file every {@value #INTERVAL_SECONDS} s.
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
	 * Reloads the keys if the file has been modified since the last check.
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
				.log("LG4006 RESTART_NEEDED %s changes settings other than keys and operatorKeys; restart the host to apply them",
						this.file);
		}
	}

	private void logInvalidSettings(String problems) {
		log.atWarning()
			.log("LG4005 SETTINGS_FAULTY the modified settings file is invalid; keeping the current keys: %s",
					problems);
	}

}
