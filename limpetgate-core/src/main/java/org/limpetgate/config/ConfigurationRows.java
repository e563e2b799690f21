package org.limpetgate.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
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
 * The rows of both tables with their versions, and the rules that accept or reject an
 * edit of a row.
 * <p>
 * Each route names an existing pool, and each upstream belongs to one pool. An edit that
 * is rejected changes nothing. The result of an edit depends only on the rows and the
 * edit. Not thread-safe.
 */
final class ConfigurationRows {

	private final Map<RouteName, Versioned<Route>> routes = new TreeMap<>();

	private final Map<PoolName, Versioned<Pool>> pools = new TreeMap<>();

	/**
	 * Returns the rows of a snapshot.
	 * @param snapshot the snapshot, not null
	 * @return the rows, not null
	 * @throws DispatchException if a row is malformed
	 * @throws IllegalArgumentException if the rows contradict each other
	 */
	static ConfigurationRows of(ConfigurationSnapshot snapshot) {
		ConfigurationRows rows = new ConfigurationRows();
		snapshot.rows().forEach(rows::add);
		rows.toConfiguration(snapshot.version());
		return rows;
	}

	private void add(VersionedRow row) {
		byte[] json = bytes(row.row());
		if (row.table() == TableName.ROUTES) {
			Route route = rowOrThrow(TableJson.readRoute(row.name(), json));
			this.routes.put(route.name(), new Versioned<>(row.version(), route, TableJson.write(route)));
		}
		else {
			Pool pool = rowOrThrow(TableJson.readPool(row.name(), json));
			this.pools.put(pool.name(), new Versioned<>(row.version(), pool, TableJson.write(pool)));
		}
	}

	Configuration toConfiguration(long version) {
		return Configuration.of(version, this.routes.values().stream().map(Versioned::row).toList(),
				this.pools.values().stream().map(Versioned::row).toList());
	}

	/**
	 * Returns a row with its version.
	 * @param table the table, not null
	 * @param name the name of the row, not null
	 * @return the row, empty if there is none or the name is invalid
	 */
	Optional<VersionedRow> row(TableName table, String name) {
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
	List<VersionedRow> rows(TableName table) {
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
	 * Checks the format of an edit, and that its row has not changed since the base
	 * version.
	 * @param edit the edit, not null
	 * @throws DispatchException with the reason for rejecting the edit
	 */
	void check(Edit edit) {
		long currentVersion = row(edit.table(), edit.name()).map(VersionedRow::version)
			.orElse(ConfigurationTable.NO_VERSION);
		// Without a base version, the version is checked only when the edit is applied,
		// since a record that has not been read yet may have removed the row.
		if (edit.baseVersion() != ConfigurationTable.NO_VERSION && edit.baseVersion() < currentVersion) {
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

	/**
	 * Applies an edit, or throws an exception with the reason for rejecting it and
	 * changes nothing.
	 * @param offset the offset of the edit, which becomes the version of the row
	 * @param edit the edit, not null
	 * @throws DispatchException with the reason for rejecting the edit
	 */
	void apply(long offset, Edit edit) {
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
		checkBase(edit, (current != null) ? current.version : ConfigurationTable.NO_VERSION);
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
		String state = (currentVersion == ConfigurationTable.NO_VERSION) ? "does not exist"
				: "is at version " + currentVersion;
		String base = (edit.baseVersion() == ConfigurationTable.NO_VERSION) ? "for a row that does not exist"
				: "from version " + edit.baseVersion();
		throw DispatchException.of(ErrorKind.VERSION_CONFLICT, Outcome.NOT_RUN,
				describe(edit) + " " + state + ", the edit was made " + base);
	}

	private static Route routeOf(Edit edit) {
		return rowOrThrow(TableJson.readRoute(describe(edit), bytes(edit.row())));
	}

	private static Pool poolOf(Edit edit) {
		return rowOrThrow(TableJson.readPool(describe(edit), bytes(edit.row())));
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

	private static byte[] bytes(String row) {
		return row.getBytes(StandardCharsets.UTF_8);
	}

	private static String describe(Edit edit) {
		return edit.table().text() + " '" + edit.name() + "'";
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
