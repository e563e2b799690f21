package org.limpetgate.wire;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;
import org.limpetgate.ErrorKind;
import org.limpetgate.config.ConfigurationRecord;
import org.limpetgate.config.ConfigurationSnapshot;
import org.limpetgate.config.Edit;
import org.limpetgate.config.EditResult;
import org.limpetgate.config.HistoryEntry;
import org.limpetgate.config.TableName;
import org.limpetgate.config.VersionedRow;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationCodec}.
 */
class ConfigurationCodecTests {

	private static final Edit EDIT = new Edit("e1", "ana", 17, TableName.ROUTES, "r", -1, "{\"name\":\"ñ\"}");

	private static final Edit LARGE = new Edit("e2", "ana", 17, TableName.POOLS, "p", 9, "{\"id\":1}".repeat(5000));

	/** The history truncates this name within a character of two UTF-16 units. */
	private static final Edit LONG_NAME = new Edit("e1", "ana", 17, TableName.ROUTES,
			"n" + "\uD83D\uDE00".repeat(HistoryEntry.MAX_TEXT_CHARS), -1, "");

	private static final ConfigurationSnapshot SNAPSHOT = new ConfigurationSnapshot(41,
			List.of(new VersionedRow(TableName.POOLS, "p", 3, "{}"), new VersionedRow(TableName.ROUTES, "r", 40, "{}")),
			List.of(HistoryEntry.withResultOnly(EditResult.accepted("e0", 39)),
					HistoryEntry.of(EditResult.accepted("e1", 40), LONG_NAME, 18), HistoryEntry
						.of(EditResult.rejected("e2", 41, ErrorKind.VERSION_CONFLICT, "is at version 40"), LARGE, 19)));

	/**
	 * Guards against fields that are lost in encoding or decoding.
	 */
	@Example
	void decodesWhatItEncodes() {
		for (ConfigurationRecord record : List.of(EDIT, LARGE, SNAPSHOT)) {
			assertThat(ConfigurationCodec.decode(ConfigurationCodec.encode(record))).contains(record);
		}
		assertThat(ConfigurationCodec.fromMessage(ConfigurationCodec.toMessage(SNAPSHOT))).isEqualTo(SNAPSHOT);
		assertThat(ConfigurationCodec.encode(LARGE)).hasSizeLessThan(LARGE.row().length() / 10);
	}

	/**
	 * Guards against an exception while decoding, which would stop every host from
	 * applying the configuration stream.
	 */
	@Example
	void undecodablePayloadsAreEmpty() {
		List<byte[]> payloads = List.of(new byte[0], "text".getBytes(StandardCharsets.UTF_8),
				new byte[] { 0x1f, (byte) 0x8b, 1 },
				org.limpetgate.proto.ConfigurationRecord.newBuilder()
					.setEdit(org.limpetgate.proto.Edit.newBuilder().setTable("quotas"))
					.build()
					.toByteArray());
		assertThat(payloads).allSatisfy((payload) -> assertThat(ConfigurationCodec.decode(payload)).isEmpty());
		byte[] valid = ConfigurationCodec.encode(LARGE);
		Random random = new Random(7);
		for (int run = 0; run < 2000; run++) {
			byte[] damaged = Arrays.copyOf(valid, random.nextInt(valid.length));
			for (int flips = 0; flips < 3 && damaged.length > 0; flips++) {
				damaged[random.nextInt(damaged.length)] ^= (byte) (1 << random.nextInt(8));
			}
			assertThat(ConfigurationCodec.decode(damaged)).isNotNull();
		}
	}

}
