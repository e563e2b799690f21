package org.limpetgate.config;

import java.util.List;
import java.util.Optional;

import net.jqwik.api.Example;
import org.limpetgate.ErrorKind;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests for {@link ConfigurationTable}.
 */
class ConfigurationTableTests {

	private static final String POOL = "{\"name\":\"p\",\"kind\":\"runners\",\"upstreams\":[{\"id\":\"u1\","
			+ "\"dataCentre\":\"oviedo\",\"address\":\"127.0.0.1\",\"port\":80,\"slots\":8}]}";

	private static final String ROUTE = "{\"name\":\"r\",\"match\":{\"pathPrefix\":\"/a\"},\"pool\":\"p\"}";

	private final ConfigurationTable table = new ConfigurationTable();

	private long sequence;

	private void applyNext(ConfigurationRecord record) {
		this.table.applyRecord(this.table.nextOffset(), 0, Optional.of(record));
	}

	private EditResult edit(TableName name, String row, long base, String json) {
		Edit edit = new Edit("e" + this.sequence++, "ana", 0, name, row, base, json);
		applyNext(edit);
		return this.table.result(edit.editId()).orElseThrow();
	}

	/**
	 * Each case is an edit of tables with pool p at version 0 and route r at version 1,
	 * with the error kind that every host must report. Guards against edits that
	 * overwrite an edit of another operator or leave a route without a pool.
	 */
	@Example
	void invalidEditIsRejectedWithoutEffect() {
		record Case(TableName name, String row, long base, String json, ErrorKind error, String text) {
		}
		List<Case> cases = List.of(
				new Case(TableName.POOLS, "p", -1, POOL, ErrorKind.VERSION_CONFLICT, "is at version 0"),
				new Case(TableName.POOLS, "p", 1, POOL, ErrorKind.VERSION_CONFLICT, "is at version 0"),
				new Case(TableName.POOLS, "q", 0, POOL, ErrorKind.VERSION_CONFLICT, "does not exist"),
				new Case(TableName.POOLS, "p", 0, "", ErrorKind.INVALID_EDIT, "named by route 'r'"),
				new Case(TableName.POOLS, "q", -1, "", ErrorKind.INVALID_EDIT, "cannot be removed"),
				new Case(TableName.POOLS, "q", -1, POOL, ErrorKind.INVALID_EDIT, "$.name"),
				new Case(TableName.POOLS, "q", -1, POOL.replace("\"p\"", "\"q\""), ErrorKind.INVALID_EDIT,
						"$.upstreams[0].id: 'u1' is also in pool 'p'"),
				new Case(TableName.POOLS, "a b", -1, POOL, ErrorKind.INVALID_EDIT, "not valid"),
				new Case(TableName.ROUTES, "r", 1, ROUTE.replace("\"p\"", "\"x\""), ErrorKind.INVALID_EDIT,
						"$.pool: names pool 'x', which does not exist"),
				new Case(TableName.ROUTES, "r", 1, "{", ErrorKind.INVALID_EDIT, "line 1"));
		edit(TableName.POOLS, "p", -1, POOL);
		edit(TableName.ROUTES, "r", -1, ROUTE);
		List<VersionedRow> before = this.table.toSnapshot().rows();
		for (Case expected : cases) {
			EditResult result = edit(expected.name, expected.row, expected.base, expected.json);
			assertThat(result.error()).as(expected.toString()).contains(expected.error);
			assertThat(result.detail()).contains(expected.text);
			assertThat(this.table.toSnapshot().rows()).isEqualTo(before);
			assertThat(this.table.version()).isEqualTo(result.offset());
		}
		assertThat(this.table.history()).hasSize(2 + cases.size());
		assertThat(edit(TableName.ROUTES, "r", 1, "").isAccepted()).isTrue();
		assertThat(edit(TableName.POOLS, "p", 0, "").isAccepted()).isTrue();
		assertThat(this.table.toSnapshot().rows()).isEmpty();
	}

	/**
	 * Guards against an edit that was appended twice and takes effect again after a later
	 * removal of its row.
	 */
	@Example
	void repeatedEditHasNoEffect() {
		Edit add = new Edit("same", "ana", 0, TableName.POOLS, "p", -1, POOL);
		applyNext(add);
		edit(TableName.POOLS, "p", 0, "");
		applyNext(add);
		assertThat(this.table.configuration().pools()).isEmpty();
		assertThat(this.table.result("same").orElseThrow().offset()).isZero();
		assertThat(this.table.version()).isEqualTo(2);
	}

	/**
	 * Guards against applying edits while trimmed records are missing, and against ending
	 * the gap with a snapshot that does not include all of them.
	 */
	@Example
	void gapEndsOnlyWithSnapshotThatCoversIt() {
		ConfigurationTable peerTable = new ConfigurationTable();
		peerTable.applyRecord(0, 0, Optional.of(new Edit("a", "ana", 0, TableName.POOLS, "p", -1, POOL)));
		ConfigurationSnapshot oldSnapshot = peerTable.toSnapshot();
		peerTable.applyRecord(1, 0, Optional.of(new Edit("b", "ana", 0, TableName.ROUTES, "r", -1, ROUTE)));
		peerTable.applyRecord(2, 0, Optional.empty());
		ConfigurationSnapshot coveringSnapshot = peerTable.toSnapshot();
		peerTable.applyRecord(3, 0, Optional.of(new Edit("c", "ana", 0, TableName.ROUTES, "r", 1, "")));

		this.table.recordsTrimmedBefore(3);
		this.table.applyRecord(3, 0, Optional.of(new Edit("c", "ana", 0, TableName.ROUTES, "r", 1, "")));
		assertThat(this.table.result("c")).isEmpty();
		this.table.applyRecord(4, 0, Optional.of(oldSnapshot));
		assertThat(this.table.isInGap()).isTrue();
		assertThat(this.table.version()).isEqualTo(-1);
		this.table.applyRecord(5, 0, Optional.of(coveringSnapshot));
		assertThat(this.table.isInGap()).isFalse();
		assertThat(this.table.nextOffset()).isEqualTo(3);
		this.table.applyRecord(3, 0, Optional.of(new Edit("c", "ana", 0, TableName.ROUTES, "r", 1, "")));
		assertThat(this.table.toSnapshot()).isEqualTo(peerTable.toSnapshot());
	}

	/**
	 * Guards against a reset after which hosts that had the earlier tables and hosts that
	 * had lost them have different tables.
	 */
	@Example
	void resetLeadsAllHostsToTheSameTables() {
		Configuration tables = TableJson
			.readTables("t", ("{\"pools\":[" + POOL + "]}").getBytes(java.nio.charset.StandardCharsets.UTF_8))
			.orThrow(ErrorKind.INVALID_EDIT);
		ConfigurationSnapshot reset = ConfigurationSnapshot.reset("again", tables);
		ConfigurationTable withoutState = new ConfigurationTable();
		withoutState.recordsTrimmedBefore(2);
		edit(TableName.POOLS, "p", -1, POOL);
		edit(TableName.ROUTES, "r", -1, ROUTE);
		applyNext(reset);
		withoutState.applyRecord(2, 0, Optional.of(reset));
		assertThat(withoutState.toSnapshot()).isEqualTo(this.table.toSnapshot());
		assertThat(withoutState.isInGap()).isFalse();
		assertThat(withoutState.version()).isEqualTo(2);
		assertThat(withoutState.result("again").orElseThrow().offset()).isEqualTo(2);
		assertThat(edit(TableName.POOLS, "p", 2, "").isAccepted()).isTrue();
	}

	/**
	 * Guards against replacing the state by an older, malformed or inconsistent snapshot
	 * of a peer.
	 */
	@Example
	void olderOrMalformedSnapshotIsNotRestored() {
		edit(TableName.POOLS, "p", -1, POOL);
		ConfigurationSnapshot older = this.table.toSnapshot();
		edit(TableName.ROUTES, "r", -1, ROUTE);
		ConfigurationSnapshot current = this.table.toSnapshot();
		List<ConfigurationSnapshot> rejected = List.of(older, current,
				new ConfigurationSnapshot(-1, List.of(), List.of()),
				new ConfigurationSnapshot(9, List.of(new VersionedRow(TableName.ROUTES, "r", 1, ROUTE)), List.of()),
				new ConfigurationSnapshot(9, List.of(new VersionedRow(TableName.POOLS, "p", 1, "[]")), List.of()));
		for (ConfigurationSnapshot snapshot : rejected) {
			assertThat(this.table.restore(snapshot)).isFalse();
			assertThat(this.table.toSnapshot()).isEqualTo(current);
		}
		applyNext(new ConfigurationSnapshot(1, List.of(), List.of()));
		applyNext(new ConfigurationSnapshot(99, List.of(), List.of()));
		assertThat(this.table.divergentSnapshots()).isEqualTo(2);
		assertThat(this.table.configuration().routes()).hasSize(1);
		assertThatThrownBy(() -> this.table.applyRecord(9, 0, Optional.empty()))
			.isInstanceOf(IllegalStateException.class);
	}

	/**
	 * Guards against memory use that grows with the number of edits, and against losing
	 * the history of edits when a host is restored from a snapshot.
	 */
	@Example
	void boundedHistoryIsRestoredFromSnapshot() {
		for (int count = 0; count < ConfigurationTable.MAX_RESULTS + 10; count++) {
			edit(TableName.POOLS, "p".repeat(1 + count % 200), 7, (count % 3 == 0) ? "" : POOL);
		}
		assertThat(this.table.toSnapshot().recentEdits()).hasSize(ConfigurationTable.MAX_RESULTS);
		assertThat(this.table.history()).hasSize(ConfigurationTable.MAX_RESULTS);
		ConfigurationTable restored = new ConfigurationTable();
		assertThat(restored.restore(this.table.toSnapshot())).isTrue();
		assertThat(restored.history()).isEqualTo(this.table.history());
		for (ConfigurationTable each : List.of(this.table, restored)) {
			each.applyRecord(each.nextOffset(), 5,
					Optional.of(new Edit("last", "eva", 4, TableName.POOLS, "p", -1, POOL)));
		}
		assertThat(restored.history()).isEqualTo(this.table.history()).hasSize(ConfigurationTable.MAX_RESULTS);
		assertThat(restored.history().get(0)).extracting(HistoryEntry::operator, HistoryEntry::appendedAtNanos)
			.containsExactly("eva", 5L);
	}

}
