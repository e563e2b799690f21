package org.limpetgate.config;

import java.util.ArrayList;
import java.util.List;

/**
 * The complete state of the tables at one version, written to the stream or sent to a
 * peer.
 * <p>
 * Two snapshots of the same version are equal. Immutable and thread-safe.
 *
 * @param version the offset of the last record applied, -1 for none
 * @param rows the rows of both tables, ordered by table and name
 * @param recentEdits the most recent edits with their results, ordered by offset
 */
public record ConfigurationSnapshot(long version, List<VersionedRow> rows,
		List<HistoryEntry> recentEdits) implements ConfigurationRecord {

	public ConfigurationSnapshot {
		rows = List.copyOf(rows);
		recentEdits = List.copyOf(recentEdits);
	}

	/**
	 * Returns a record that replaces the tables on every host, for use when the state is
	 * lost on all hosts and in the stream. It has no version: the version of each row is
	 * the offset at which the platform stores the record.
	 * @param editId the edit id, used to look up the result, not null
	 * @param tables the new tables, not null
	 * @return the record, not null
	 */
	public static ConfigurationSnapshot reset(String editId, Configuration tables) {
		long none = ConfigurationTable.NO_VERSION;
		List<VersionedRow> rows = new ArrayList<>();
		tables.pools()
			.forEach((pool) -> rows
				.add(new VersionedRow(TableName.POOLS, pool.name().value(), none, TableJson.write(pool))));
		tables.routes()
			.forEach((route) -> rows
				.add(new VersionedRow(TableName.ROUTES, route.name().value(), none, TableJson.write(route))));
		return new ConfigurationSnapshot(none, rows,
				List.of(HistoryEntry.withResultOnly(EditResult.accepted(editId, none))));
	}

	/**
	 * Tests whether this record was created by {@link #reset}. Other snapshots are never
	 * written before the first record is applied, so they have a version.
	 * @return true if the record replaces the tables
	 */
	public boolean isReset() {
		return this.version == ConfigurationTable.NO_VERSION && this.recentEdits.size() == 1;
	}

}
