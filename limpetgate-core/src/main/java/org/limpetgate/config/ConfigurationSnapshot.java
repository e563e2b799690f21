package org.limpetgate.config;

import java.util.ArrayList;
import java.util.List;

/**
 * The whole state of the fold at one version: a record of the stream, and what a host
 * hands to a peer.
 * <p>
 * Two snapshots of the same version are equal. Immutable and thread-safe.
 *
 * @param version the offset up to which the stream is folded in, inclusive, -1 for none
 * @param rows the rows of both tables, by table and name
 * @param recent the most recent edits with their results, by offset
 */
public record ConfigurationSnapshot(long version, List<VersionedRow> rows,
		List<HistoryEntry> recent) implements ConfigurationRecord {

	public ConfigurationSnapshot {
		rows = List.copyOf(rows);
		recent = List.copyOf(recent);
	}

	/**
	 * Returns a record that replaces the tables of every host, for use when no host and
	 * no record of the stream holds the state any more. It has no version of its own: the
	 * rows get the offset at which the platform stores it.
	 * @param editId the id by which the result is looked up, not null
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
		return new ConfigurationSnapshot(none, rows, List.of(HistoryEntry.ofResult(EditResult.accepted(editId, none))));
	}

	/**
	 * Tests whether this is a record made by {@link #reset}. A snapshot of a state is
	 * never written before the first record is folded.
	 * @return true if the record replaces the tables
	 */
	public boolean isReset() {
		return this.version == ConfigurationTable.NO_VERSION && this.recent.size() == 1;
	}

}
