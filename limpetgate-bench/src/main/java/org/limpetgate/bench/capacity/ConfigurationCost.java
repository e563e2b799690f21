package org.limpetgate.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.limpetgate.config.Configuration;
import org.limpetgate.config.ConfigurationSnapshot;
import org.limpetgate.config.ConfigurationTable;
import org.limpetgate.config.Edit;
import org.limpetgate.config.Pool;
import org.limpetgate.config.Route;
import org.limpetgate.config.TableJson;
import org.limpetgate.config.TableName;
import org.limpetgate.wire.ConfigurationCodec;

/**
 * Measures the memory, encoded size and processor time of edits and snapshots of the
 * configuration tables.
 */
final class ConfigurationCost {

	private static final int[] POOL_WORKERS = { 30, 273, 1000, 3000 };

	private static final int[] ROUTES = { 120, 600, 2400 };

	private static final int[] WORKERS = { 60, 1500, 3000, 6006 };

	private static final int DEFAULT_ROUTES = 240;

	private static final int DEFAULT_WORKERS = 6006;

	/**
	 * The number of edit results that a host retains, so that snapshots have their full
	 * size.
	 */
	private static final int EDITS = ConfigurationTable.MAX_RESULTS;

	List<Series> measure() {
		List<Series> series = new ArrayList<>();
		series.add(Series.measure("record of a pool edit", "bytes", "worker of the pool", POOL_WORKERS,
				(workers) -> ConfigurationCodec.encode(poolEdit(workers, "edit-0", 0)).length));
		series.add(Series.measureTime("pool edit: decode and fold and new tables", "worker of the pool", POOL_WORKERS,
				(workers) -> {
					ConfigurationTable table = table(List.of(SampleData.workers(0, workers)), DEFAULT_ROUTES);
					String json = TableJson.write(SampleData.workers(0, workers));
					return editNanos(table, TableName.POOLS, SampleData.pool(0).value(), json);
				}));
		series.add(Series.measureTime("route edit: decode and fold and new tables, 6006 workers", "route", ROUTES,
				(routes) -> {
					ConfigurationTable table = table(SampleData.pools(DEFAULT_WORKERS), routes);
					Route route = SampleData.routes(1, 1).get(0);
					return editNanos(table, TableName.ROUTES, route.name().value(), TableJson.write(route));
				}));
		series.add(Series.measureTime("route edit: decode and fold and new tables, 240 routes", "worker", WORKERS,
				(workers) -> {
					ConfigurationTable table = table(SampleData.pools(workers), DEFAULT_ROUTES);
					Route route = SampleData.routes(1, 1).get(0);
					return editNanos(table, TableName.ROUTES, route.name().value(), TableJson.write(route));
				}));
		series.add(Series.measure("record of a route edit", "bytes", "route", ROUTES, (routes) -> {
			Route route = SampleData.routes(routes, 1).get(routes - 1);
			return ConfigurationCodec
				.encode(edit("edit-0", TableName.ROUTES, route.name().value(), 0, TableJson.write(route))).length;
		}));
		series.add(Series.measure("configuration table memory, 240 routes", "bytes", "worker", WORKERS,
				(workers) -> Meter.heapBytes(() -> table(SampleData.pools(workers), DEFAULT_ROUTES))));
		series.add(Series.measure("snapshot, 240 routes and 1024 results", "bytes", "worker", WORKERS,
				(workers) -> ConfigurationCodec.encode(tableWithResults(workers, DEFAULT_ROUTES).toSnapshot()).length));
		series.add(Series.measure("snapshot, 6006 workers and 1024 results", "bytes", "route", ROUTES,
				(routes) -> ConfigurationCodec.encode(tableWithResults(DEFAULT_WORKERS, routes).toSnapshot()).length));
		series.add(Series.measureTime("snapshot made and encoded", "worker", WORKERS, (workers) -> {
			ConfigurationTable table = tableWithResults(workers, DEFAULT_ROUTES);
			return Meter.nanos(() -> ConfigurationCodec.encode(table.toSnapshot()));
		}));
		series.add(Series.measureTime("snapshot decoded and restored", "worker", WORKERS, (workers) -> {
			byte[] payload = ConfigurationCodec.encode(tableWithResults(workers, DEFAULT_ROUTES).toSnapshot());
			return Meter.nanos(() -> new ConfigurationTable()
				.restore((ConfigurationSnapshot) ConfigurationCodec.decode(payload).orElseThrow()));
		}));
		return series;
	}

	private static Edit poolEdit(int workers, String id, long base) {
		return edit(id, TableName.POOLS, SampleData.pool(0).value(), base,
				TableJson.write(SampleData.workers(0, workers)));
	}

	private static Edit edit(String id, TableName table, String name, long base, String row) {
		return new Edit(id, "operator-1", SampleData.EPOCH_NANOS, table, name, base, row);
	}

	private static ConfigurationTable table(List<Pool> pools, int routes) {
		ConfigurationTable table = new ConfigurationTable();
		for (Pool pool : pools) {
			applyRecord(table, edit("pool-" + table.nextOffset(), TableName.POOLS, pool.name().value(),
					ConfigurationTable.NO_VERSION, TableJson.write(pool)));
		}
		for (Route route : SampleData.routes(routes, pools.size())) {
			applyRecord(table, edit("route-" + table.nextOffset(), TableName.ROUTES, route.name().value(),
					ConfigurationTable.NO_VERSION, TableJson.write(route)));
		}
		table.configuration();
		return table;
	}

	private static ConfigurationTable tableWithResults(int workers, int routes) {
		ConfigurationTable table = table(SampleData.pools(workers), routes);
		Route route = SampleData.routes(1, 1).get(0);
		for (int i = 0; i < EDITS; i++) {
			applyRecord(table,
					edit("0f8a3c52-6d1e-4b7a-9c20-" + (100_000_000_000L + i * 7_919_993L), TableName.ROUTES,
							route.name().value(), version(table, TableName.ROUTES, route.name().value()),
							TableJson.write(route)));
		}
		return table;
	}

	private static long version(ConfigurationTable table, TableName name, String row) {
		return table.row(name, row).orElseThrow().version();
	}

	private static void applyRecord(ConfigurationTable table, Edit edit) {
		table.applyRecord(table.nextOffset(), SampleData.EPOCH_NANOS, Optional.of(edit));
		if (!table.result(edit.editId()).orElseThrow().isAccepted()) {
			throw new IllegalStateException("the edit was rejected: " + table.result(edit.editId()));
		}
	}

	// Measures edits of a row. Each edit needs a record of its own; the time to encode it
	// is measured separately and subtracted.
	private static double editNanos(ConfigurationTable table, TableName name, String row, String json) {
		double total = Meter.nanos(() -> {
			Edit edit = edit("edit-" + table.nextOffset(), name, row, version(table, name, row), json);
			byte[] payload = ConfigurationCodec.encode(edit);
			table.applyRecord(table.nextOffset(), SampleData.EPOCH_NANOS, ConfigurationCodec.decode(payload));
			Configuration tables = table.configuration();
			if (tables.version() != version(table, name, row)) {
				throw new IllegalStateException("the edit was rejected");
			}
		});
		return total - Meter.nanos(() -> ConfigurationCodec
			.encode(edit("edit-" + table.nextOffset(), name, row, version(table, name, row), json)));
	}

}
