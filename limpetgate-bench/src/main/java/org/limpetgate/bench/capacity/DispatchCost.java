package org.limpetgate.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.limpetgate.CallerId;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Resources;
import org.limpetgate.RouteName;
import org.limpetgate.TaskId;
import org.limpetgate.bench.dispatch.DecisionBenchmark;
import org.limpetgate.config.Configuration;
import org.limpetgate.config.Pool;
import org.limpetgate.dispatch.AdaptiveDispatcher;
import org.limpetgate.dispatch.DispatchSettings;
import org.limpetgate.dispatch.PeerLoad;
import org.limpetgate.dispatch.TaskRequest;

/**
 * Measures the memory and processor time of the dispatcher by the number of upstreams and
 * of waiting tasks.
 */
final class DispatchCost {

	private static final int[] UPSTREAMS = { 273, 1092, 3003, 6006 };

	private static final int[] WAITING_TASKS = { 12_000, 60_000, 120_000 };

	private static final int[] DECISION_UPSTREAMS = { 30, 300, 3000 };

	private static final int CALLERS = 120;

	private static final int ROUTES = 20;

	private static final int PEERS = 5;

	private static final int POOLS = 10;

	private static final int BODY_BYTES = 200;

	private static final long HOUR_NANOS = TimeUnit.HOURS.toNanos(1);

	private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private final long seed;

	DispatchCost(long seed) {
		this.seed = seed;
	}

	List<Series> measure() {
		List<Series> series = new ArrayList<>();
		series.add(Series.measure("dispatcher memory, all upstreams in the own data centre", "bytes", "upstream",
				UPSTREAMS, (size) -> {
					Configuration tables = SampleData.localTables(size, ROUTES);
					return Meter.heapBytes(() -> dispatcher(tables));
				}));
		series.add(Series.measureTime("dispatcher systems each 100 ms, all upstreams idle", "upstream", UPSTREAMS,
				(size) -> tickNanos(dispatcher(SampleData.localTables(size, ROUTES)))));
		series.add(Series.measureTime("dispatcher configure after an edit", "upstream", UPSTREAMS, (size) -> {
			Configuration tables = SampleData.localTables(size, ROUTES);
			AdaptiveDispatcher dispatcher = dispatcher(tables);
			return Meter.nanos(() -> dispatcher.configure(tables, 0));
		}));
		series.add(Series.measureTime("shares divided after a heartbeat of one of 5 peers", "upstream", UPSTREAMS,
				(size) -> {
					AdaptiveDispatcher dispatcher = dispatcher(SampleData.localTables(size, ROUTES));
					List<PeerLoad> loads = peerLoads();
					return Meter.nanos(() -> dispatcher.updatePeerLoads(loads, 0));
				}));
		series.add(Series.measure("dispatcher memory, waiting", "bytes", "task", WAITING_TASKS,
				(size) -> Meter.heapBytes(() -> offerTasks(dispatcherWithOneWorker(), size))));
		series.add(Series.measureTime("dispatcher systems each 100 ms, one worker", "waiting task", WAITING_TASKS,
				(size) -> tickNanos(offerTasks(dispatcherWithOneWorker(), size))));
		series.add(Series.measureTime("task start: offer and start and end", "upstream", DECISION_UPSTREAMS,
				DispatchCost::decisionNanos));
		return series;
	}

	private AdaptiveDispatcher dispatcher(Configuration tables) {
		AdaptiveDispatcher dispatcher = AdaptiveDispatcher.of(
				DispatchSettings.of(HostId.of("entry-0-1"), SampleData.dataCentre(0), 1),
				new SplittableRandom(this.seed));
		dispatcher.configure(tables, 0);
		return dispatcher;
	}

	private List<PeerLoad> peerLoads() {
		List<PeerLoad> loads = new ArrayList<>();
		for (int peer = 1; peer <= PEERS; peer++) {
			loads
				.add(new PeerLoad(SampleData.host(0, peer).host(), 1, SampleData.demand(POOLS, new Random(this.seed))));
		}
		return loads;
	}

	private AdaptiveDispatcher dispatcherWithOneWorker() {
		Pool defaultPool = SampleData.workers(0, 1);
		Pool pool = new Pool(defaultPool.name(), defaultPool.kind(), defaultPool.upstreams(), Pool.DEFAULT_CONNECTIONS,
				Integer.MAX_VALUE, Long.MAX_VALUE, Pool.DEFAULT_RETRY_PERCENT);
		DataCentreId dataCentre = SampleData.dataCentre(0);
		DispatchSettings defaults = DispatchSettings.of(HostId.of("entry-0-1"), dataCentre, 1);
		DispatchSettings settings = new DispatchSettings(defaults.host(), dataCentre, 1, HOUR_NANOS,
				defaults.longRunThresholdNanos(), defaults.longPercent(), defaults.hedgeFactor(),
				defaults.minHealthyPercent());
		AdaptiveDispatcher dispatcher = AdaptiveDispatcher.of(settings, new SplittableRandom(this.seed));
		dispatcher.configure(Configuration.of(0, SampleData.routes(ROUTES, 1), List.of(pool)), 0);
		return dispatcher;
	}

	private static AdaptiveDispatcher offerTasks(AdaptiveDispatcher dispatcher, int tasks) {
		Resources workerCapacity = new Resources(64, 131_072, 0);
		List<CallerId> callers = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			callers.add(CallerId.of("caller-" + i));
		}
		List<RouteName> routes = new ArrayList<>();
		for (int i = 0; i < ROUTES; i++) {
			routes.add(RouteName.of("route-" + i));
		}
		for (int i = 0; i < tasks; i++) {
			TaskRequest task = new TaskRequest(TaskId.of(i + 1), callers.get(i % CALLERS), routes.get(i % ROUTES),
					SampleData.pool(0), true, workerCapacity, BODY_BYTES, 1000 * HOUR_NANOS, 0);
			if (!dispatcher.offer(task, 0).isAccepted()) {
				throw new IllegalStateException("task " + i + " was refused; the queue must accept all tasks");
			}
		}
		return dispatcher;
	}

	private static double tickNanos(AdaptiveDispatcher dispatcher) {
		long[] now = new long[1];
		return Meter.nanos(() -> {
			now[0] += TICK_INTERVAL_NANOS;
			dispatcher.tick(now[0], (effect) -> {
			});
		});
	}

	private static double decisionNanos(int upstreams) {
		DecisionBenchmark benchmark = new DecisionBenchmark();
		benchmark.upstreams = upstreams;
		benchmark.setUp();
		return Meter.nanos(benchmark::decide);
	}

}
