package org.limpetgate.config;

import java.util.Objects;

/**
 * Who changed what, when, and with which result.
 *
 * @param result the result with the offset of the edit
 * @param operator who made the edit
 * @param issuedAtNanos when it was made by the clock of the host that took it, in
 * nanoseconds since the Unix epoch
 * @param appendedAtNanos when the platform stored it, in nanoseconds since the Unix epoch
 * @param table the table
 * @param name the name of the row
 * @param baseVersion the version from which the edit was made
 * @param removal whether the edit removes the row
 */
public record HistoryEntry(EditResult result, String operator, long issuedAtNanos, long appendedAtNanos,
		TableName table, String name, long baseVersion, boolean removal) {

	public HistoryEntry {
		Objects.requireNonNull(result, "result");
		Objects.requireNonNull(operator, "operator");
		Objects.requireNonNull(table, "table");
		Objects.requireNonNull(name, "name");
	}

}
