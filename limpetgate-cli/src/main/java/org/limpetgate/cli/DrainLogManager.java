package org.limpetgate.cli;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its outputs while the process shuts down.
 * <p>
 * The standard one closes them as soon as a signal arrives, so that the lines of the
 * drain would be lost. Chosen with {@code -Djava.util.logging.manager}.
 */
public final class DrainLogManager extends LogManager {

	@Override
	public void reset() {
		// Outputs are flushed by the command that drains.
	}

}
