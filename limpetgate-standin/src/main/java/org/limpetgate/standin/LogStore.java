package org.limpetgate.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.limpetgate.platform.LogBatch;
import org.limpetgate.platform.LogRecord;

/**
 * In-memory streams of the log of a {@link PlatformStandIn}, with retention and an append
 * rate limit.
 * <p>
 * Not thread-safe: confined to the event loop of the stand-in.
 */
final class LogStore {

	private static final int MAX_STREAMS = 1_000;

	private static final int MAX_BATCH_BYTES = 4 * 1024 * 1024;

	/** Size of the token bucket of the rate limit, in seconds of the append rate. */
	private static final double BURST_SECONDS = 0.1;

	private final LogLimits limits;

	private final Map<String, Stream> streams = new HashMap<>();

	private double permits;

	private long permitsUpdatedNanos;

	private boolean frozen;

	LogStore(LogLimits limits) {
		this.limits = limits;
		this.permits = burstCapacity();
	}

	private double burstCapacity() {
		return Math.max(1, this.limits.appendsPerSecond() * BURST_SECONDS);
	}

	/**
	 * Acquires a permit for an append.
	 * @param nowNanos the current time
	 * @return 0 if acquired, else the time until a permit is available, in nanoseconds
	 */
	long acquire(long nowNanos) {
		double perNano = this.limits.appendsPerSecond() / (double) TimeUnit.SECONDS.toNanos(1);
		long elapsedNanos = Math.max(0, nowNanos - this.permitsUpdatedNanos);
		this.permits = Math.min(burstCapacity(), this.permits + elapsedNanos * perNano);
		this.permitsUpdatedNanos = nowNanos;
		if (this.permits >= 1) {
			this.permits--;
			return 0;
		}
		return (long) Math.ceil((1 - this.permits) / perNano);
	}

	long append(String name, List<byte[]> payloads, long nowNanos) {
		Stream stream = stream(name);
		long first = stream.end;
		for (byte[] payload : payloads) {
			stream.records.put(stream.end, new LogRecord(stream.end, nowNanos, payload));
			stream.end++;
		}
		applyRetention(stream, nowNanos);
		return first;
	}

	LogBatch read(String name, long from, int max, long nowNanos) {
		Stream stream = stream(name);
		applyRetention(stream, nowNanos);
		long end = this.frozen ? Math.max(stream.frozenEnd, stream.first) : stream.end;
		List<LogRecord> records = new ArrayList<>();
		long bytes = 0;
		for (LogRecord record : stream.records.tailMap(from).values()) {
			bytes += record.payload().length;
			if (records.size() >= max || record.offset() >= end || (bytes > MAX_BATCH_BYTES && !records.isEmpty())) {
				break;
			}
			records.add(record);
		}
		return new LogBatch(records, stream.first, end);
	}

	void trim(String name, long beforeOffset) {
		Stream stream = stream(name);
		stream.first = Math.max(stream.first, Math.min(beforeOffset, stream.end));
		stream.records.headMap(stream.first).clear();
	}

	/**
	 * Hides the records that are stored from now on, or makes them visible again.
	 * @param frozen whether to hide them
	 */
	void freeze(boolean frozen) {
		if (frozen && !this.frozen) {
			this.streams.values().forEach((stream) -> stream.frozenEnd = stream.end);
		}
		this.frozen = frozen;
	}

	private Stream stream(String name) {
		Stream stream = this.streams.get(name);
		if (stream == null) {
			if (this.streams.size() >= MAX_STREAMS) {
				throw new IllegalArgumentException(
						"the limit of " + MAX_STREAMS + " streams is reached; use an existing stream");
			}
			stream = new Stream();
			this.streams.put(name, stream);
		}
		return stream;
	}

	private void applyRetention(Stream stream, long nowNanos) {
		long oldest = nowNanos - this.limits.retention().toNanos();
		while (!stream.records.isEmpty() && (stream.records.size() > this.limits.maxRecords()
				|| stream.records.firstEntry().getValue().appendTimeNanos() < oldest)) {
			stream.records.pollFirstEntry();
			stream.first++;
		}
	}

	private static final class Stream {

		private final TreeMap<Long, LogRecord> records = new TreeMap<>();

		private long first;

		private long end;

		private long frozenEnd;

	}

}
