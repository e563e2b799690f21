package org.limpetgate.config;

import java.util.Objects;

/**
 * A change of one row by an operator.
 *
 * @param editId the id, chosen by the operator's client; an edit with a recent id is
 * ignored
 * @param operator who made the edit
 * @param issuedAtNanos when the edit was made, in nanoseconds since the Unix epoch
 * @param table the table
 * @param name the name of the row
 * @param baseVersion the version of the row on which the edit is based,
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
