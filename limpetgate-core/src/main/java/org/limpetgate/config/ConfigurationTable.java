package org.limpetgate.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;

import org.limpetgate.DispatchException;

/**
 * Applies the records of the configuration stream to the two tables.
 * <p>
 * The result depends only on the records and their offsets, so every host accepts and
 * rejects the same edits and has the same tables at the same version. The version is the
 * offset of the last record applied; it never decreases.
 * <p>
 * If records were trimmed before they were read, the tables keep their state but apply no
 * edits, since the missing records may have changed any row. A snapshot that covers this
 * gap, read from the stream or received from a peer, ends it.
 * <p>
 * Not thread-safe; it is called only from the host's control thread.
 */
public final class ConfigurationTable {

	/** The version of a row that does not exist, and of tables without records. */
	public static final long NO_VERSION = -1;

	/**
	 * The number of recent edits that are kept with their results. A duplicate edit is
	 * detected while its id is among them. Hosts re-append an edit for only a few
	 * seconds, and the busiest systems make some thousand edits a day.
	 */
	public static final int MAX_RESULTS = 1024;

	/** The recent edits by id, in the order of their offsets. */
	private final LinkedHashMap<String, HistoryEntry> edits = new LinkedHashMap<>();

	private ConfigurationRows rows = new ConfigurationRows();

	private long version = NO_VERSION;

	/** The next offset to read; above {@code version + 1} only during a gap. */
	private long nextOffset = NO_VERSION + 1;

	/** The first offset after the gap, or {@link #NO_VERSION} if there is none. */
	private long gapEnd = NO_VERSION;

	private long unreadableRecords;

	private long divergentSnapshots;

	private Configuration configuration = Configuration.EMPTY;

	/**
	 * Returns the tables at the current version.
	 * @return the tables, not null
	 */
	public Configuration configuration() {
		if (this.configuration.version() != this.version) {
			this.configuration = this.rows.toConfiguration(this.version);
		}
		return this.configuration;
	}

	/**
	 * Returns the offset of the last applied record.
	 * @return the version, {@link #NO_VERSION} if no record was applied
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the offset from which the stream must be read next.
	 * @return the offset, at least 0; it decreases when a snapshot ends a gap, since the
	 * records after the snapshot's version must then be read again
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Tests whether records are missing between the version and the next offset.
	 * @return true until a snapshot from the stream or a peer covers the missing records
	 */
	public boolean isInGap() {
		return this.gapEnd != NO_VERSION;
	}

	/**
	 * Returns the number of records that could not be decoded, and of snapshots with
	 * invalid rows.
	 * @return the number
	 */
	public long unreadableRecords() {
		return this.unreadableRecords;
	}

	/**
	 * Returns the number of snapshots that differed from the state at the same version or
	 * whose version was not below their own offset. A number above 0 indicates a defect
	 * in this program or in the program that wrote the snapshot.
	 * @return the number
	 */
	public long divergentSnapshots() {
		return this.divergentSnapshots;
	}

	/**
	 * Returns the result of a recent edit.
	 * @param editId the id of the edit, not null
	 * @return the result, empty if the edit is not among the last {@link #MAX_RESULTS}
	 */
	public Optional<EditResult> result(String editId) {
		return Optional.ofNullable(this.edits.get(editId)).map(HistoryEntry::result);
	}

	/**
	 * Returns the history of edits, latest first. A host restored from a snapshot has the
	 * same history as one that applied all records. A reset of all tables clears it,
	 * since hosts that lost the tables do not know the earlier edits.
	 * @return at most {@link #MAX_RESULTS} entries, not null
	 */
	public List<HistoryEntry> history() {
		List<HistoryEntry> latestFirst = new ArrayList<>(this.edits.values());
		latestFirst.removeIf((entry) -> !entry.isComplete());
		Collections.reverse(latestFirst);
		return latestFirst;
	}

	/**
	 * Returns a row with its version.
	 * @param table the table, not null
	 * @param name the name of the row, not null
	 * @return the row, empty if there is none
	 */
	public Optional<VersionedRow> row(TableName table, String name) {
		return this.rows.row(table, name);
	}

	/**
	 * Returns the rows of a table, ordered by name.
	 * @param table the table, not null
	 * @return the rows, not null
	 */
	public List<VersionedRow> rows(TableName table) {
		return this.rows.rows(table);
	}

	/**
	 * Returns a snapshot of the complete state, for the stream or a peer.
	 * @return the snapshot, not null
	 */
	public ConfigurationSnapshot toSnapshot() {
		List<VersionedRow> allRows = new ArrayList<>(rows(TableName.POOLS));
		allRows.addAll(rows(TableName.ROUTES));
		return new ConfigurationSnapshot(this.version, allRows, List.copyOf(this.edits.values()));
	}

	/**
	 * Checks an edit as far as possible before it is appended to the stream: the format
	 * of the row, and that the row has not changed since the base version. An edit that
	 * fails here would also be rejected when applied, since the versions of rows only
	 * increase.
	 * @param edit the edit, not null
	 * @throws DispatchException with the reason for rejecting the edit
	 */
	public void check(Edit edit) {
		this.rows.check(edit);
	}

	/**
	 * Records that the stream was trimmed up to an offset, which starts a gap if records
	 * not yet read are lost.
	 * @param firstRetainedOffset the offset of the first record that can still be read
	 */
	public void recordsTrimmedBefore(long firstRetainedOffset) {
		if (firstRetainedOffset > this.nextOffset) {
			this.gapEnd = Math.max(this.gapEnd, firstRetainedOffset);
			this.nextOffset = firstRetainedOffset;
		}
	}

	/**
	 * Applies the record at the next offset.
	 * @param offset the offset of the record
	 * @param appendTimeNanos when the platform stored the record
	 * @param record the record, empty if it cannot be decoded, not null
	 * @throws IllegalStateException if the offset is not the next one
	 */
	public void applyRecord(long offset, long appendTimeNanos, Optional<? extends ConfigurationRecord> record) {
		if (offset != this.nextOffset) {
			throw new IllegalStateException(
					"record " + offset + " is out of order; offset " + this.nextOffset + " is expected");
		}
		this.nextOffset = offset + 1;
		if (record.isEmpty()) {
			this.unreadableRecords++;
		}
		if (record.isPresent() && record.get() instanceof ConfigurationSnapshot snapshot) {
			applySnapshot(offset, snapshot);
		}
		else if (!isInGap() && record.isPresent() && record.get() instanceof Edit edit) {
			applyEdit(offset, appendTimeNanos, edit);
		}
		if (!isInGap() && this.nextOffset == offset + 1) {
			advanceVersion(offset);
		}
	}

	/**
	 * Replaces the state by that of a newer snapshot.
	 * @param snapshot the snapshot, from a peer or the stream, not null
	 * @return false if the snapshot is not newer than this state or is malformed, and
	 * nothing was changed
	 */
	public boolean restore(ConfigurationSnapshot snapshot) {
		if (snapshot.version() <= this.version || !replaceState(snapshot)) {
			return false;
		}
		advanceVersion(snapshot.version());
		endGapIfCovered();
		return true;
	}

	private boolean replaceState(ConfigurationSnapshot snapshot) {
		try {
			this.rows = ConfigurationRows.of(snapshot);
		}
		catch (IllegalArgumentException | DispatchException ex) {
			this.unreadableRecords++;
			return false;
		}
		this.edits.clear();
		snapshot.recentEdits().forEach((entry) -> this.edits.put(entry.result().editId(), entry));
		return true;
	}

	private void applySnapshot(long offset, ConfigurationSnapshot snapshot) {
		if (snapshot.version() >= offset) {
			this.divergentSnapshots++;
			return;
		}
		if (snapshot.isReset()) {
			applyReset(offset, snapshot);
			return;
		}
		if (isInGap() && snapshot.version() >= this.gapEnd - 1) {
			restore(snapshot);
		}
		else if (!isInGap() && snapshot.version() == this.version && !snapshot.equals(toSnapshot())) {
			this.divergentSnapshots++;
		}
	}

	/**
	 * Replaces the tables, even during a gap, so that every host that reads the record
	 * has the same tables afterwards. The edit id is not checked for duplicates, since
	 * hosts in a gap do not know the earlier ids.
	 * @param offset the offset of the record, which becomes the version of each row
	 * @param reset the record
	 */
	private void applyReset(long offset, ConfigurationSnapshot reset) {
		String editId = reset.recentEdits().get(0).result().editId();
		List<VersionedRow> resetRows = reset.rows()
			.stream()
			.map((row) -> new VersionedRow(row.table(), row.name(), offset, row.row()))
			.toList();
		HistoryEntry entry = HistoryEntry.withResultOnly(EditResult.accepted(editId, offset));
		if (replaceState(new ConfigurationSnapshot(offset, resetRows, List.of(entry)))) {
			this.gapEnd = NO_VERSION;
		}
	}

	/**
	 * Ends the gap if the state includes all missing records, and skips records that the
	 * state already includes.
	 */
	private void endGapIfCovered() {
		if (isInGap() && this.version + 1 >= this.gapEnd) {
			this.gapEnd = NO_VERSION;
			this.nextOffset = this.version + 1;
		}
		else if (!isInGap()) {
			this.nextOffset = Math.max(this.nextOffset, this.version + 1);
		}
	}

	private void advanceVersion(long newVersion) {
		if (newVersion <= this.version) {
			throw new IllegalStateException("version " + newVersion + " does not follow " + this.version);
		}
		this.version = newVersion;
	}

	private void applyEdit(long offset, long appendTimeNanos, Edit edit) {
		if (this.edits.containsKey(edit.editId())) {
			return;
		}
		EditResult result;
		try {
			this.rows.apply(offset, edit);
			result = EditResult.accepted(edit.editId(), offset);
		}
		catch (DispatchException ex) {
			result = EditResult.rejected(edit.editId(), offset, ex.kind(), withoutRemedy(ex));
		}
		this.edits.put(edit.editId(), HistoryEntry.of(result, edit, appendTimeNanos));
		if (this.edits.size() > MAX_RESULTS) {
			this.edits.remove(this.edits.keySet().iterator().next());
		}
	}

	/**
	 * Returns the message of an error without its remedy. Stored results omit the remedy,
	 * since the response to the operator adds it again.
	 * @param error the error
	 * @return the message without the remedy of its kind
	 */
	private static String withoutRemedy(DispatchException error) {
		String remedy = "; " + error.kind().remedy();
		String message = error.getMessage();
		return message.endsWith(remedy) ? message.substring(0, message.length() - remedy.length()) : message;
	}

}
