package org.limpetgate.config;

import java.util.Objects;

/**
 * An operator's change of one row.
 *
 * @param editId chosen by the operator's client; an id that was seen before has no effect
 * @param operator who made the edit
 * @param issuedAtNanos when it was made, in nanoseconds since the Unix epoch
 * @param table the table
 * @param name the name of the row
 * @param baseVersion the version of the row from which the edit was made,
 * {@link ConfigurationTable#NO_VERSION} for a row that did not exist
 * @param row the new row in JSON, empty to remove the row
 */
public record Edit(String editId, String operator, long issuedAtNanos, TableName table, String name, long baseVersion,
		String row) implements ConfigurationRecord {

	public Edit {
		Objects.requireNonNull(editId, "editId");
		Objects.requireNonNull(operator, "operator");
		Objects.requireNonNull(table, "table");
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(row, "row");
	}

	/**
	 * Tests whether the edit removes the row.
	 * @return true if there is no new row
	 */
	public boolean isRemoval() {
		return this.row.isEmpty();
	}

}
