package org.limpetgate.host.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.JobId;
import org.limpetgate.RequestId;
import org.limpetgate.fleet.Directory;
import org.limpetgate.fleet.HostState;
import org.limpetgate.fleet.JobLog;
import org.limpetgate.fleet.OverloadDetector;
import org.limpetgate.fleet.QueueTable;
import org.limpetgate.fleet.SchedulerElection;
import org.limpetgate.fleet.SubmissionLeases;
import org.limpetgate.fleet.SuspensionDetector;
import org.limpetgate.fleet.WorkerOrders;
import org.limpetgate.host.EventLog;
import org.limpetgate.host.HostClock;
import org.limpetgate.host.HostMetrics;
import org.limpetgate.host.LogEvent;
import org.limpetgate.proto.JobResult;
import org.limpetgate.proto.SubmitJob;
import org.limpetgate.scheduling.FencingToken;
import org.limpetgate.scheduling.JobSpec;
import org.limpetgate.scheduling.Scheduler;
import org.limpetgate.scheduling.SchedulingEffect;

/**
 * An entry host of a fleet. It accepts jobs from callers, and schedules the jobs of all
 * hosts while it is elected.
 * <p>
 * All state is confined to one event loop, which serves traffic too: the hosts of a fleet
 * have one core or less, where a second thread costs more wake-ups than it saves. The
 * public methods must be called on that loop, apart from {@link #start}.
 */
public final class FleetHost implements JobService {

	private static final long HEARTBEAT_INTERVAL_MILLIS = 200;

	/**
	 * The tick interval while jobs are open or this host schedules. It bounds the delay
	 * with which a timeout is detected.
	 */
	private static final long TICK_INTERVAL_MILLIS = 20;

	/** The tick interval otherwise. */
	private static final long IDLE_TICK_INTERVAL_MILLIS = 100;

	private final FleetSettings settings;

	private final EventLoop loop;

	private final HostClock clock;

	private final Directory directory;

	private final EventLog log;

	private final HostMetrics metrics;

	private final Incarnation self;

	private final Scheduler scheduler;

	private final SchedulerElection election;

	private final OverloadDetector overload = new OverloadDetector();

	private final SuspensionDetector suspension = new SuspensionDetector();

	private final PendingJobs pendingJobs;

	private final StoredJobService storedJobs;

	private final JobQueries queries;

	private final DrainService drains;

	private final DirectoryState directoryState;

	private final EffectExecutor effectExecutor;

	private final SchedulerTransport transport;

	private FleetPeers peers;

	private boolean readinessAnnounced;

	/** The token with which this host schedules, NONE if it does not schedule. */
	private FencingToken schedulerToken = FencingToken.NONE;

	private boolean leaving;

	/** The host that schedules, null if none is known. */
	private HostId schedulingHost;

	private boolean tickRequested;

	/** The last time for which a tick was scheduled at the request of the scheduler. */
	private long scheduledCheckNanos;

	private long lastTickNanos;

	private long lastTimedTickNanos;

	/**
	 * All input that arrived before this time was processed, so that callers that
	 * disconnected before have had their jobs withdrawn.
	 */
	private long inputProcessedNanos;

	private FleetHost(FleetSettings settings, EventLoopGroup group, HostClock clock, Directory directory, JobLog jobLog,
			WorkerOrders orders, EventLog log, HostMetrics metrics) {
		this.settings = settings;
		this.loop = group.next();
		this.clock = clock;
		this.directory = directory;
		this.log = log;
		this.metrics = metrics;
		this.self = Incarnation.of(settings.host(), clock.getAsLong() / 1_000_000);
		this.scheduler = Scheduler.of(settings.scheduler());
		this.drains = new DrainService(this.scheduler, settings.dataCentre(), clock, log, metrics);
		this.election = new SchedulerElection();
		this.directoryState = new DirectoryState(this, settings.dataCentre(), this.scheduler, this.election,
				this.drains, clock, log);
		this.transport = new SchedulerTransport(this.self.host(), new LocalScheduler(), () -> this.peers);
		JobEvents jobEvents = new JobEvents(log, metrics);
		this.pendingJobs = new PendingJobs(this.transport, clock, jobEvents);
		this.storedJobs = new StoredJobService(jobLog, this.scheduler, settings.scheduler().hostNumber(), clock, log,
				this::requestTick);
		this.queries = new JobQueries(this.self.host(), this.storedJobs, this.scheduler, () -> this.peers, clock,
				this::requestTick);
		this.effectExecutor = new EffectExecutor(this.scheduler, orders, this.storedJobs, this::jobEnded, jobEvents,
				clock, log, this::requestTick);
		metrics.gauge("limpetgate.jobs.open", "Jobs whose callers wait at this host", this.pendingJobs::size);
		SchedulerGauges.register(metrics, this.scheduler);
		metrics.gauge("limpetgate.log.dropped", "Log lines that were dropped", log::dropped);
		metrics.gauge("limpetgate.ready", "1 while this host takes jobs", () -> isReady() ? 1 : 0);
		metrics.gauge("limpetgate.configuration.version", "Version of the queues in force, -1 for none",
				this.directoryState::configurationVersion);
		metrics.gauge("limpetgate.configuration.age.ms",
				"Time since the store last answered a read of the configuration, -1 before",
				() -> DirectoryState.ageMillis(directory.configurationAgeNanos()));
		metrics.gauge("limpetgate.workers.listed", "Workers on the platform's list", this.directoryState::workerCount);
	}

	/**
	 * Starts a host.
	 * @param settings the settings, not null
	 * @param group the event loop, with one thread
	 * @param clock the clocks of the machine, not null
	 * @param directory the directory of configuration, workers and hosts, not started yet
	 * @param jobLog the log of the stored jobs, not null
	 * @param orders sends orders to workers, not null
	 * @param log the event log, not null
	 * @param metrics the metrics of the host, not null
	 * @return the host, not null
	 */
	public static FleetHost start(FleetSettings settings, EventLoopGroup group, HostClock clock, Directory directory,
			JobLog jobLog, WorkerOrders orders, EventLog log, HostMetrics metrics) {
		FleetHost host = new FleetHost(settings, group, clock, directory, jobLog, orders, log, metrics);
		host.peers = FleetPeers.start(group, settings, host.self, clock,
				new FleetPeerListener(host, host.directoryState, host.election, host.scheduler, directory, host.drains,
						host.queries, clock, log, metrics));
		host.scheduler.setOriginHeartbeats(host::lastWaitedNanos);
		host.scheduler.setHostDataCentres(host.peers::dataCentreOf);
		host.loop.execute(() -> {
			host.peers.addHosts(settings.seeds());
			directory.start(host.directoryState);
			host.scheduleTick();
			host.loop.scheduleAtFixedRate(host::sendHeartbeats, HEARTBEAT_INTERVAL_MILLIS, HEARTBEAT_INTERVAL_MILLIS,
					TimeUnit.MILLISECONDS);
		});
		return host;
	}

	@Override
	public CompletableFuture<JobAnswer> submit(JobSpec spec, RequestId request, long remainingNanos) {
		return this.pendingJobs.submit(spec, request, remainingNanos, this.clock.getAsLong());
	}

	@Override
	public boolean cancel(JobId job) {
		return this.pendingJobs.cancel(job);
	}

	@Override
	public boolean contains(JobId job) {
		return this.pendingJobs.contains(job);
	}

	@Override
	public CompletableFuture<StoredJobAnswer> storedJob(JobId job) {
		return this.queries.query(job, false, this.schedulingHost);
	}

	@Override
	public CompletableFuture<StoredJobAnswer> cancelStored(JobId job) {
		return this.queries.query(job, true, this.schedulingHost);
	}

	@Override
	public CompletableFuture<OptionalInt> pendingJobs(String queue) {
		return this.queries.pendingJobs(queue, this.schedulingHost);
	}

	/**
	 * Returns the number of jobs whose callers are waiting for an answer.
	 * @return the number, at least 0
	 */
	public int openJobs() {
		return this.pendingJobs.size();
	}

	@Override
	public QueueTable queues() {
		return this.directoryState.queues();
	}

	/**
	 * Tests whether new connections should be routed to this host.
	 * @return true if it can accept jobs
	 */
	public boolean isReady() {
		return !this.leaving && this.directoryState.queues() != null && this.schedulingHost != null;
	}

	/**
	 * Stops standing for election, before the host shuts down. If it schedules, it
	 * continues until another host takes over.
	 */
	public void leave() {
		this.leaving = true;
		this.log.write(LogEvent.DRAINING, this.self);
		sendHeartbeats();
	}

	private void sendHeartbeats() {
		this.election.setHeartbeatTargets(this.peers.sendHeartbeats(state()), this.clock.getAsLong());
	}

	// Tests whether this host can become the scheduler, once its start-up delay is over.
	private boolean isCandidate() {
		return this.directoryState.queues() != null && this.directoryState.workersKnown();
	}

	// Tells the peers of this host's readiness, since the start-up delay ends early when
	// they have answered.
	void announceReadiness() {
		if (isCandidate() && !this.readinessAnnounced) {
			this.readinessAnnounced = true;
			runElection();
			sendHeartbeats();
		}
	}

	FleetPeers peers() {
		return this.peers;
	}

	/**
	 * Closes the links to the other hosts.
	 */
	public void close() {
		this.peers.close();
	}

	HostState state() {
		return new HostState(this.self, this.settings.dataCentre(), this.leaving, isCandidate(),
				this.overload.isOverloaded(), this.settings.cpuMillis(), this.schedulerToken,
				this.directoryState.allDataCentres());
	}

	private void scheduleTick() {
		long millis = (this.schedulerToken.isNone() && this.pendingJobs.size() == 0) ? IDLE_TICK_INTERVAL_MILLIS
				: TICK_INTERVAL_MILLIS;
		this.overload.tickScheduled(this.clock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(millis));
		this.loop.schedule(this::timedTick, millis, TimeUnit.MILLISECONDS);
	}

	private void timedTick() {
		// The event loop reads all input between two of these ticks.
		this.inputProcessedNanos = this.lastTimedTickNanos;
		this.lastTimedTickNanos = this.clock.getAsLong();
		this.overload.tickStarted(this.clock.getAsLong());
		try {
			runElection();
			long now = this.clock.getAsLong();
			this.storedJobs.tick(this.schedulerToken, this.election.reachability(state(), now), now);
			tick();
		}
		finally {
			scheduleTick();
		}
	}

	// Queues a tick behind the events that are already queued, so that one tick processes
	// all of them.
	void requestTick() {
		if (!this.tickRequested) {
			this.tickRequested = true;
			this.loop.execute(this::tick);
		}
	}

	private void tick() {
		this.tickRequested = false;
		long now = this.clock.getAsLong();
		boolean paused = now - this.lastTickNanos > SubmissionLeases.DURATION_NANOS;
		this.lastTickNanos = now;
		if (this.suspension.observe(now, this.clock.wallNanos())) {
			this.scheduler.machineSuspended(now);
		}
		if (paused) {
			// Input that arrived during the pause is read before the next tick. It may
			// show that a caller has disconnected and sent its job again elsewhere.
			return;
		}
		this.peers.expireLeases(now);
		List<SchedulingEffect> effects = new ArrayList<>();
		this.scheduler.tick(now, effects::add);
		effects.forEach(this.effectExecutor::execute);
		if (this.scheduler.awaitsWorkerList()) {
			this.directory.readWorkers();
		}
		this.pendingJobs.tick(this.schedulingHost, this.clock.getAsLong());
		scheduleCheck(now);
	}

	// Schedules a tick for the next projection of the capacity, which is due sooner than
	// the next timed tick.
	private void scheduleCheck(long nowNanos) {
		long checkNanos = this.scheduler.nextCheckNanos();
		if (checkNanos < Long.MAX_VALUE && checkNanos > this.scheduledCheckNanos) {
			this.scheduledCheckNanos = checkNanos;
			this.loop.schedule(this::requestTick, checkNanos - nowNanos, TimeUnit.NANOSECONDS);
		}
	}

	private void runElection() {
		long now = this.clock.getAsLong();
		this.election.detectTimedOutPeers(now).forEach(this.peers::reconnect);
		if (!this.election.isSettled(now)) {
			this.peers.endedHosts().forEach(this.election::peerEnded);
		}
		SchedulerElection.Decision decision = this.election.decide(state(), now);
		boolean scopeChanged = this.directoryState.setAllDataCentres(decision.allDataCentres());
		if (decision.activate() && this.schedulerToken.isNone()) {
			startScheduling(now);
			return;
		}
		if (!this.schedulerToken.isNone() && !this.self.host().equals(decision.scheduler())) {
			stopScheduling(decision.scheduler());
		}
		else if (!this.schedulerToken.isNone() && scopeChanged) {
			this.directoryState.listWorkers(now);
		}
		setSchedulingHost(decision.scheduler());
	}

	private void startScheduling(long nowNanos) {
		this.schedulerToken = FencingToken.create(nowNanos, this.settings.scheduler().hostNumber(),
				this.election.highestSchedulerToken());
		this.log.write(LogEvent.SCHEDULING_STARTED, this.self, this.schedulerToken.value(),
				this.directoryState.allDataCentres(), this.directoryState.workerCount(),
				TimeUnit.NANOSECONDS.toMillis(nowNanos - this.directoryState.workersReadNanos()));
		this.directoryState.listWorkers(nowNanos);
		this.scheduler.activate(this.schedulerToken, nowNanos);
		this.directory.setScheduling(true);
		setSchedulingHost(this.self.host());
		sendHeartbeats();
	}

	private void stopScheduling(HostId successor) {
		this.schedulerToken = FencingToken.NONE;
		this.log.write(LogEvent.SCHEDULING_ENDED, this.self, successor);
		this.scheduler.deactivate();
		this.directory.setScheduling(false);
	}

	private void setSchedulingHost(HostId host) {
		if (host != null && !host.equals(this.schedulingHost)) {
			this.log.write(LogEvent.SCHEDULER_KNOWN, host);
		}
		this.schedulingHost = host;
	}

	private void jobEnded(SchedulingEffect.JobEnded ended) {
		JobResult result = JobMessages.toMessage(ended.outcome(), ended.reason(), ended.retryAfterNanos());
		if (ended.origin().equals(this.self.host())) {
			this.transport.complete(ended.job(), result);
		}
		else {
			this.peers.answer(ended.origin(), ended.job(), result);
		}
	}

	boolean accept(HostId origin, SubmitJob job) {
		if (!this.scheduler.isActive()) {
			return false;
		}
		this.scheduler.submit(origin, JobMessages.toSpec(job), TimeUnit.MILLISECONDS.toNanos(job.getWaitedMillis()),
				TimeUnit.MILLISECONDS.toNanos(job.getRemainingMillis()), JobMessages.earlierSubmission(job),
				this.clock.getAsLong());
		requestTick();
		return true;
	}

	private long lastWaitedNanos(HostId origin, JobId job, long nowNanos) {
		return origin.equals(this.self.host()) ? this.inputProcessedNanos : this.peers.lastWaitedNanos(origin, job);
	}

	void withdraw(HostId origin, JobId job) {
		this.scheduler.withdraw(origin, job, this.clock.getAsLong());
		requestTick();
	}

	// Returns when all workers that this host used last while it scheduled were listed, 0
	// before the first list.
	long workersListedNanos() {
		return this.scheduler.usedWorkersListedNanos();
	}

	/** The scheduler of this host, for the jobs of its own callers. */
	private final class LocalScheduler implements SchedulerTransport.LocalScheduler {

		@Override
		public boolean accept(HostId origin, SubmitJob job) {
			return FleetHost.this.accept(origin, job);
		}

		@Override
		public void withdraw(HostId origin, JobId job) {
			FleetHost.this.withdraw(origin, job);
		}

		@Override
		public long workersListedNanos() {
			return FleetHost.this.workersListedNanos();
		}

	}

}
