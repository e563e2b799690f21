package org.limpetgate.wire;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.limpetgate.ErrorKind;
import org.limpetgate.config.ConfigurationRecord;
import org.limpetgate.config.ConfigurationSnapshot;
import org.limpetgate.config.Edit;
import org.limpetgate.config.EditResult;
import org.limpetgate.config.HistoryEntry;
import org.limpetgate.config.TableName;
import org.limpetgate.config.VersionedRow;

/**
 * Converts configuration records to and from the messages of {@code limpetgate.proto}.
 * <p>
 * A record of the stream is a {@code ConfigurationRecord} message, compressed with gzip
 * if that makes it smaller: the JSON of a pool with thousands of upstreams shrinks to
 * about a tenth, which matters because the traffic per host is limited. No protobuf
 * message begins with the gzip magic number, so the first bytes distinguish the two
 * forms.
 */
public final class ConfigurationCodec {

	/** Size from which records are compressed, in bytes. */
	public static final int COMPRESSION_THRESHOLD_BYTES = 1024;

	/** The largest decompressed record, in bytes; a larger one is not decoded. */
	public static final int MAX_RECORD_BYTES = 64 * 1024 * 1024;

	private static final byte GZIP_MAGIC_FIRST = 0x1f;

	private static final byte GZIP_MAGIC_SECOND = (byte) 0x8b;

	private ConfigurationCodec() {
	}

	/**
	 * Encodes a record of the configuration stream.
	 * @param record the record, not null
	 * @return the payload, not null
	 */
	public static byte[] encode(ConfigurationRecord record) {
		org.limpetgate.proto.ConfigurationRecord.Builder message = org.limpetgate.proto.ConfigurationRecord
			.newBuilder();
		if (record instanceof Edit edit) {
			message.setEdit(toMessage(edit));
		}
		else if (record instanceof ConfigurationSnapshot snapshot) {
			message.setSnapshot(toMessage(snapshot));
		}
		return compress(message.build().toByteArray());
	}

	/**
	 * Decodes a record of the configuration stream.
	 * @param payload the payload, not null
	 * @return the record, empty if the payload is not a record of a known kind; the
	 * result depends only on the payload
	 */
	public static Optional<ConfigurationRecord> decode(byte[] payload) {
		try {
			org.limpetgate.proto.ConfigurationRecord message = org.limpetgate.proto.ConfigurationRecord
				.parseFrom(decompress(payload));
			return switch (message.getRecordCase()) {
				case EDIT -> Optional.of(fromMessage(message.getEdit()));
				case SNAPSHOT -> Optional.of(fromMessage(message.getSnapshot()));
				case RECORD_NOT_SET -> Optional.empty();
			};
		}
		catch (IOException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Converts a snapshot to its message.
	 * @param snapshot the snapshot, not null
	 * @return the message, not null
	 */
	public static org.limpetgate.proto.ConfigurationSnapshot toMessage(ConfigurationSnapshot snapshot) {
		org.limpetgate.proto.ConfigurationSnapshot.Builder message = org.limpetgate.proto.ConfigurationSnapshot
			.newBuilder()
			.setVersion(snapshot.version());
		snapshot.rows().forEach((row) -> message.addRows(toMessage(row)));
		snapshot.recentEdits().forEach((entry) -> message.addRecent(toMessage(entry)));
		return message.build();
	}

	/**
	 * Converts a snapshot, for example one that a peer offers.
	 * @param message the message, not null
	 * @return the snapshot, not null
	 * @throws IllegalArgumentException if the message has an unknown table or error kind
	 */
	public static ConfigurationSnapshot fromMessage(org.limpetgate.proto.ConfigurationSnapshot message) {
		List<VersionedRow> rows = new ArrayList<>();
		message.getRowsList()
			.forEach((row) -> rows.add(new VersionedRow(TableName.parse(row.getTable()), row.getName(),
					row.getVersion(), row.getRow().toStringUtf8())));
		List<HistoryEntry> recent = new ArrayList<>();
		message.getRecentList().forEach((entry) -> recent.add(fromMessage(entry)));
		return new ConfigurationSnapshot(message.getVersion(), rows, recent);
	}

	private static org.limpetgate.proto.Edit toMessage(Edit edit) {
		return org.limpetgate.proto.Edit.newBuilder()
			.setEditId(edit.editId())
			.setOperator(edit.operator())
			.setIssuedAtNanos(edit.issuedAtNanos())
			.setTable(edit.table().text())
			.setName(edit.name())
			.setBaseVersion(edit.baseVersion())
			.setRow(ByteString.copyFromUtf8(edit.row()))
			.build();
	}

	private static Edit fromMessage(org.limpetgate.proto.Edit message) {
		return new Edit(message.getEditId(), message.getOperator(), message.getIssuedAtNanos(),
				TableName.parse(message.getTable()), message.getName(), message.getBaseVersion(),
				message.getRow().toStringUtf8());
	}

	private static org.limpetgate.proto.VersionedRow toMessage(VersionedRow row) {
		return org.limpetgate.proto.VersionedRow.newBuilder()
			.setTable(row.table().text())
			.setName(row.name())
			.setVersion(row.version())
			.setRow(ByteString.copyFromUtf8(row.row()))
			.build();
	}

	private static org.limpetgate.proto.EditResult toMessage(HistoryEntry entry) {
		EditResult result = entry.result();
		return org.limpetgate.proto.EditResult.newBuilder()
			.setEditId(result.editId())
			.setOffset(result.offset())
			.setError(result.error().map(ErrorKind::name).orElse(""))
			.setDetail(result.detail())
			.setOperator(entry.operator())
			.setTable(entry.table().map(TableName::text).orElse(""))
			.setName(entry.name())
			.setBaseVersion(entry.baseVersion())
			.setRemoval(entry.removal())
			.setIssuedAtNanos(entry.issuedAtNanos())
			.setAppendedAtNanos(entry.appendedAtNanos())
			.build();
	}

	private static HistoryEntry fromMessage(org.limpetgate.proto.EditResult message) {
		Optional<ErrorKind> error = message.getError().isEmpty() ? Optional.empty()
				: Optional.of(ErrorKind.valueOf(message.getError()));
		EditResult result = new EditResult(message.getEditId(), message.getOffset(), error, message.getDetail());
		if (message.getTable().isEmpty()) {
			return HistoryEntry.withResultOnly(result);
		}
		return new HistoryEntry(result, message.getOperator(), message.getIssuedAtNanos(), message.getAppendedAtNanos(),
				Optional.of(TableName.parse(message.getTable())), message.getName(), message.getBaseVersion(),
				message.getRemoval());
	}

	private static byte[] compress(byte[] plain) {
		if (plain.length < COMPRESSION_THRESHOLD_BYTES) {
			return plain;
		}
		ByteArrayOutputStream compressed = new ByteArrayOutputStream(plain.length / 4);
		try (GZIPOutputStream gzip = new GZIPOutputStream(compressed)) {
			gzip.write(plain);
		}
		catch (IOException ex) {
			throw new IllegalStateException("writing to memory failed", ex);
		}
		return (compressed.size() < plain.length) ? compressed.toByteArray() : plain;
	}

	private static byte[] decompress(byte[] payload) throws IOException {
		if (payload.length < 2 || payload[0] != GZIP_MAGIC_FIRST || payload[1] != GZIP_MAGIC_SECOND) {
			return payload;
		}
		try (InputStream gzip = new GZIPInputStream(new ByteArrayInputStream(payload))) {
			byte[] plain = gzip.readNBytes(MAX_RECORD_BYTES + 1);
			if (plain.length > MAX_RECORD_BYTES) {
				throw new InvalidProtocolBufferException("record is larger than " + MAX_RECORD_BYTES + " bytes");
			}
			return plain;
		}
	}

}
