package org.limpetgate.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import org.limpetgate.AttemptId;
import org.limpetgate.CallerId;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Outcome;
import org.limpetgate.PoolName;
import org.limpetgate.Resources;
import org.limpetgate.RouteName;
import org.limpetgate.TaskId;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.Configuration;
import org.limpetgate.config.Pool;
import org.limpetgate.config.PoolKind;
import org.limpetgate.config.Route;
import org.limpetgate.config.Upstream;

/**
 * Runs one dispatcher in simulated time and records its effects.
 */
final class DispatcherHarness {

	static final long NANOS_PER_MILLI = 1_000_000L;

	static final PoolName POOL = PoolName.of("main");

	static final PoolName WORKERS = PoolName.of("workers");

	static final DataCentreId DATA_CENTRE = DataCentreId.of("oviedo");

	static final DispatchSettings SETTINGS = DispatchSettings.of(HostId.of("host-1"), DATA_CENTRE, 1);

	final Dispatcher dispatcher;

	final List<DispatchEffect.StartAttempt> starts = new ArrayList<>();

	final List<AttemptId> cancels = new ArrayList<>();

	final Map<TaskId, DispatchEffect.TaskEnded> ends = new HashMap<>();

	long now = 1_000_000 * NANOS_PER_MILLI;

	private long lastTaskId;

	DispatcherHarness(Dispatcher dispatcher) {
		this.dispatcher = dispatcher;
	}

	/**
	 * The implementations that every contract test runs against.
	 */
	enum Kind {

		RANDOM((random) -> SimpleDispatcher.withinShares(SETTINGS, ChoiceRule.RANDOM, random)),

		LEAST_IN_FLIGHT((random) -> SimpleDispatcher.withinShares(SETTINGS, ChoiceRule.LEAST_IN_FLIGHT, random)),

		POWER_OF_TWO((random) -> SimpleDispatcher.withinShares(SETTINGS, ChoiceRule.POWER_OF_TWO, random)),

		ADAPTIVE((random) -> AdaptiveDispatcher.of(SETTINGS, random));

		private final Function<RandomGenerator, Dispatcher> factory;

		Kind(Function<RandomGenerator, Dispatcher> factory) {
			this.factory = factory;
		}

		Dispatcher create(RandomGenerator random) {
			return this.factory.apply(random);
		}

	}

	static Upstream runner(String id, int slots) {
		return new Upstream(UpstreamId.of(id), DATA_CENTRE, "127.0.0.1", 80, slots, Resources.NONE, "");
	}

	static Upstream worker(String id, double cores, int accelerators, String rack) {
		return new Upstream(UpstreamId.of(id), DATA_CENTRE, "127.0.0.1", 80, 0,
				new Resources(cores, 32_000, accelerators), rack);
	}

	static Pool runners(int count, int slots) {
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			upstreams.add(runner("runner-" + i, slots));
		}
		return Pool.of(POOL, PoolKind.RUNNERS, upstreams);
	}

	static Configuration configuration(Pool... pools) {
		return Configuration.of(1, List.of(), List.of(pools));
	}

	DispatcherHarness configure(Pool... pools) {
		this.dispatcher.configure(configuration(pools), this.now);
		return this;
	}

	DispatcherHarness configure(List<Route> routes, Pool pool) {
		this.dispatcher.configure(Configuration.of(1, routes, List.of(pool)), this.now);
		return this;
	}

	TaskRequest request(boolean idempotent) {
		return request("caller-1", "route-1", idempotent, 0);
	}

	TaskRequest request(String caller, String route, boolean idempotent, long job) {
		return new TaskRequest(TaskId.of(++this.lastTaskId), CallerId.of(caller), RouteName.of(route), POOL, idempotent,
				Resources.NONE, 100, this.now + 10_000 * NANOS_PER_MILLI, job);
	}

	TaskRequest workerRequest(double cores, int accelerators) {
		return new TaskRequest(TaskId.of(++this.lastTaskId), CallerId.of("caller-1"), RouteName.of("cores-" + cores),
				WORKERS, true, new Resources(cores, 100, accelerators), 100, this.now + 10_000 * NANOS_PER_MILLI, 0);
	}

	Admission offer(TaskRequest request) {
		Admission admission = this.dispatcher.offer(request, this.now);
		tick();
		return admission;
	}

	void tick() {
		this.dispatcher.tick(this.now, this::record);
	}

	private void record(DispatchEffect effect) {
		if (effect instanceof DispatchEffect.StartAttempt start) {
			this.starts.add(start);
		}
		else if (effect instanceof DispatchEffect.CancelAttempt cancel) {
			this.cancels.add(cancel.attempt());
		}
		else if (effect instanceof DispatchEffect.TaskEnded end && this.ends.put(end.task(), end) != null) {
			throw new AssertionError("task " + end.task() + " ended twice");
		}
	}

	void finish(DispatchEffect.StartAttempt start, Outcome outcome) {
		finish(start, outcome, false);
	}

	void finish(DispatchEffect.StartAttempt start, Outcome outcome, boolean leaving) {
		String detail = (outcome != Outcome.COMPLETE) ? "injected failure" : "";
		this.dispatcher.attemptEnded(start.attempt(), new AttemptResult(outcome, 50 * NANOS_PER_MILLI, leaving, detail),
				this.now);
		tick();
	}

	void advance(long millis) {
		long end = this.now + millis * NANOS_PER_MILLI;
		while (this.now < end) {
			this.now = Math.min(end, Math.max(this.now + NANOS_PER_MILLI, this.dispatcher.nextWakeNanos()));
			tick();
		}
	}

	DispatchEffect.StartAttempt lastStart() {
		return this.starts.get(this.starts.size() - 1);
	}

}
