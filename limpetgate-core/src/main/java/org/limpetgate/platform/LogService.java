package org.limpetgate.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The append-only log of the platform.
 * <p>
 * An append whose future fails may have been stored all the same; only what is read back
 * is true. Implementations are thread-safe.
 */
public interface LogService {

	/**
	 * Appends records in one operation.
	 * @param stream the name of the stream, not null
	 * @param records the records, not empty
	 * @return the offset of the first record, or a failure with
	 * {@link org.limpetgate.ErrorKind#LOG_UNAVAILABLE}, which leaves open whether the
	 * records were stored
	 */
	CompletableFuture<Long> append(String stream, List<byte[]> records);

	/**
	 * Reads records. If there are none yet, the answer waits until one arrives or the
	 * time is over.
	 * @param stream the name of the stream, not null
	 * @param fromOffset the offset of the first record wanted
	 * @param maxRecords the most records to return, at least 1
	 * @param maxWait the longest time to wait for a record, not null
	 * @return the records, or a failure with
	 * {@link org.limpetgate.ErrorKind#LOG_UNAVAILABLE}
	 */
	CompletableFuture<LogBatch> read(String stream, long fromOffset, int maxRecords, Duration maxWait);

}
