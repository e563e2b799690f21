package org.limpetgate.platform;

import java.util.List;

/**
 * The response to a read of a log stream.
 * <p>
 * If {@code firstRetainedOffset} is above the requested offset, the records in between
 * were trimmed; it does not mean that they never existed.
 *
 * @param records the records in offset order, possibly empty
 * @param firstRetainedOffset the lowest offset that the platform still retains
 * @param endOffset the offset of the next record to be appended
 */
public record LogBatch(List<LogRecord> records, long firstRetainedOffset, long endOffset) {

	public LogBatch {
		records = List.copyOf(records);
	}

}
