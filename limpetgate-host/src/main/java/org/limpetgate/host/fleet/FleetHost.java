package org.limpetgate.host.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.JobId;
import org.limpetgate.Outcome;
import org.limpetgate.fleet.Directory;
import org.limpetgate.fleet.HostState;
import org.limpetgate.fleet.JobLog;
import org.limpetgate.fleet.QueueTable;
import org.limpetgate.fleet.SchedulerElection;
import org.limpetgate.fleet.WorkerOrders;
import org.limpetgate.host.EventLog;
import org.limpetgate.host.HostMetrics;
import org.limpetgate.host.LogEvent;
import org.limpetgate.proto.HostBeat;
import org.limpetgate.proto.JobResult;
import org.limpetgate.proto.JobStatus;
import org.limpetgate.proto.QueueStatus;
import org.limpetgate.proto.SubmitJob;
import org.limpetgate.scheduling.FencingToken;
import org.limpetgate.scheduling.JobOutcome;
import org.limpetgate.scheduling.JobSpec;
import org.limpetgate.scheduling.Scheduler;
import org.limpetgate.scheduling.SchedulingEffect;
import org.limpetgate.scheduling.WorkerInfo;

/**
 * An entry host of a fleet. It takes jobs, and schedules those of all hosts while it is
 * elected.
 * <p>
 * All state belongs to one event loop, which serves traffic too: the hosts of a fleet
 * have one core or less, where a second thread costs more wake-ups than it saves. The
 * public methods are called on that loop, apart from {@link #start}.
 */
public final class FleetHost implements JobService {

	private static final long BEAT_MILLIS = 200;

	/** The version of a peer that needs no configuration with a beat. */
	private static final long BEAT_ONLY = Long.MAX_VALUE;

	/** The version of a host without configuration. */
	private static final long NO_VERSION = -1;

	/**
	 * Bounds how late a time-out is noticed while jobs are open or this host schedules.
	 */
	private static final long TICK_MILLIS = 20;

	private static final long IDLE_TICK_MILLIS = 100;

	/** Mean lateness of the tick above which a host should not schedule for others. */
	private static final double OVERLOAD_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

	private static final double RECOVERED_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

	private static final double LATENESS_WEIGHT = 0.04;

	private final FleetSettings settings;

	private final EventLoop loop;

	private final LongSupplier clock;

	private final Directory directory;

	private final EventLog log;

	private final Incarnation self;

	private final Scheduler scheduler;

	private final SchedulerElection election;

	private final PendingJobs pendingJobs;

	private final StoredJobKeeper storedJobs;

	private final EffectRunner effects;

	private final Transport transport = new Transport();

	private FleetPeers peers;

	private QueueTable queues;

	private Collection<WorkerInfo> workers = List.of();

	private boolean workersKnown;

	private FencingToken claim = FencingToken.NONE;

	private boolean whole = true;

	private boolean leaving;

	private boolean overloaded;

	private double latenessNanos;

	private long expectedTickNanos;

	private HostId schedulingHost;

	private boolean wakeQueued;

	private FleetHost(FleetSettings settings, EventLoopGroup group, LongSupplier clock, Directory directory,
			JobLog jobLog, WorkerOrders orders, EventLog log, HostMetrics metrics) {
		this.settings = settings;
		this.loop = group.next();
		this.clock = clock;
		this.directory = directory;
		this.log = log;
		this.self = Incarnation.of(settings.host(), clock.getAsLong() / 1_000_000);
		this.scheduler = Scheduler.of(settings.scheduler());
		this.election = new SchedulerElection();
		this.pendingJobs = new PendingJobs(this.transport, clock, new JobEvents(log, metrics));
		this.storedJobs = new StoredJobKeeper(jobLog, this.scheduler, settings.scheduler().hostNumber(), clock, log,
				this::wake);
		this.effects = new EffectRunner(this.scheduler, orders, this.storedJobs, this::jobEnded, clock, log,
				this::wake);
		metrics.gauge("limpetgate.jobs.open", "Jobs whose callers wait at this host", this.pendingJobs::size);
		metrics.gauge("limpetgate.jobs.waiting", "Jobs that wait for room on a worker, where this host schedules",
				this.scheduler::waitingJobs);
		metrics.gauge("limpetgate.scheduling", "1 while this host schedules", () -> this.scheduler.isActive() ? 1 : 0);
		metrics.gauge("limpetgate.log.dropped", "Log lines that were dropped", log::dropped);
		metrics.gauge("limpetgate.ready", "1 while this host takes jobs", () -> isReady() ? 1 : 0);
		metrics.gauge("limpetgate.configuration.version", "Version of the queues in force, -1 for none",
				this::configurationVersion);
		metrics.gauge("limpetgate.workers.listed", "Workers on the platform's list", () -> this.workers.size());
	}

	private long configurationVersion() {
		QueueTable known = this.queues;
		return (known != null) ? known.version() : NO_VERSION;
	}

	/**
	 * Starts a host.
	 * @param settings the settings, not null
	 * @param group the event loop, with one thread
	 * @param clock gives nanoseconds since the Unix epoch that do not decrease, not null
	 * @param directory the platform's store, not started yet
	 * @param jobLog keeps the stored jobs, not null
	 * @param orders carries orders to workers, not null
	 * @param log receives the events, not null
	 * @param metrics receives the counts, not null
	 * @return the host, not null
	 */
	public static FleetHost start(FleetSettings settings, EventLoopGroup group, LongSupplier clock, Directory directory,
			JobLog jobLog, WorkerOrders orders, EventLog log, HostMetrics metrics) {
		FleetHost host = new FleetHost(settings, group, clock, directory, jobLog, orders, log, metrics);
		host.peers = FleetPeers.start(group, settings, host.self, clock, host.new PeerListener());
		host.loop.execute(() -> {
			host.peers.learn(settings.seeds());
			directory.start(host.new DirectoryListener());
			host.scheduleTick();
			host.loop.scheduleAtFixedRate(host::beat, BEAT_MILLIS, BEAT_MILLIS, TimeUnit.MILLISECONDS);
		});
		return host;
	}

	@Override
	public CompletableFuture<JobAnswer> submit(JobSpec spec, long remainingNanos) {
		return this.pendingJobs.submit(spec, remainingNanos, this.clock.getAsLong());
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
		return query(job, false);
	}

	@Override
	public CompletableFuture<StoredJobAnswer> cancelStored(JobId job) {
		return query(job, true);
	}

	private CompletableFuture<StoredJobAnswer> query(JobId job, boolean cancel) {
		HostId host = this.schedulingHost;
		if (host == null) {
			return CompletableFuture.completedFuture(StoredJobAnswer.UNAVAILABLE);
		}
		CompletableFuture<JobStatus> status = host.equals(this.self.host()) ? answer(job, cancel)
				: this.peers.query(host, job, cancel);
		return status
			.handle((known, failure) -> (failure != null) ? StoredJobAnswer.UNAVAILABLE : JobMessages.toAnswer(known));
	}

	private CompletableFuture<JobStatus> answer(JobId job, boolean cancel) {
		long now = this.clock.getAsLong();
		if (!cancel) {
			return CompletableFuture.completedFuture(this.storedJobs.status(job, now));
		}
		CompletableFuture<JobStatus> status = this.storedJobs.cancel(job, now);
		wake();
		return status;
	}

	@Override
	public CompletableFuture<OptionalInt> pendingJobs(String queue) {
		HostId host = this.schedulingHost;
		if (host == null) {
			return CompletableFuture.completedFuture(OptionalInt.empty());
		}
		CompletableFuture<QueueStatus> status = host.equals(this.self.host())
				? CompletableFuture.completedFuture(queueStatus(queue)) : this.peers.query(host, queue);
		return status.handle((known, failure) -> (failure == null && known.getAvailable())
				? OptionalInt.of(known.getPendingJobs()) : OptionalInt.empty());
	}

	private QueueStatus queueStatus(String queue) {
		return QueueStatus.newBuilder()
			.setAvailable(this.storedJobs.isCertain(this.clock.getAsLong()))
			.setPendingJobs(this.scheduler.pendingJobs(queue))
			.build();
	}

	/**
	 * Returns the number of jobs whose callers wait.
	 * @return the number, at least 0
	 */
	public int openJobs() {
		return this.pendingJobs.size();
	}

	@Override
	public QueueTable queues() {
		return this.queues;
	}

	/**
	 * Tests whether new connections should be sent here.
	 * @return true if jobs can be taken
	 */
	public boolean isReady() {
		return !this.leaving && this.queues != null && this.schedulingHost != null;
	}

	/**
	 * Stops taking part in elections; a scheduling host goes on until another one does.
	 */
	public void leave() {
		this.leaving = true;
		this.log.write(LogEvent.DRAINING, this.self);
		beat();
	}

	private void beat() {
		this.election.expect(this.peers.beat(state()), this.clock.getAsLong());
	}

	// Closes the links to the other hosts.
	public void close() {
		this.peers.close();
	}

	private HostState state() {
		return new HostState(this.self, this.settings.dataCentre(), this.leaving,
				this.queues != null && this.workersKnown, this.overloaded, this.settings.cpuMillis(), this.claim,
				this.whole);
	}

	private void scheduleTick() {
		long millis = (this.claim.isNone() && this.pendingJobs.size() == 0) ? IDLE_TICK_MILLIS : TICK_MILLIS;
		this.expectedTickNanos = this.clock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(millis);
		this.loop.schedule(this::timedTick, millis, TimeUnit.MILLISECONDS);
	}

	private void timedTick() {
		long late = this.clock.getAsLong() - this.expectedTickNanos;
		this.latenessNanos += (late - this.latenessNanos) * LATENESS_WEIGHT;
		this.overloaded = this.latenessNanos > (this.overloaded ? RECOVERED_NANOS : OVERLOAD_NANOS);
		try {
			elect();
			long now = this.clock.getAsLong();
			this.storedJobs.tick(this.claim, this.election.reach(state(), now), now);
			tick();
		}
		finally {
			scheduleTick();
		}
	}

	// Runs a tick after the events that are at hand, so that they are decided together.
	private void wake() {
		if (!this.wakeQueued) {
			this.wakeQueued = true;
			this.loop.execute(this::tick);
		}
	}

	private void tick() {
		this.wakeQueued = false;
		List<SchedulingEffect> due = new ArrayList<>();
		this.scheduler.tick(this.clock.getAsLong(), due::add);
		due.forEach(this.effects::carryOut);
		this.pendingJobs.tick(this.schedulingHost, this.clock.getAsLong());
	}

	private void elect() {
		long now = this.clock.getAsLong();
		this.election.silent(now).forEach(this.peers::drop);
		SchedulerElection.Decision decision = this.election.decide(state(), now);
		boolean scopeChanged = decision.whole() != this.whole;
		this.whole = decision.whole();
		if (decision.claim() && this.claim.isNone()) {
			claim(now);
			return;
		}
		if (!this.claim.isNone() && !this.self.host().equals(decision.scheduler())) {
			stepDown(decision.scheduler());
		}
		else if (!this.claim.isNone() && scopeChanged) {
			this.scheduler.workersListed(ownWorkers(), this.whole, now);
		}
		use(decision.scheduler());
	}

	private void claim(long nowNanos) {
		this.claim = FencingToken.draw(nowNanos, this.settings.scheduler().hostNumber(), this.election.highestClaim());
		this.log.write(LogEvent.SCHEDULING_STARTED, this.self, this.claim.value(), this.whole, this.workers.size());
		this.scheduler.workersListed(ownWorkers(), this.whole, nowNanos);
		this.scheduler.activate(this.claim, nowNanos);
		this.directory.follow(true);
		use(this.self.host());
		beat();
	}

	private void stepDown(HostId successor) {
		this.claim = FencingToken.NONE;
		this.log.write(LogEvent.SCHEDULING_ENDED, this.self, successor);
		this.scheduler.deactivate();
		this.directory.follow(false);
	}

	private void use(HostId host) {
		if (host != null && !host.equals(this.schedulingHost)) {
			this.log.write(LogEvent.SCHEDULER_KNOWN, host);
		}
		this.schedulingHost = host;
	}

	private List<WorkerInfo> ownWorkers() {
		return this.workers.stream()
			.filter((worker) -> this.whole || this.settings.dataCentre().equals(worker.dataCentre()))
			.toList();
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

	private boolean accept(HostId origin, SubmitJob job) {
		if (!this.scheduler.isActive()) {
			return false;
		}
		this.scheduler.submit(origin, JobMessages.toSpec(job), TimeUnit.MILLISECONDS.toNanos(job.getWaitedMillis()),
				TimeUnit.MILLISECONDS.toNanos(job.getRemainingMillis()), job.getResubmitted(), this.clock.getAsLong());
		wake();
		return true;
	}

	private void withdraw(HostId origin, JobId job) {
		this.scheduler.withdraw(origin, job, this.clock.getAsLong());
		wake();
	}

	/** Hands jobs to the scheduler of this host or to that of a peer. */
	private final class Transport implements JobTransport {

		private final Map<JobId, CompletableFuture<JobResult>> local = new HashMap<>();

		@Override
		public CompletableFuture<JobResult> submit(HostId host, SubmitJob job, long timeoutNanos) {
			if (!host.equals(FleetHost.this.self.host())) {
				return FleetHost.this.peers.submit(host, job, timeoutNanos);
			}
			CompletableFuture<JobResult> result = new CompletableFuture<>();
			JobId id = JobId.of(job.getJobId());
			this.local.put(id, result);
			if (!accept(host, job)) {
				this.local.remove(id);
				result.completeExceptionally(
						DispatchException.of(ErrorKind.NOT_READY, Outcome.NOT_RUN, "this host does not schedule"));
			}
			return result;
		}

		@Override
		public void withdraw(HostId host, JobId job) {
			if (host.equals(FleetHost.this.self.host())) {
				this.local.remove(job);
				FleetHost.this.withdraw(host, job);
			}
			else {
				FleetHost.this.peers.withdraw(host, job);
			}
		}

		void complete(JobId job, JobResult result) {
			CompletableFuture<JobResult> waiting = this.local.remove(job);
			if (waiting != null) {
				waiting.complete(result);
			}
		}

	}

	private final class PeerListener implements FleetPeers.Listener {

		@Override
		public HostBeat beat(long versionOfPeer) {
			long version = configurationVersion();
			HostBeat.Builder beat = FleetHost.this.peers.newBeat(state()).setConfigurationVersion(version);
			if (versionOfPeer != BEAT_ONLY && versionOfPeer < version) {
				beat.setConfiguration(FleetPeers.bytes(FleetHost.this.directory.configurationText()));
			}
			return beat.build();
		}

		@Override
		public void heard(HostState state, long nowNanos) {
			FleetHost.this.election.heard(state, nowNanos);
		}

		@Override
		public void received(HostState state, long nowNanos) {
			FleetHost.this.election.received(state, nowNanos);
		}

		@Override
		public void lost(HostId peer) {
			FleetHost.this.log.write(LogEvent.HOST_LOST, peer);
			FleetHost.this.election.lost(peer);
			FleetHost.this.scheduler.hostLost(peer, FleetHost.this.clock.getAsLong());
			FleetHost.this.peers.release(peer, JobMessages.toMessage(JobOutcome.MOVED, "the link was lost", 0));
			wake();
		}

		@Override
		public void configurationOffered(byte[] text) {
			FleetHost.this.directory.offerConfiguration(text);
		}

		@Override
		public boolean submitted(HostId peer, SubmitJob job) {
			return accept(peer, job);
		}

		@Override
		public void withdrawn(HostId peer, JobId job) {
			withdraw(peer, job);
		}

		@Override
		public CompletableFuture<JobStatus> queried(JobId job, boolean cancel) {
			return answer(job, cancel);
		}

		@Override
		public QueueStatus queueQueried(String queue) {
			return queueStatus(queue);
		}

	}

	private final class DirectoryListener implements Directory.Listener {

		@Override
		public void configured(QueueTable table) {
			FleetHost.this.queues = table;
			FleetHost.this.log.write(LogEvent.CONFIGURATION_APPLIED, table.version(), table.size(), 0);
		}

		@Override
		public void workersListed(Collection<WorkerInfo> listed) {
			FleetHost.this.workers = List.copyOf(listed);
			FleetHost.this.workersKnown = true;
			FleetHost.this.scheduler.workersListed(ownWorkers(), FleetHost.this.whole,
					FleetHost.this.clock.getAsLong());
			wake();
		}

		@Override
		public void hostsListed(List<HostId> hosts) {
			FleetHost.this.peers.learn(hosts);
		}

	}

}
