package org.limpetgate.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The append-only log of the platform.
 * <p>
 * An append whose future fails may still have been stored; only reading the stream shows
 * whether it was. Implementations are thread-safe.
 */
public interface LogService {

	/**
	 * Appends records in a single operation.
	 * @param stream the name of the stream, not null
	 * @param records the records, not empty
	 * @return the offset of the first record, or a failure with
	 * {@link org.limpetgate.ErrorKind#LOG_UNAVAILABLE}, after which it is unknown whether
	 * the records were stored
	 */
	CompletableFuture<Long> append(String stream, List<byte[]> records);

	/**
	 * Reads records. If there are none yet, waits until one is appended or the wait time
	 * has elapsed.
	 * @param stream the name of the stream, not null
	 * @param fromOffset the offset of the first record to read
	 * @param maxRecords the maximum number of records to return, at least 1
	 * @param maxWait the maximum time to wait for a record, not null
	 * @return the records, or a failure with
	 * {@link org.limpetgate.ErrorKind#LOG_UNAVAILABLE}
	 */
	CompletableFuture<LogBatch> read(String stream, long fromOffset, int maxRecords, Duration maxWait);

}
