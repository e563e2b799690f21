package org.limpetgate.net.platform;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import org.limpetgate.platform.LogBatch;
import org.limpetgate.platform.LogRecord;

/**
 * The bodies of log requests and responses, as {@code docs/platform-protocol.md}
 * describes them. All numbers are big-endian.
 */
public final class LogCodec {

	private static final int BATCH_HEADER_BYTES = 2 * Long.BYTES + Integer.BYTES;

	private static final int RECORD_HEADER_BYTES = 2 * Long.BYTES + Integer.BYTES;

	private LogCodec() {
	}

	/**
	 * Encodes the body of an append.
	 * @param payloads the payloads, not null
	 * @return the body, not null
	 */
	public static byte[] encodePayloads(List<byte[]> payloads) {
		int size = Integer.BYTES;
		for (byte[] payload : payloads) {
			size += Integer.BYTES + payload.length;
		}
		ByteBuffer buffer = ByteBuffer.allocate(size).putInt(payloads.size());
		for (byte[] payload : payloads) {
			buffer.putInt(payload.length).put(payload);
		}
		return buffer.array();
	}

	/**
	 * Decodes the body of an append.
	 * @param body the body, not null
	 * @return the payloads, not null
	 * @throws IllegalArgumentException if the body is malformed
	 */
	public static List<byte[]> decodePayloads(byte[] body) {
		return decode(body, (buffer) -> {
			int count = readCount(buffer, Integer.BYTES);
			List<byte[]> payloads = new ArrayList<>(count);
			for (int i = 0; i < count; i++) {
				payloads.add(readBytes(buffer));
			}
			return payloads;
		});
	}

	/**
	 * Encodes the response to a read.
	 * @param batch the batch, not null
	 * @return the body, not null
	 */
	public static byte[] encodeBatch(LogBatch batch) {
		int size = BATCH_HEADER_BYTES;
		for (LogRecord record : batch.records()) {
			size += RECORD_HEADER_BYTES + record.payload().length;
		}
		ByteBuffer buffer = ByteBuffer.allocate(size)
			.putLong(batch.firstRetainedOffset())
			.putLong(batch.endOffset())
			.putInt(batch.records().size());
		for (LogRecord record : batch.records()) {
			buffer.putLong(record.offset())
				.putLong(record.appendTimeNanos())
				.putInt(record.payload().length)
				.put(record.payload());
		}
		return buffer.array();
	}

	/**
	 * Decodes the response to a read.
	 * @param body the body, not null
	 * @return the batch, not null
	 * @throws IllegalArgumentException if the body is malformed
	 */
	public static LogBatch decodeBatch(byte[] body) {
		return decode(body, (buffer) -> {
			long firstRetained = buffer.getLong();
			long end = buffer.getLong();
			int count = readCount(buffer, RECORD_HEADER_BYTES);
			List<LogRecord> records = new ArrayList<>(count);
			for (int i = 0; i < count; i++) {
				records.add(new LogRecord(buffer.getLong(), buffer.getLong(), readBytes(buffer)));
			}
			return new LogBatch(records, firstRetained, end);
		});
	}

	private static <T> T decode(byte[] body, Function<ByteBuffer, T> reader) {
		ByteBuffer buffer = ByteBuffer.wrap(body);
		try {
			T value = reader.apply(buffer);
			if (buffer.hasRemaining()) {
				throw new IllegalArgumentException("the body has bytes after its last record");
			}
			return value;
		}
		catch (BufferUnderflowException ex) {
			throw new IllegalArgumentException("the body ends within a record", ex);
		}
	}

	private static int readCount(ByteBuffer buffer, int minRecordBytes) {
		int count = buffer.getInt();
		if (count < 0 || count > buffer.remaining() / minRecordBytes) {
			throw new IllegalArgumentException("the body is too short for " + count + " records");
		}
		return count;
	}

	private static byte[] readBytes(ByteBuffer buffer) {
		int length = buffer.getInt();
		if (length < 0 || length > buffer.remaining()) {
			throw new IllegalArgumentException("the body ends within a record");
		}
		byte[] bytes = new byte[length];
		buffer.get(bytes);
		return bytes;
	}

}
