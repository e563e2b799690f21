package org.limpetgate.bench.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.limpetgate.AttemptId;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Outcome;
import org.limpetgate.PoolName;
import org.limpetgate.Resources;
import org.limpetgate.TaskId;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.Configuration;
import org.limpetgate.config.Pool;
import org.limpetgate.config.PoolKind;
import org.limpetgate.config.Upstream;
import org.limpetgate.dispatch.Admission;
import org.limpetgate.dispatch.AttemptResult;
import org.limpetgate.dispatch.DispatchEffect;
import org.limpetgate.dispatch.DispatchSettings;
import org.limpetgate.dispatch.Dispatcher;
import org.limpetgate.dispatch.PeerLoad;

/**
 * Discrete-event simulation of the entry hosts, upstreams and callers of one data centre.
 * <p>
 * The invariants of the dispatcher are checked on each effect, so that each run of the
 * experiment also serves as a test.
 */
final class SimulatedDataCentre {

	private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc");

	private static final long HOST_LATENCY_NANOS = 250 * VirtualTime.MICRO;

	private static final long CLIENT_LATENCY_NANOS = 3 * VirtualTime.MILLI;

	private static final long HEARTBEAT_INTERVAL_NANOS = 100 * VirtualTime.MILLI;

	private static final long PEER_TIMEOUT_NANOS = VirtualTime.SECOND;

	private static final long USAGE_INTERVAL_NANOS = 500 * VirtualTime.MILLI;

	private static final long USAGE_LAG_NANOS = 500 * VirtualTime.MILLI;

	private static final int MAX_OFFERS_PER_TASK = 4;

	private static final double SPEED_SIGMA = 0.3;

	/** The load balancer sends the smaller host more than its share by size. */
	private static final double[] BALANCER_SHARES = { 0.4, 0.6 };

	private static final int LONG_JOB_TASKS = 200;

	private static final long LONG_JOB_INTERVAL_NANOS = 3 * VirtualTime.SECOND;

	private static final int BAD_JOB_TASKS = 50;

	private final VirtualTime time = new VirtualTime();

	private final Scenario scenario;

	private final Deployment deployment;

	private final long end;

	private final SplittableRandom random;

	private final Workload workload;

	private final Map<UpstreamId, SimulatedUpstream> upstreams = new HashMap<>();

	private final List<EntryHost> hosts = new ArrayList<>();

	private final Map<PoolName, Double> capacity = new HashMap<>();

	private final Measurements measurements = new Measurements();

	SimulatedDataCentre(Scenario scenario, Deployment deployment, Policy policy, long seed, long end) {
		this.scenario = scenario;
		this.deployment = deployment;
		this.end = end;
		this.random = new SplittableRandom(seed);
		this.workload = new Workload(this.random.split());
		Configuration configuration = configuration();
		for (int i = 0; i < Deployment.HOST_SIZES.length; i++) {
			DispatchSettings settings = DispatchSettings.of(HostId.of("host-" + i), DATA_CENTRE,
					Deployment.HOST_SIZES[i]);
			EntryHost host = new EntryHost(policy.create(settings, this.random.split()), settings);
			host.dispatcher.configure(configuration, 0);
			this.hosts.add(host);
		}
	}

	private Configuration configuration() {
		List<Upstream> runners = new ArrayList<>();
		for (int i = 0; i < Deployment.RUNNERS; i++) {
			runners.add(new Upstream(UpstreamId.of("runner-" + i), DATA_CENTRE, "127.0.0.1", 80, Deployment.SLOTS,
					Resources.NONE, ""));
		}
		List<Upstream> workers = new ArrayList<>();
		for (int i = 0; i < Deployment.WORKERS; i++) {
			workers.add(new Upstream(UpstreamId.of("worker-" + i), DATA_CENTRE, "127.0.0.1", 80, 0,
					new Resources(this.deployment.cores, this.deployment.memoryMb, 0),
					"rack-" + i / Deployment.WORKERS_PER_RACK));
		}
		this.capacity.put(Workload.RUNNERS, addUpstreams(runners, Deployment.SLOTS));
		this.capacity.put(Workload.WORKERS, addUpstreams(workers, this.deployment.cores));
		return Configuration.of(0, List.of(), List.of(Pool.of(Workload.RUNNERS, PoolKind.RUNNERS, runners),
				Pool.of(Workload.WORKERS, PoolKind.WORKERS, workers)));
	}

	private double addUpstreams(List<Upstream> definitions, double units) {
		double sum = 0;
		for (Upstream definition : definitions) {
			double slowness = Math.exp(SPEED_SIGMA * this.random.split().nextGaussian());
			this.upstreams.put(definition.id(),
					new SimulatedUpstream(definition, slowness, this.time, this.random.split()));
			sum += units / slowness;
		}
		return sum;
	}

	Measurements run() {
		this.capacity.keySet().stream().sorted().forEach(this::scheduleArrival);
		this.hosts.forEach((host) -> this.time.after(HEARTBEAT_INTERVAL_NANOS, () -> heartbeat(host)));
		this.time.after(USAGE_INTERVAL_NANOS, this::reportUsage);
		this.time.at(Scenario.DISTURBANCE_START_NANOS, this::injectFault);
		scheduleJobs();
		this.time.runUntil(this.end);
		this.upstreams.values().forEach((upstream) -> this.measurements.overbooked += upstream.overbooked);
		double seconds = this.end - Scenario.WARM_UP_NANOS;
		this.capacity.forEach(
				(pool, units) -> this.measurements.addCapacity(pool, units * seconds / Workload.stragglerFactor()));
		return this.measurements;
	}

	private void scheduleArrival(PoolName pool) {
		double perTask = Workload.stragglerFactor()
				* (pool.equals(Workload.WORKERS) ? Workload.meanCoreNanos() : Workload.meanWorkNanos());
		double rate = this.scenario.load(this.time.now()) * Workload.demandFactor(this.time.now())
				* this.capacity.get(pool) / perTask / Workload.meanTasksPerArrival();
		this.time.after(this.workload.nanosUntilNextArrival(rate), () -> {
			submit(this.workload.newArrival(pool, this.time.now()));
			scheduleArrival(pool);
		});
	}

	private void scheduleJobs() {
		for (long at = Scenario.WARM_UP_NANOS; at < this.end; at += LONG_JOB_INTERVAL_NANOS) {
			if (this.scenario == Scenario.LONG_JOBS) {
				this.time.at(at,
						() -> submit(this.workload.newLongJob(Workload.RUNNERS, LONG_JOB_TASKS, this.time.now())));
			}
			if (this.scenario == Scenario.BAD_JOBS) {
				this.time.at(at,
						() -> submit(this.workload.newFailingJob(Workload.RUNNERS, BAD_JOB_TASKS, this.time.now())));
			}
		}
	}

	private void submit(List<SimulatedTask> tasks) {
		boolean toFirstHost = this.random.nextDouble() < BALANCER_SHARES[0];
		boolean disconnected = this.scenario == Scenario.HOST_AWAY && isDisturbed(0);
		EntryHost host = this.hosts.get((toFirstHost && !disconnected) ? 0 : 1);
		for (SimulatedTask task : tasks) {
			this.measurements.offered += isMeasured(task) ? 1 : 0;
			this.time.after(CLIENT_LATENCY_NANOS, () -> host.offer(task));
		}
	}

	private boolean isMeasured(SimulatedTask task) {
		return task.arrivedAt >= Scenario.WARM_UP_NANOS;
	}

	private void injectFault() {
		if (this.scenario.fault != SimulatedUpstream.Fault.NONE) {
			this.upstreams.get(UpstreamId.of("runner-0")).setFault(this.scenario.fault);
			this.upstreams.get(UpstreamId.of("worker-0")).setFault(this.scenario.fault);
		}
	}

	private boolean isDisturbed(long delay) {
		return this.time.now() >= Scenario.DISTURBANCE_START_NANOS + delay
				&& this.time.now() < Scenario.DISTURBANCE_END_NANOS;
	}

	private void heartbeat(EntryHost host) {
		boolean disconnected = this.scenario == Scenario.HOST_AWAY && host == this.hosts.get(0);
		boolean partitioned = (disconnected || this.scenario == Scenario.HOSTS_APART) && isDisturbed(0);
		if (this.scenario == Scenario.HOST_AWAY || this.scenario == Scenario.HOSTS_APART) {
			removeDeadPeers(host, disconnected);
		}
		PeerLoad load = new PeerLoad(host.settings.host(), host.settings.size(), host.dispatcher.demand());
		host.tick();
		for (EntryHost peer : this.hosts) {
			if (peer != host && !partitioned) {
				this.time.after(HOST_LATENCY_NANOS, () -> {
					peer.dispatcher.updatePeerLoads(List.of(load), this.time.now());
					peer.tick();
				});
			}
		}
		this.time.after(HEARTBEAT_INTERVAL_NANOS, () -> heartbeat(host));
	}

	/**
	 * Removes the load of the other host once no heartbeat has arrived for one second.
	 * @param host the host
	 * @param disconnected whether the host itself is the disconnected one
	 */
	private void removeDeadPeers(EntryHost host, boolean disconnected) {
		if (isDisturbed(PEER_TIMEOUT_NANOS) && !disconnected) {
			host.dispatcher.updatePeerLoads(List.of(), this.time.now());
		}
	}

	private void reportUsage() {
		long sampledAtNanos = this.time.now();
		this.upstreams.forEach((id, upstream) -> {
			if (upstream.definition.slots() == 0) {
				Resources used = upstream.used();
				this.time.after(USAGE_LAG_NANOS, () -> this.hosts
					.forEach((host) -> host.dispatcher.usageReported(id, used, sampledAtNanos, this.time.now())));
			}
		});
		this.time.after(USAGE_INTERVAL_NANOS, this::reportUsage);
	}

	/**
	 * A simulated entry host, which applies the effects of its dispatcher.
	 */
	private final class EntryHost {

		private final Dispatcher dispatcher;

		private final DispatchSettings settings;

		private final Map<TaskId, SimulatedTask> tasks = new HashMap<>();

		private final Map<AttemptId, Attempt> attempts = new HashMap<>();

		private long wakeAt = Long.MAX_VALUE;

		private EntryHost(Dispatcher dispatcher, DispatchSettings settings) {
			this.dispatcher = dispatcher;
			this.settings = settings;
		}

		private VirtualTime time() {
			return SimulatedDataCentre.this.time;
		}

		private Measurements measurements() {
			return SimulatedDataCentre.this.measurements;
		}

		private void offer(SimulatedTask task) {
			task.offers++;
			Admission admission = this.dispatcher.offer(task.request, time().now());
			if (admission.isAccepted()) {
				task.accepted = true;
				this.tasks.put(task.request.id(), task);
				countAccepted(task);
			}
			else {
				measurements().refused += isMeasured(task) ? 1 : 0;
				long retryAt = time().now() + admission.retryAfterNanos();
				if (task.offers < MAX_OFFERS_PER_TASK && admission.retryAfterNanos() > 0
						&& retryAt < task.request.deadlineNanos()) {
					time().at(retryAt, () -> offer(task));
				}
			}
			tick();
		}

		private void countAccepted(SimulatedTask task) {
			boolean deadlineReached = task.request.deadlineNanos() <= SimulatedDataCentre.this.end;
			if (!isMeasured(task) || !deadlineReached) {
				return;
			}
			measurements().accepted++;
			if (task.alwaysFails) {
				measurements().badTasks++;
			}
			else if (task.request.idempotent()) {
				measurements().idempotentAccepted++;
			}
			else {
				measurements().nonIdempotentAccepted++;
			}
		}

		private void tick() {
			this.dispatcher.tick(time().now(), this::apply);
			long wake = Math.max(time().now(), this.dispatcher.nextWakeNanos());
			if (wake < this.wakeAt && wake != Long.MAX_VALUE) {
				this.wakeAt = wake;
				time().at(wake, () -> wakeUp(wake));
			}
		}

		private void wakeUp(long planned) {
			if (this.wakeAt == planned) {
				this.wakeAt = Long.MAX_VALUE;
				tick();
			}
		}

		private void apply(DispatchEffect effect) {
			if (effect instanceof DispatchEffect.StartAttempt start) {
				start(start);
			}
			else if (effect instanceof DispatchEffect.CancelAttempt cancel) {
				cancel(cancel.attempt());
			}
			else if (effect instanceof DispatchEffect.TaskEnded ended) {
				taskEnded(ended);
			}
		}

		private void start(DispatchEffect.StartAttempt start) {
			SimulatedTask task = this.tasks.get(start.task());
			check(task != null && task.outcome == null, "an attempt was started for a task that has ended");
			check(task.request.idempotent() || !task.mayHaveRun,
					"a task that is not idempotent and may have run was started again");
			check(task.request.idempotent() || task.attemptsStarted == 0
					|| this.attempts.values().stream().noneMatch((other) -> other.task == task),
					"a hedge was started for a task that is not idempotent");
			if (task.attemptsStarted++ == 0) {
				task.startedAt = time().now();
			}
			measurements().attempts++;
			measurements().badAttempts += (task.alwaysFails && isMeasured(task)) ? 1 : 0;
			SimulatedUpstream upstream = SimulatedDataCentre.this.upstreams.get(start.upstream());
			Attempt attempt = new Attempt(task, upstream);
			this.attempts.put(start.attempt(), attempt);
			time().after(HOST_LATENCY_NANOS, () -> {
				if (!attempt.cancelled) {
					attempt.execution = upstream.execute(task,
							(result) -> time().after(HOST_LATENCY_NANOS, () -> attemptEnded(start.attempt(), result)));
				}
			});
		}

		private void attemptEnded(AttemptId id, AttemptResult result) {
			Attempt attempt = this.attempts.remove(id);
			if (attempt == null) {
				return;
			}
			boolean late = attempt.task.outcome != null;
			attempt.task.mayHaveRun |= result.outcome() != Outcome.NOT_RUN;
			boolean useful = result.outcome() == Outcome.COMPLETE && !late;
			countWastedMessages(attempt.task, useful ? 0 : 2);
			this.dispatcher.attemptEnded(id, result, time().now());
			tick();
		}

		private void cancel(AttemptId id) {
			Attempt attempt = this.attempts.remove(id);
			if (attempt == null) {
				return;
			}
			attempt.cancelled = true;
			attempt.task.mayHaveRun = true;
			countWastedMessages(attempt.task, 2);
			time().after(HOST_LATENCY_NANOS, () -> {
				if (attempt.execution != null) {
					attempt.execution.abort();
				}
			});
			time().after(HOST_LATENCY_NANOS, () -> {
				this.dispatcher.attemptEnded(id, new AttemptResult(Outcome.UNKNOWN, 0, false, "cancelled"),
						time().now());
				tick();
			});
		}

		private void countWastedMessages(SimulatedTask task, int messages) {
			measurements().wastedMessages += isMeasured(task) ? messages : 0;
		}

		private void taskEnded(DispatchEffect.TaskEnded ended) {
			SimulatedTask task = this.tasks.remove(ended.task());
			check(task != null && task.outcome == null, "a task ended twice");
			task.outcome = ended.outcome();
			if (!isMeasured(task)) {
				return;
			}
			long completedAt = time().now() + CLIENT_LATENCY_NANOS;
			if (ended.outcome() == Outcome.COMPLETE) {
				complete(task, completedAt);
			}
			else if (task.request.deadlineNanos() <= SimulatedDataCentre.this.end && !task.alwaysFails) {
				measurements().idempotentLost += task.request.idempotent() ? 1 : 0;
				measurements().nonIdempotentLost += task.request.idempotent() ? 0 : 1;
			}
			if (task.alwaysFails && task.request.deadlineNanos() <= SimulatedDataCentre.this.end) {
				measurements().inTime++;
			}
		}

		private void complete(SimulatedTask task, long completedAt) {
			double units = task.request.pool().equals(Workload.WORKERS) ? task.actual.cores() : 1;
			measurements().addUsefulWork(task.request.pool(), task.workNanos * units);
			measurements().inTime += (task.request.deadlineNanos() <= SimulatedDataCentre.this.end) ? 1 : 0;
			long ideal = task.workNanos + 2 * HOST_LATENCY_NANOS + 2 * CLIENT_LATENCY_NANOS;
			measurements().recordCompletion(task, (double) (completedAt - task.arrivedAt) / ideal);
		}

		private static void check(boolean condition, String violation) {
			if (!condition) {
				throw new AssertionError(violation);
			}
		}

	}

	/**
	 * An attempt in flight.
	 */
	private static final class Attempt {

		private final SimulatedTask task;

		private final SimulatedUpstream upstream;

		private SimulatedUpstream.Execution execution;

		private boolean cancelled;

		private Attempt(SimulatedTask task, SimulatedUpstream upstream) {
			this.task = task;
			this.upstream = upstream;
		}

	}

}
