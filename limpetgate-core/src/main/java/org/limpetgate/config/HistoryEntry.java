package org.limpetgate.config;

import java.util.Objects;
import java.util.Optional;

/**
 * The audit record of an edit: who changed which row, when, and the result. It is the
 * same on every host.
 *
 * @param result the result, which has the offset of the edit
 * @param operator who made the edit, empty if only the result is known
 * @param issuedAtNanos when it was made, by the clock of the host that received it, in
 * nanoseconds since the Unix epoch
 * @param appendedAtNanos when the platform stored the edit, in nanoseconds since the Unix
 * epoch
 * @param table the table, empty if only the result is known
 * @param name the name of the row
 * @param baseVersion the version of the row on which the edit is based
 * @param removal whether the edit removes the row
 */
public record HistoryEntry(EditResult result, String operator, long issuedAtNanos, long appendedAtNanos,
		Optional<TableName> table, String name, long baseVersion, boolean removal) {

	/**
	 * Limit of the operator and the name, in characters, so that snapshots have a bounded
	 * size. Valid values are not longer, but the stream may contain invalid ones.
	 */
	public static final int MAX_TEXT_CHARS = 128;

	public HistoryEntry {
		Objects.requireNonNull(result, "result");
		Objects.requireNonNull(table, "table");
		operator = EditResult.truncate(operator, MAX_TEXT_CHARS);
		name = EditResult.truncate(name, MAX_TEXT_CHARS);
	}

	/**
	 * Returns the entry of an edit.
	 * @param result the result, not null
	 * @param edit the edit, not null
	 * @param appendedAtNanos when the platform stored it
	 * @return the entry, not null
	 */
	public static HistoryEntry of(EditResult result, Edit edit, long appendedAtNanos) {
		return new HistoryEntry(result, edit.operator(), edit.issuedAtNanos(), appendedAtNanos,
				Optional.of(edit.table()), edit.name(), edit.baseVersion(), edit.isRemoval());
	}

	/**
	 * Returns an entry with only the result: for a reset of all tables, or for an edit in
	 * a snapshot written by an earlier version of the program.
	 * @param result the result, not null
	 * @return the entry, not null
	 */
	public static HistoryEntry withResultOnly(EditResult result) {
		return new HistoryEntry(result, "", 0, 0, Optional.empty(), "", ConfigurationTable.NO_VERSION, false);
	}

	/**
	 * Tests whether the entry has all fields, not only the result.
	 * @return false if only the result is known
	 */
	public boolean isComplete() {
		return this.table.isPresent();
	}

}
