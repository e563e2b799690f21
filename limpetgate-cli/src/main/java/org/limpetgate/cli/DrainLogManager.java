package org.limpetgate.cli;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers open while the process shuts down.
 * <p>
 * The default log manager closes them in its shutdown hook, which runs concurrently with
 * the drain, so log lines of the drain would be lost. Selected with
 * {@code -Djava.util.logging.manager}.
 */
public final class DrainLogManager extends LogManager {

	@Override
	public void reset() {
		// The handlers stay open; ServeCommand flushes them after the drain.
	}

}
