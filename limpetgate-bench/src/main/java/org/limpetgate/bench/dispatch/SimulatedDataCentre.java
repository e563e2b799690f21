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
 * The entry hosts, upstreams and callers of one data centre in virtual time.
 * <p>
 * The invariants of the dispatcher are asserted on each effect, so that each run of the
 * experiment is a test too.
 */
final class SimulatedDataCentre {

	private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc");

	private static final long ONE_WAY = 250 * VirtualTime.MICRO;

	private static final long CLIENT_ONE_WAY = 3 * VirtualTime.MILLI;

	private static final long HEARTBEAT = 100 * VirtualTime.MILLI;

	private static final long DEAD_AFTER = VirtualTime.SECOND;

	private static final long USAGE_INTERVAL = 500 * VirtualTime.MILLI;

	private static final long USAGE_LAG = 500 * VirtualTime.MILLI;

	private static final int MAX_OFFERS = 4;

	private static final double SPEED_SIGMA = 0.3;

	/** The smaller host gets more than its part by size from the balancer. */
	private static final double[] BALANCER_PARTS = { 0.4, 0.6 };

	private static final int LONG_JOB_TASKS = 200;

	private static final long LONG_JOB_INTERVAL = 3 * VirtualTime.SECOND;

	private static final int BAD_JOB_TASKS = 50;

	private final VirtualTime time = new VirtualTime();

	private final Scenario scenario;

	private final Deployment deployment;

	private final long end;

	private final SplittableRandom random;

	private final Workload workload;

	private final Map<UpstreamId, FakeUpstream> upstreams = new HashMap<>();

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
		this.capacity.put(Workload.RUNNERS, add(runners, Deployment.SLOTS));
		this.capacity.put(Workload.WORKERS, add(workers, this.deployment.cores));
		return Configuration.of(0, List.of(), List.of(Pool.of(Workload.RUNNERS, PoolKind.RUNNERS, runners),
				Pool.of(Workload.WORKERS, PoolKind.WORKERS, workers)));
	}

	private double add(List<Upstream> rows, double units) {
		double sum = 0;
		for (Upstream row : rows) {
			double slowness = Math.exp(SPEED_SIGMA * this.random.split().nextGaussian());
			this.upstreams.put(row.id(), new FakeUpstream(row, slowness, this.time, this.random.split()));
			sum += units / slowness;
		}
		return sum;
	}

	Measurements run() {
		this.capacity.keySet().stream().sorted().forEach(this::scheduleArrival);
		this.hosts.forEach((host) -> this.time.after(HEARTBEAT, () -> heartbeat(host)));
		this.time.after(USAGE_INTERVAL, this::reportUsage);
		this.time.at(Scenario.CHANGE, this::injectFault);
		scheduleJobs();
		this.time.runUntil(this.end);
		this.upstreams.values().forEach((upstream) -> this.measurements.overbooked += upstream.overbooked);
		double seconds = this.end - Scenario.WARM_UP;
		this.capacity.forEach(
				(pool, units) -> this.measurements.addCapacity(pool, units * seconds / Workload.stragglerFactor()));
		return this.measurements;
	}

	private void scheduleArrival(PoolName pool) {
		double perTask = Workload.stragglerFactor()
				* (pool.equals(Workload.WORKERS) ? Workload.meanCoreNanos() : Workload.meanWorkNanos());
		double rate = this.scenario.load(this.time.now()) * Workload.swing(this.time.now()) * this.capacity.get(pool)
				/ perTask / Workload.meanTasksPerArrival();
		this.time.after(this.workload.untilNextArrival(rate), () -> {
			arrive(this.workload.arrival(pool, this.time.now()));
			scheduleArrival(pool);
		});
	}

	private void scheduleJobs() {
		for (long at = Scenario.WARM_UP; at < this.end; at += LONG_JOB_INTERVAL) {
			if (this.scenario == Scenario.LONG_JOBS) {
				this.time.at(at,
						() -> arrive(this.workload.longJob(Workload.RUNNERS, LONG_JOB_TASKS, this.time.now())));
			}
			if (this.scenario == Scenario.BAD_JOBS) {
				this.time.at(at, () -> arrive(this.workload.badJob(Workload.RUNNERS, BAD_JOB_TASKS, this.time.now())));
			}
		}
	}

	private void arrive(List<SimulatedTask> tasks) {
		boolean first = this.random.nextDouble() < BALANCER_PARTS[0];
		boolean away = this.scenario == Scenario.HOST_AWAY && isChanged(0);
		EntryHost host = this.hosts.get((first && !away) ? 0 : 1);
		for (SimulatedTask task : tasks) {
			this.measurements.offered += isMeasured(task) ? 1 : 0;
			this.time.after(CLIENT_ONE_WAY, () -> host.offer(task));
		}
	}

	private boolean isMeasured(SimulatedTask task) {
		return task.arrivedAt >= Scenario.WARM_UP;
	}

	private void injectFault() {
		if (this.scenario.fault != FakeUpstream.Fault.NONE) {
			this.upstreams.get(UpstreamId.of("runner-0")).setFault(this.scenario.fault);
			this.upstreams.get(UpstreamId.of("worker-0")).setFault(this.scenario.fault);
		}
	}

	private boolean isChanged(long delay) {
		return this.time.now() >= Scenario.CHANGE + delay && this.time.now() < Scenario.CREST_END;
	}

	private void heartbeat(EntryHost host) {
		boolean silent = this.scenario == Scenario.HOST_AWAY && host == this.hosts.get(0);
		boolean cutOff = (silent || this.scenario == Scenario.HOSTS_APART) && isChanged(0);
		if (this.scenario == Scenario.HOST_AWAY || this.scenario == Scenario.HOSTS_APART) {
			forgetLostPeers(host, silent);
		}
		PeerLoad load = new PeerLoad(host.settings.host(), host.settings.size(), host.dispatcher.demand());
		host.tick();
		for (EntryHost peer : this.hosts) {
			if (peer != host && !cutOff) {
				this.time.after(ONE_WAY, () -> {
					peer.dispatcher.peerLoads(List.of(load), this.time.now());
					peer.tick();
				});
			}
		}
		this.time.after(HEARTBEAT, () -> heartbeat(host));
	}

	/**
	 * Tells a host that the other one is dead once it has not been heard for a second.
	 * @param host the host
	 * @param silent whether the host itself is the one that is away
	 */
	private void forgetLostPeers(EntryHost host, boolean silent) {
		if (isChanged(DEAD_AFTER) && !silent) {
			host.dispatcher.peerLoads(List.of(), this.time.now());
		}
	}

	private void reportUsage() {
		long sampled = this.time.now();
		this.upstreams.forEach((id, upstream) -> {
			if (upstream.row.slots() == 0) {
				Resources used = upstream.used();
				this.time.after(USAGE_LAG, () -> this.hosts
					.forEach((host) -> host.dispatcher.usageReported(id, used, sampled, this.time.now())));
			}
		});
		this.time.after(USAGE_INTERVAL, this::reportUsage);
	}

	/**
	 * An entry host: it carries out the effects of its dispatcher.
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

		private Measurements measured() {
			return SimulatedDataCentre.this.measurements;
		}

		private void offer(SimulatedTask task) {
			task.offers++;
			Admission admission = this.dispatcher.offer(task.request, time().now());
			if (admission.isAccepted()) {
				task.accepted = true;
				this.tasks.put(task.request.id(), task);
				count(task);
			}
			else {
				measured().refused += isMeasured(task) ? 1 : 0;
				long again = time().now() + admission.retryAfterNanos();
				if (task.offers < MAX_OFFERS && admission.retryAfterNanos() > 0
						&& again < task.request.deadlineNanos()) {
					time().at(again, () -> offer(task));
				}
			}
			tick();
		}

		private void count(SimulatedTask task) {
			boolean decided = task.request.deadlineNanos() <= SimulatedDataCentre.this.end;
			if (!isMeasured(task) || !decided) {
				return;
			}
			measured().accepted++;
			if (task.bad) {
				measured().badTasks++;
			}
			else if (task.request.idempotent()) {
				measured().idempotentAccepted++;
			}
			else {
				measured().otherAccepted++;
			}
		}

		private void tick() {
			this.dispatcher.tick(time().now(), this::carryOut);
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

		private void carryOut(DispatchEffect effect) {
			if (effect instanceof DispatchEffect.StartAttempt start) {
				start(start);
			}
			else if (effect instanceof DispatchEffect.CancelAttempt cancel) {
				cancel(cancel.attempt());
			}
			else if (effect instanceof DispatchEffect.TaskEnded ended) {
				ended(ended);
			}
		}

		private void start(DispatchEffect.StartAttempt start) {
			SimulatedTask task = this.tasks.get(start.task());
			check(task != null && task.ended == null, "an attempt was started for a task that has ended");
			check(task.request.idempotent() || !task.mayHaveRun, "a task that may have run was started again");
			check(task.request.idempotent() || task.attemptsStarted == 0
					|| this.attempts.values().stream().noneMatch((other) -> other.task == task),
					"a hedge was started for a task that is not idempotent");
			if (task.attemptsStarted++ == 0) {
				task.startedAt = time().now();
			}
			measured().attempts++;
			measured().badAttempts += (task.bad && isMeasured(task)) ? 1 : 0;
			FakeUpstream upstream = SimulatedDataCentre.this.upstreams.get(start.upstream());
			Attempt attempt = new Attempt(task, upstream);
			this.attempts.put(start.attempt(), attempt);
			time().after(ONE_WAY, () -> {
				if (!attempt.cancelled) {
					attempt.execution = upstream.execute(task,
							(result) -> time().after(ONE_WAY, () -> answered(start.attempt(), result)));
				}
			});
		}

		private void answered(AttemptId id, AttemptResult result) {
			Attempt attempt = this.attempts.remove(id);
			if (attempt == null) {
				return;
			}
			boolean late = attempt.task.ended != null;
			attempt.task.mayHaveRun |= result.outcome() != Outcome.NOT_RUN;
			boolean useful = result.outcome() == Outcome.COMPLETE && !late;
			waste(attempt.task, useful ? 0 : 2);
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
			waste(attempt.task, 2);
			time().after(ONE_WAY, () -> {
				if (attempt.execution != null) {
					attempt.execution.abort();
				}
			});
			time().after(ONE_WAY, () -> {
				this.dispatcher.attemptEnded(id, new AttemptResult(Outcome.UNKNOWN, 0, false, "cancelled"),
						time().now());
				tick();
			});
		}

		private void waste(SimulatedTask task, int messages) {
			measured().wastedMessages += isMeasured(task) ? messages : 0;
		}

		private void ended(DispatchEffect.TaskEnded ended) {
			SimulatedTask task = this.tasks.remove(ended.task());
			check(task != null && task.ended == null, "a task ended twice");
			task.ended = ended.outcome();
			if (!isMeasured(task)) {
				return;
			}
			long answeredAt = time().now() + CLIENT_ONE_WAY;
			if (ended.outcome() == Outcome.COMPLETE) {
				complete(task, answeredAt);
			}
			else if (task.request.deadlineNanos() <= SimulatedDataCentre.this.end && !task.bad) {
				measured().idempotentLost += task.request.idempotent() ? 1 : 0;
				measured().otherLost += task.request.idempotent() ? 0 : 1;
			}
			if (task.bad && task.request.deadlineNanos() <= SimulatedDataCentre.this.end) {
				measured().inTime++;
			}
		}

		private void complete(SimulatedTask task, long answeredAt) {
			double units = task.request.pool().equals(Workload.WORKERS) ? task.actual.cores() : 1;
			measured().addUsefulWork(task.request.pool(), task.work * units);
			measured().inTime += (task.request.deadlineNanos() <= SimulatedDataCentre.this.end) ? 1 : 0;
			long ideal = task.work + 2 * ONE_WAY + 2 * CLIENT_ONE_WAY;
			measured().answered(task, (double) (answeredAt - task.arrivedAt) / ideal);
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

		private final FakeUpstream upstream;

		private FakeUpstream.Execution execution;

		private boolean cancelled;

		private Attempt(SimulatedTask task, FakeUpstream upstream) {
			this.task = task;
			this.upstream = upstream;
		}

	}

}
