package org.limpetgate.bench.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.limpetgate.AttemptId;
import org.limpetgate.CallerId;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Outcome;
import org.limpetgate.Resources;
import org.limpetgate.RouteName;
import org.limpetgate.TaskId;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.Configuration;
import org.limpetgate.config.Pool;
import org.limpetgate.config.PoolKind;
import org.limpetgate.config.Upstream;
import org.limpetgate.dispatch.AdaptiveDispatcher;
import org.limpetgate.dispatch.AttemptResult;
import org.limpetgate.dispatch.DispatchEffect;
import org.limpetgate.dispatch.DispatchSettings;
import org.limpetgate.dispatch.PeerLoad;
import org.limpetgate.dispatch.TaskRequest;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/**
 * Measures the cost of one decision: a task is offered and assigned, and an earlier one
 * ends.
 * <p>
 * 70% of the slots are in use throughout. Heartbeats every 100 ms of virtual time, and
 * the systems that run at each heartbeat, are part of the cost.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.Throughput)
@OutputTimeUnit(TimeUnit.SECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
public class DecisionBenchmark {

	private static final int SLOTS = 8;

	private static final double LOAD = 0.7;

	private static final int CALLERS = 120;

	private static final int ROUTES = 20;

	private static final long MEAN_RUN_NANOS = 300 * VirtualTime.MILLI;

	private static final long HEARTBEAT_NANOS = 100 * VirtualTime.MILLI;

	private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc");

	/** The number of upstreams in the pool. */
	@Param({ "30", "300", "3000" })
	public int upstreams;

	private final ArrayDeque<AttemptId> inFlight = new ArrayDeque<>();

	private final List<CallerId> callers = new ArrayList<>();

	private final List<RouteName> routes = new ArrayList<>();

	private AdaptiveDispatcher dispatcher;

	private SplittableRandom random;

	private long now;

	private long stepNanos;

	private long nextHeartbeatNanos;

	private long lastTaskId;

	private int targetInFlight;

	/**
	 * Creates the dispatcher and starts attempts up to the target load.
	 */
	@Setup(Level.Trial)
	public void setUp() {
		this.random = new SplittableRandom(1);
		this.dispatcher = AdaptiveDispatcher.of(DispatchSettings.of(HostId.of("host-1"), DATA_CENTRE, 1),
				this.random.split());
		List<Upstream> poolUpstreams = new ArrayList<>();
		for (int i = 0; i < this.upstreams; i++) {
			poolUpstreams.add(new Upstream(UpstreamId.of("runner-" + i), DATA_CENTRE, "127.0.0.1", 80, SLOTS,
					Resources.NONE, ""));
		}
		Pool pool = Pool.of(Workload.RUNNERS, PoolKind.RUNNERS, poolUpstreams);
		this.dispatcher.configure(Configuration.of(0, List.of(), List.of(pool)), this.now);
		for (int i = 0; i < CALLERS; i++) {
			this.callers.add(CallerId.of("caller-" + i));
		}
		for (int i = 0; i < ROUTES; i++) {
			this.routes.add(RouteName.of("route-" + i));
		}
		this.targetInFlight = (int) (this.upstreams * SLOTS * LOAD / 2);
		this.stepNanos = MEAN_RUN_NANOS / this.targetInFlight;
		while (this.inFlight.size() < this.targetInFlight) {
			decide();
		}
	}

	/**
	 * Makes one decision.
	 * @return the number of attempts in flight
	 */
	@Benchmark
	public int decide() {
		this.now += this.stepNanos;
		if (this.now >= this.nextHeartbeatNanos) {
			heartbeat();
		}
		if (this.inFlight.size() >= this.targetInFlight) {
			this.dispatcher.attemptEnded(this.inFlight.poll(),
					new AttemptResult(Outcome.COMPLETE, MEAN_RUN_NANOS, false, ""), this.now);
		}
		TaskRequest task = new TaskRequest(TaskId.of(++this.lastTaskId), this.callers.get(this.random.nextInt(CALLERS)),
				this.routes.get(this.random.nextInt(ROUTES)), Workload.RUNNERS, true, Resources.NONE, 1_000,
				this.now + 10 * VirtualTime.SECOND, 0);
		if (!this.dispatcher.offer(task, this.now).isAccepted()) {
			throw new IllegalStateException("the task was refused; the benchmark must stay below capacity");
		}
		this.dispatcher.tick(this.now, this::recordStart);
		return this.inFlight.size();
	}

	private void recordStart(DispatchEffect effect) {
		if (effect instanceof DispatchEffect.StartAttempt start) {
			this.inFlight.add(start.attempt());
		}
	}

	private void heartbeat() {
		this.nextHeartbeatNanos = this.now + HEARTBEAT_NANOS;
		this.dispatcher.demand();
		PeerLoad peer = new PeerLoad(HostId.of("host-2"), 1,
				Map.of(Workload.RUNNERS, new PeerLoad.Demand(0, this.targetInFlight)));
		this.dispatcher.updatePeerLoads(List.of(peer), this.now);
	}

	/**
	 * Runs the benchmark.
	 * @param arguments not used
	 * @throws RunnerException if it fails
	 */
	public static void main(String[] arguments) throws RunnerException {
		new Runner(new OptionsBuilder().include(DecisionBenchmark.class.getName()).build()).run();
	}

}
