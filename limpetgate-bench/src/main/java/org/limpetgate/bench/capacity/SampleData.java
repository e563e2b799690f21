package org.limpetgate.bench.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.PoolName;
import org.limpetgate.Resources;
import org.limpetgate.RouteName;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.Configuration;
import org.limpetgate.config.Pool;
import org.limpetgate.config.PoolKind;
import org.limpetgate.config.Route;
import org.limpetgate.config.Upstream;
import org.limpetgate.dispatch.PeerLoad;
import org.limpetgate.membership.DataCentreDigest;
import org.limpetgate.membership.MemberAddress;

/**
 * Sample hosts, pools and tables with names and numbers of realistic length.
 */
final class SampleData {

	/** Workers per data centre: 6,000 workers in 22 data centres. */
	static final int WORKERS_PER_POOL = 273;

	private static final int MAX_WAIT_NANOS = 1_000_000_000;

	static final long EPOCH_NANOS = 1_900_000_000_000_000_000L;

	private static final int WORKERS_PER_RACK = 8;

	private static final int MAX_DEMAND = 3000;

	private static final int BYTE_VALUES = 256;

	private SampleData() {
	}

	static DataCentreId dataCentre(int number) {
		return DataCentreId.of("region-" + number % 6 + "-dc-" + number);
	}

	static Incarnation host(int dataCentre, int number) {
		return Incarnation.of(HostId.of("entry-" + dataCentre + "-" + number), EPOCH_NANOS + number);
	}

	static MemberAddress address(int dataCentre, int number) {
		return new MemberAddress(host(dataCentre, number).host(), dataCentre(dataCentre),
				"10." + dataCentre + ".0." + number, 7400);
	}

	static Map<PoolName, DataCentreDigest.PoolState> poolStates(int pools, Random random) {
		Map<PoolName, DataCentreDigest.PoolState> states = new HashMap<>();
		for (int i = 0; i < pools; i++) {
			states.put(pool(i),
					new DataCentreDigest.PoolState(random.nextInt(MAX_WAIT_NANOS), random.nextInt(MAX_DEMAND)));
		}
		return states;
	}

	static Map<PoolName, PeerLoad.Demand> demand(int pools, Random random) {
		Map<PoolName, PeerLoad.Demand> demand = new HashMap<>();
		for (int i = 0; i < pools; i++) {
			demand.put(pool(i), new PeerLoad.Demand(random.nextInt(MAX_DEMAND), random.nextInt(MAX_DEMAND)));
		}
		return demand;
	}

	static PoolName pool(int number) {
		return PoolName.of("workers-pool-" + number);
	}

	static Pool workers(int pool, int workers) {
		return workers(pool, workers, dataCentre(pool));
	}

	private static Pool workers(int pool, int workers, DataCentreId dataCentre) {
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < workers; i++) {
			String id = "worker-" + pool + "-" + i;
			String address = "10." + pool % BYTE_VALUES + "." + i / BYTE_VALUES % BYTE_VALUES + "." + i % BYTE_VALUES;
			upstreams.add(new Upstream(UpstreamId.of(id), dataCentre, address, 8080, 0, new Resources(64, 131_072, 0),
					"rack-" + pool + "-" + i / WORKERS_PER_RACK));
		}
		return Pool.of(pool(pool), PoolKind.WORKERS, upstreams);
	}

	/**
	 * Returns pools in one data centre each that together have a number of workers.
	 * @param workers the number of workers
	 * @return the pools, not null
	 */
	static List<Pool> pools(int workers) {
		List<Pool> pools = new ArrayList<>();
		for (int remaining = workers; remaining > 0; remaining -= WORKERS_PER_POOL) {
			pools.add(workers(pools.size(), Math.min(remaining, WORKERS_PER_POOL)));
		}
		return pools;
	}

	static List<Route> routes(int routes, int pools) {
		List<Route> result = new ArrayList<>();
		for (int i = 0; i < routes; i++) {
			result.add(Route.ofPath(RouteName.of("route-" + i), "/team-" + i % 120 + "/work-" + i, pool(i % pools)));
		}
		return result;
	}

	/**
	 * Returns tables whose workers are all in one data centre.
	 * @param workers the number of workers
	 * @param routes the number of routes
	 * @return the tables, not null
	 */
	static Configuration localTables(int workers, int routes) {
		List<Pool> pools = new ArrayList<>();
		for (int remaining = workers; remaining > 0; remaining -= WORKERS_PER_POOL) {
			pools.add(workers(pools.size(), Math.min(remaining, WORKERS_PER_POOL), dataCentre(0)));
		}
		return Configuration.of(0, routes(routes, pools.size()), pools);
	}

}
