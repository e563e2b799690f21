package org.limpetgate.host;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/**
 * Passes the records of the process's root logger to an {@link EventLog}, so that all
 * lines have the same destination and none blocks the thread that logs it.
 * <p>
 * Thread-safe.
 */
public final class EventLogHandler extends Handler {

	// The logging library references loggers weakly; without this field the handler could
	// be garbage-collected.
	private static final Logger ROOT_LOGGER = Logger.getLogger("");

	private final EventLog log;

	private final SimpleFormatter formatter = new SimpleFormatter();

	private EventLogHandler(EventLog log) {
		this.log = log;
	}

	/**
	 * Replaces all handlers of the process's root logger.
	 * @param log the destination of the lines, not null
	 */
	public static void install(EventLog log) {
		for (Handler handler : ROOT_LOGGER.getHandlers()) {
			ROOT_LOGGER.removeHandler(handler);
		}
		ROOT_LOGGER.addHandler(new EventLogHandler(log));
	}

	@Override
	public void publish(LogRecord logRecord) {
		if (logRecord.getLevel().intValue() < Level.INFO.intValue()) {
			return;
		}
		String text = this.formatter.formatMessage(logRecord);
		if (logRecord.getThrown() != null) {
			StringBuilder trace = new StringBuilder(text).append(" cause=").append(logRecord.getThrown());
			for (StackTraceElement element : logRecord.getThrown().getStackTrace()) {
				trace.append(" at ").append(element);
			}
			text = trace.toString();
		}
		this.log.writeLine(text);
	}

	@Override
	public void flush() {
		// The writer of the event log flushes each batch.
	}

	@Override
	public void close() {
		// The event log is closed by its owner.
	}

}
