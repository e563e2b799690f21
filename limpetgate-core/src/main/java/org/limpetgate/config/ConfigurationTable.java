package org.limpetgate.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.PoolName;
import org.limpetgate.RouteName;
import org.limpetgate.UpstreamId;
import org.limpetgate.json.JsonResult;

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

	private final Map<RouteName, Versioned<Route>> routes = new TreeMap<>();

	private final Map<PoolName, Versioned<Pool>> pools = new TreeMap<>();

	/** The recent edits by id, in the order of their offsets. */
	private final LinkedHashMap<String, HistoryEntry> edits = new LinkedHashMap<>();

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
			this.configuration = Configuration.of(this.version,
					this.routes.values().stream().map(Versioned::row).toList(),
					this.pools.values().stream().map(Versioned::row).toList());
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
		try {
			return (table == TableName.ROUTES) ? toRow(RouteName.of(name)) : toRow(PoolName.of(name));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private Optional<VersionedRow> toRow(RouteName name) {
		return Optional.ofNullable(this.routes.get(name))
			.map((route) -> new VersionedRow(TableName.ROUTES, name.value(), route.version, route.json));
	}

	private Optional<VersionedRow> toRow(PoolName name) {
		return Optional.ofNullable(this.pools.get(name))
			.map((pool) -> new VersionedRow(TableName.POOLS, name.value(), pool.version, pool.json));
	}

	/**
	 * Returns the rows of a table, ordered by name.
	 * @param table the table, not null
	 * @return the rows, not null
	 */
	public List<VersionedRow> rows(TableName table) {
		List<VersionedRow> rows = new ArrayList<>();
		if (table == TableName.ROUTES) {
			this.routes.keySet().forEach((name) -> rows.add(toRow(name).orElseThrow()));
		}
		else {
			this.pools.keySet().forEach((name) -> rows.add(toRow(name).orElseThrow()));
		}
		return rows;
	}

	/**
	 * Returns a snapshot of the complete state, for the stream or a peer.
	 * @return the snapshot, not null
	 */
	public ConfigurationSnapshot toSnapshot() {
		List<VersionedRow> rows = new ArrayList<>(rows(TableName.POOLS));
		rows.addAll(rows(TableName.ROUTES));
		return new ConfigurationSnapshot(this.version, rows, List.copyOf(this.edits.values()));
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
		long currentVersion = row(edit.table(), edit.name()).map(VersionedRow::version).orElse(NO_VERSION);
		// Without a base version, the version is checked only when the edit is applied,
		// since a record that has not been read yet may have removed the row.
		if (edit.baseVersion() != NO_VERSION && edit.baseVersion() < currentVersion) {
			checkBase(edit, currentVersion);
		}
		if (edit.table() == TableName.ROUTES) {
			RouteName name = parseName(edit, RouteName::of);
			checkName(edit, edit.isRemoval() || routeOf(edit).name().equals(name));
		}
		else {
			PoolName name = parseName(edit, PoolName::of);
			checkName(edit, edit.isRemoval() || poolOf(edit).name().equals(name));
		}
	}

	private static Route routeOf(Edit edit) {
		return rowOrThrow(TableJson.readRoute(describe(edit), bytes(edit)));
	}

	private static Pool poolOf(Edit edit) {
		return rowOrThrow(TableJson.readPool(describe(edit), bytes(edit)));
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
		Map<RouteName, Versioned<Route>> newRoutes = new TreeMap<>();
		Map<PoolName, Versioned<Pool>> newPools = new TreeMap<>();
		try {
			for (VersionedRow row : snapshot.rows()) {
				readRow(row, newRoutes, newPools);
			}
			Configuration.of(snapshot.version(), newRoutes.values().stream().map(Versioned::row).toList(),
					newPools.values().stream().map(Versioned::row).toList());
		}
		catch (IllegalArgumentException | DispatchException ex) {
			this.unreadableRecords++;
			return false;
		}
		this.routes.clear();
		this.routes.putAll(newRoutes);
		this.pools.clear();
		this.pools.putAll(newPools);
		this.edits.clear();
		snapshot.recentEdits().forEach((entry) -> this.edits.put(entry.result().editId(), entry));
		return true;
	}

	private void readRow(VersionedRow row, Map<RouteName, Versioned<Route>> newRoutes,
			Map<PoolName, Versioned<Pool>> newPools) {
		byte[] json = row.row().getBytes(StandardCharsets.UTF_8);
		if (row.table() == TableName.ROUTES) {
			Route route = TableJson.readRoute(row.name(), json).orThrow(ErrorKind.INVALID_EDIT);
			newRoutes.put(route.name(), new Versioned<>(row.version(), route, TableJson.write(route)));
		}
		else {
			Pool pool = TableJson.readPool(row.name(), json).orThrow(ErrorKind.INVALID_EDIT);
			newPools.put(pool.name(), new Versioned<>(row.version(), pool, TableJson.write(pool)));
		}
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
		List<VersionedRow> rows = reset.rows()
			.stream()
			.map((row) -> new VersionedRow(row.table(), row.name(), offset, row.row()))
			.toList();
		HistoryEntry entry = HistoryEntry.withResultOnly(EditResult.accepted(editId, offset));
		if (replaceState(new ConfigurationSnapshot(offset, rows, List.of(entry)))) {
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
			applyOrThrow(offset, edit);
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
	 * Applies an edit, or throws an exception with the reason for rejecting it and
	 * changes nothing.
	 * @param offset the offset of the edit, which becomes the version of the row
	 * @param edit the edit
	 */
	private void applyOrThrow(long offset, Edit edit) {
		if (edit.table() == TableName.ROUTES) {
			applyTo(this.routes, parseName(edit, RouteName::of), offset, edit, this::readRoute, TableJson::write,
					(name) -> {
					});
		}
		else {
			applyTo(this.pools, parseName(edit, PoolName::of), offset, edit, this::readPool, TableJson::write,
					this::checkPoolRemoval);
		}
	}

	private <N, R> void applyTo(Map<N, Versioned<R>> table, N name, long offset, Edit edit,
			BiFunction<N, Edit, R> reader, Function<R, String> writer, Consumer<N> removalCheck) {
		Versioned<R> current = table.get(name);
		checkBase(edit, (current != null) ? current.version : NO_VERSION);
		if (!edit.isRemoval()) {
			R row = reader.apply(name, edit);
			table.put(name, new Versioned<>(offset, row, writer.apply(row)));
			return;
		}
		if (current == null) {
			throw invalidEdit(describe(edit) + " does not exist and cannot be removed");
		}
		removalCheck.accept(name);
		table.remove(name);
	}

	private static <N> N parseName(Edit edit, Function<String, N> parser) {
		try {
			return parser.apply(edit.name());
		}
		catch (IllegalArgumentException ex) {
			throw invalidEdit(ex.getMessage());
		}
	}

	private static void checkBase(Edit edit, long currentVersion) {
		if (edit.baseVersion() == currentVersion) {
			return;
		}
		String state = (currentVersion == NO_VERSION) ? "does not exist" : "is at version " + currentVersion;
		String base = (edit.baseVersion() == NO_VERSION) ? "for a row that does not exist"
				: "from version " + edit.baseVersion();
		throw DispatchException.of(ErrorKind.VERSION_CONFLICT, Outcome.NOT_RUN,
				describe(edit) + " " + state + ", the edit was made " + base);
	}

	private Route readRoute(RouteName name, Edit edit) {
		Route route = routeOf(edit);
		checkName(edit, route.name().equals(name));
		if (!this.pools.containsKey(route.pool())) {
			throw invalidEdit(describe(edit) + ": $.pool: names pool '" + route.pool()
					+ "', which does not exist; add the pool or correct the name");
		}
		return route;
	}

	private Pool readPool(PoolName name, Edit edit) {
		Pool pool = poolOf(edit);
		checkName(edit, pool.name().equals(name));
		for (Versioned<Pool> other : this.pools.values()) {
			if (!other.row.name().equals(name)) {
				checkUpstreamsDistinct(edit, pool, other.row);
			}
		}
		return pool;
	}

	private static void checkUpstreamsDistinct(Edit edit, Pool pool, Pool other) {
		Set<UpstreamId> ids = new HashSet<>();
		other.upstreams().forEach((upstream) -> ids.add(upstream.id()));
		for (int index = 0; index < pool.upstreams().size(); index++) {
			if (ids.contains(pool.upstreams().get(index).id())) {
				throw invalidEdit(
						describe(edit) + ": $.upstreams[" + index + "].id: '" + pool.upstreams().get(index).id()
								+ "' is also in pool '" + other.name() + "'; remove it there first");
			}
		}
	}

	private void checkPoolRemoval(PoolName name) {
		for (Versioned<Route> route : this.routes.values()) {
			if (route.row.pool().equals(name)) {
				throw invalidEdit("pools '" + name + "' is named by route '" + route.row.name()
						+ "'; change or remove the route first");
			}
		}
	}

	private static <R> R rowOrThrow(JsonResult<R> result) {
		return result.orThrow(ErrorKind.INVALID_EDIT);
	}

	private static void checkName(Edit edit, boolean matches) {
		if (!matches) {
			throw invalidEdit(describe(edit) + ": $.name: differs from the name of the edited row");
		}
	}

	private static byte[] bytes(Edit edit) {
		return edit.row().getBytes(StandardCharsets.UTF_8);
	}

	private static String describe(Edit edit) {
		return edit.table().text() + " '" + edit.name() + "'";
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

	private static DispatchException invalidEdit(String detail) {
		return DispatchException.of(ErrorKind.INVALID_EDIT, Outcome.NOT_RUN, detail);
	}

	/**
	 * A row with its version and its canonical JSON, which is cached since serialising
	 * large pools again for each snapshot takes milliseconds.
	 *
	 * @param <R> the type of the row
	 */
	private record Versioned<R>(long version, R row, String json) {
	}

}
