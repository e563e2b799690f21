package org.limpetgate.platform;

import java.util.List;

/**
 * The answer to a read of a log stream.
 * <p>
 * If {@code firstRetainedOffset} is above the requested offset, the records in between
 * were trimmed; this never means that nothing happened.
 *
 * @param records the records in offset order, possibly empty
 * @param firstRetainedOffset the smallest offset that the platform still keeps
 * @param endOffset the offset that the next appended record will get
 */
public record LogBatch(List<LogRecord> records, long firstRetainedOffset, long endOffset) {

	public LogBatch {
		records = List.copyOf(records);
	}

}
