package org.limpetgate.config;

import java.util.Objects;

/**
 * A row with the version at which it was last changed.
 *
 * @param table the table
 * @param name the name of the row
 * @param version the offset of the edit that last changed the row
 * @param row the row in JSON
 */
public record VersionedRow(TableName table, String name, long version, String row) {

	public VersionedRow {
		Objects.requireNonNull(table, "table");
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(row, "row");
	}

}
