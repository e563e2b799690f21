package org.limpetgate.config;

import java.util.List;

/**
 * The whole state of the fold at one version: a record of the stream, and what a host
 * hands to a peer.
 * <p>
 * Two snapshots of the same version are equal. Immutable and thread-safe.
 *
 * @param version the offset up to which the stream is folded in, inclusive, -1 for none
 * @param rows the rows of both tables, by table and name
 * @param recent the results of the most recent edits, by offset
 */
public record ConfigurationSnapshot(long version, List<VersionedRow> rows,
		List<EditResult> recent) implements ConfigurationRecord {

	public ConfigurationSnapshot {
		rows = List.copyOf(rows);
		recent = List.copyOf(recent);
	}

}
