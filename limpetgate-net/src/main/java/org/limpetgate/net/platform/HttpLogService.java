package org.limpetgate.net.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import org.limpetgate.ErrorKind;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.http.HttpReply;
import org.limpetgate.platform.LogBatch;
import org.limpetgate.platform.LogRecord;
import org.limpetgate.platform.LogService;

/**
 * Client of the platform's log.
 * <p>
 * An append is sent once. A failure before it was sent, or one that the platform reports
 * as not run, is {@link org.limpetgate.Outcome#NOT_RUN}: nothing was stored. All other
 * failures are {@link org.limpetgate.Outcome#UNKNOWN}. Thread-safe.
 */
public final class HttpLogService implements LogService, AutoCloseable {

	private static final Map<String, String> BINARY = Map.of("content-type", "application/octet-stream");

	private static final byte[] EMPTY = {};

	private final PlatformClient http;

	private final InetSocketAddress address;

	private HttpLogService(PlatformClient http, InetSocketAddress address) {
		this.http = http;
		this.address = address;
	}

	/**
	 * Returns a client. Connections are opened when they are needed.
	 * @param group the event loops, which stay open when the client is closed, not null
	 * @param address the address of the platform, not null
	 * @param settings the limits, not null
	 * @return the client, not null
	 */
	public static HttpLogService of(EventLoopGroup group, InetSocketAddress address, PlatformClientSettings settings) {
		return new HttpLogService(new PlatformClient(group, settings, ErrorKind.LOG_UNAVAILABLE), address);
	}

	@Override
	public CompletableFuture<Long> append(String stream, List<byte[]> records) {
		if (records.isEmpty()) {
			throw new IllegalArgumentException("records must not be empty; append at least one");
		}
		HttpCall call = new HttpCall("POST", path(stream), BINARY, LogCodec.encodePayloads(records));
		return this.http.send(this.address, call, Duration.ZERO, HttpLogService::readOffset);
	}

	private static long readOffset(HttpReply reply) throws IOException {
		JsonNode offset = PlatformReplies.JSON.readTree(reply.body()).path("offset");
		if (!offset.canConvertToLong() || !offset.isIntegralNumber() || offset.asLong() < 0) {
			throw new IllegalArgumentException("the response has no valid offset");
		}
		return offset.asLong();
	}

	@Override
	public CompletableFuture<LogBatch> read(String stream, long fromOffset, int maxRecords, Duration maxWait) {
		if (fromOffset < 0 || maxRecords < 1 || maxWait.isNegative()) {
			throw new IllegalArgumentException("fromOffset and maxWait must be at least 0, maxRecords at least 1");
		}
		String target = path(stream) + "?from=" + fromOffset + "&max=" + maxRecords + "&waitMillis="
				+ maxWait.toMillis();
		HttpCall call = new HttpCall("GET", target, Map.of(), EMPTY);
		return this.http.send(this.address, call, maxWait,
				(reply) -> checkBatch(LogCodec.decodeBatch(reply.body()), fromOffset, maxRecords));
	}

	// Records that are out of order or have gaps would give the hosts different states.
	private static LogBatch checkBatch(LogBatch batch, long fromOffset, int maxRecords) {
		if (batch.records().size() > maxRecords) {
			throw new IllegalArgumentException("more records than requested");
		}
		long expected = Math.max(fromOffset, batch.firstRetainedOffset());
		for (LogRecord record : batch.records()) {
			if (record.offset() != expected) {
				throw new IllegalArgumentException(
						"record with offset " + record.offset() + " instead of offset " + expected);
			}
			expected++;
		}
		if (!batch.records().isEmpty() && expected > batch.endOffset()) {
			throw new IllegalArgumentException("records beyond the end offset " + batch.endOffset());
		}
		return batch;
	}

	private static String path(String stream) {
		return "/v1/log/" + PlatformReplies.encode(stream);
	}

	@Override
	public void close() {
		this.http.close();
	}

}
