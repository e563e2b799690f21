package org.limpetgate.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.FileHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.limpetgate.host.settings.LogFile;

/**
 * Configures logging to standard error or to rotating files, with time and level on each
 * line.
 */
public final class LogOutput {

	// java.util.logging references loggers weakly; this field keeps the root logger and
	// its handlers from being garbage collected.
	private static final Logger ROOT = Logger.getLogger("");

	private LogOutput() {
	}

	/**
	 * Replaces all handlers of the root logger.
	 * @param file the log file settings, not null; an empty path selects standard error
	 */
	public static void configure(LogFile file) {
		for (Handler handler : ROOT.getHandlers()) {
			ROOT.removeHandler(handler);
		}
		Handler handler = handler(file);
		handler.setFormatter(new LineFormatter());
		handler.setLevel(Level.INFO);
		ROOT.addHandler(handler);
	}

	private static Handler handler(LogFile file) {
		if (file.path().isEmpty()) {
			return new ConsoleHandler();
		}
		try {
			return new FileHandler(file.path(), file.maxBytes(), file.files(), true);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("log file '" + file.path() + "' cannot be opened; use a writable path", ex);
		}
	}

	/**
	 * Flushes all handlers.
	 */
	public static void flush() {
		for (Handler handler : ROOT.getHandlers()) {
			handler.flush();
		}
	}

	private static final class LineFormatter extends Formatter {

		@Override
		public String format(LogRecord logRecord) {
			StringBuilder line = new StringBuilder();
			line.append(Instant.ofEpochMilli(logRecord.getMillis())).append(' ');
			line.append(logRecord.getLevel().getName()).append(' ');
			line.append(formatMessage(logRecord)).append('\n');
			if (logRecord.getThrown() != null) {
				StringWriter trace = new StringWriter();
				logRecord.getThrown().printStackTrace(new PrintWriter(trace));
				line.append(trace);
			}
			return line.toString();
		}

	}

}
