package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.fleet.DataCentreDrains;
import org.limpetgate.fleet.HostState;
import org.limpetgate.fleet.OverloadDetector;
import org.limpetgate.fleet.SchedulerElection;
import org.limpetgate.fleet.SubmissionLeases;
import org.limpetgate.scheduling.FleetLink.LinkEnd;
import org.limpetgate.scheduling.FleetMessage.JobResult;
import org.limpetgate.scheduling.FleetMessage.SubmitJob;

/**
 * One incarnation of an entry host in {@link FleetSimulation}, with a real election and a
 * real scheduler. Follows {@code org.limpetgate.host.fleet.FleetHost} without stored
 * jobs.
 * <p>
 * While it is paused, messages and timers are queued; all of them are processed when it
 * continues. Not thread-safe.
 */
final class SimulatedHost {

	private static final long HEARTBEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private static final long IDLE_TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final int CPU_MILLIS = 500;

	private static final long LEASE_MILLIS = 1000;

	private static final long STOP_MILLIS = 50;

	private static final double REMOTE_FACTOR = 2;

	private final HostPlace place;

	private final VirtualTime time;

	private final FleetTrace.Writer trace;

	private final Incarnation self;

	private final Scheduler scheduler;

	private final SchedulerElection election = new SchedulerElection();

	private final OverloadDetector overload = new OverloadDetector();

	private final SubmissionRules rules;

	private final SimulatedPeers peers;

	private final SimulatedPendingJobs pendingJobs;

	private final SimulatedOrders orders;

	private final SimulatedTransport transport;

	/** The specifications of the jobs that were submitted to the scheduler. */
	private final Map<JobId, JobSpec> specs = new HashMap<>();

	/** Null unless the hosts read the list of workers from a store. */
	private SimulatedListReader listReader;

	private Collection<WorkerInfo> workers = List.of();

	private boolean workersKnown;

	private DataCentreDrains drains = DataCentreDrains.NONE;

	/**
	 * Whether it has read the operators' records or received them from a peer, as a host
	 * that has a configuration. Always if the simulation has no such records.
	 */
	private boolean drainsKnown = true;

	private FencingToken schedulerToken = FencingToken.NONE;

	private boolean allDataCentres = true;

	private long nextHeartbeatNanos;

	private long lastTickNanos;

	private long lastTimedTickNanos;

	/** All input that arrived before this time was processed. */
	private long inputProcessedNanos;

	private HostId schedulingHost;

	private boolean tickRequested;

	private boolean killed;

	private boolean paused;

	private final List<Runnable> queue = new ArrayList<>();

	SimulatedHost(HostPlace place, List<String> peers, FleetNetwork network, Map<UpstreamId, FakeWorker> workers,
			SubmissionRules rules, FleetTrace trace) {
		this.place = place;
		this.time = network.time();
		this.trace = trace.writer(place.name());
		this.self = Incarnation.of(HostId.of(place.name()), clockNanos());
		this.scheduler = Scheduler.of(SchedulerSettings.of(place.number(), LEASE_MILLIS, STOP_MILLIS, REMOTE_FACTOR));
		this.rules = rules;
		this.scheduler.setOriginHeartbeats(this::lastWaitedNanos);
		this.orders = new SimulatedOrders(this, network, workers, this.scheduler);
		this.transport = new SimulatedTransport(this, rules);
		this.pendingJobs = new SimulatedPendingJobs(this.transport, this::clockNanos, this.trace);
		this.peers = new SimulatedPeers(this, peers, network, rules, new PeerListener());
		this.lastTickNanos = clockNanos();
		this.nextHeartbeatNanos = this.time.nowNanos() + HEARTBEAT_INTERVAL_NANOS;
		this.election.setKnownPeers(peers.stream().map(HostId::of).collect(Collectors.toSet()));
		this.trace.event("HOST_STARTED " + this.self);
		this.peers.start();
		scheduleTick();
		schedule(HEARTBEAT_INTERVAL_NANOS, this::sendHeartbeatsPeriodically);
	}

	String name() {
		return this.place.name();
	}

	HostId id() {
		return this.self.host();
	}

	FleetTrace.Writer trace() {
		return this.trace;
	}

	// Returns the host that schedules in the view of this host, null if none is known.
	HostId schedulingHost() {
		return this.schedulingHost;
	}

	// Returns the clock of this host, nanoseconds since the Unix epoch.
	long clockNanos() {
		return this.time.nowNanos() + this.place.clockOffsetNanos();
	}

	// Returns when all workers that this host used last were listed.
	long workersListedNanos() {
		return this.scheduler.usedWorkersListedNanos();
	}

	SimulatedPeers peers() {
		return this.peers;
	}

	boolean isUp() {
		return !this.killed;
	}

	boolean isPaused() {
		return this.paused;
	}

	LinkEnd accept(FleetLink link) {
		return this.peers.accept(link);
	}

	CompletableFuture<JobResult> submit(JobSpec spec, long remainingNanos) {
		CompletableFuture<JobResult> answer = this.pendingJobs.submit(spec, remainingNanos, clockNanos());
		requestTick();
		return answer;
	}

	void schedule(long delayNanos, Runnable action) {
		this.time.schedule(delayNanos, () -> handle(action));
	}

	// Runs an action as soon as this host is not paused, unless it was killed before.
	void handle(Runnable action) {
		if (this.killed) {
			return;
		}
		if (this.paused) {
			this.queue.add(action);
			return;
		}
		action.run();
		requestTick();
	}

	void pause() {
		this.trace.event("PAUSED");
		this.paused = true;
	}

	void resume() {
		this.trace.event("RESUMED");
		this.paused = false;
		List<Runnable> actions = List.copyOf(this.queue);
		this.queue.clear();
		actions.forEach(this::handle);
	}

	void kill() {
		this.trace.event("KILLED");
		this.killed = true;
	}

	// Lets the host stand for election only once it has adopted the drained data centres.
	void requireDrains() {
		this.drainsKnown = false;
	}

	void adoptDrains(DataCentreDrains received) {
		if (this.drains.newest(received) != this.drains) {
			this.trace.event("adopts " + received);
			this.drains = received;
			this.drainsKnown = true;
			this.scheduler.setDrainedDataCentres(received.dataCentres(), clockNanos());
		}
	}

	// Lets the host read the list of workers from a store from now on.
	void readWorkers(SimulatedWorkerList list) {
		this.scheduler.workerListProven(0);
		this.listReader = new SimulatedListReader(this, list);
		this.listReader.start();
	}

	void workersListed(Collection<WorkerInfo> listed) {
		this.workers = List.copyOf(listed);
		this.workersKnown = true;
		this.scheduler.workersListed(workersInScope(), this.allDataCentres, clockNanos());
	}

	// Records that the list was read; everything written before the time is in it.
	void workersRead(long sentNanos) {
		this.scheduler.workerListProven(sentNanos);
	}

	private void sendHeartbeatsPeriodically() {
		sendHeartbeats();
		// Heartbeats that were missed are sent too, as scheduleAtFixedRate does.
		this.nextHeartbeatNanos += HEARTBEAT_INTERVAL_NANOS;
		schedule(Math.max(0, this.nextHeartbeatNanos - this.time.nowNanos()), this::sendHeartbeatsPeriodically);
	}

	private void sendHeartbeats() {
		this.election.setHeartbeatTargets(this.peers.sendHeartbeats(state()), clockNanos());
	}

	private HostState state() {
		return new HostState(this.self, this.place.dataCentre(), false, this.workersKnown && this.drainsKnown,
				this.overload.isOverloaded(), CPU_MILLIS, this.schedulerToken, this.allDataCentres);
	}

	private void scheduleTick() {
		long nanos = (this.schedulerToken.isNone() && this.pendingJobs.size() == 0) ? IDLE_TICK_INTERVAL_NANOS
				: TICK_INTERVAL_NANOS;
		this.overload.tickScheduled(clockNanos() + nanos);
		schedule(nanos, this::timedTick);
	}

	private void timedTick() {
		this.inputProcessedNanos = this.lastTimedTickNanos;
		this.lastTimedTickNanos = clockNanos();
		this.overload.tickStarted(clockNanos());
		runElection();
		tick();
		scheduleTick();
	}

	// Queues a tick behind the events of the same time, so that one tick processes all of
	// them.
	private void requestTick() {
		if (!this.tickRequested) {
			this.tickRequested = true;
			this.time.schedule(0, this::requestedTick);
		}
	}

	private void requestedTick() {
		if (this.killed) {
			return;
		}
		if (this.paused) {
			this.queue.add(() -> this.time.schedule(0, this::requestedTick));
			return;
		}
		tick();
	}

	private void tick() {
		this.tickRequested = false;
		boolean paused = this.rules.isPauseTooLong(clockNanos() - this.lastTickNanos);
		this.lastTickNanos = clockNanos();
		if (paused) {
			// Input that waited during the pause is processed before the next tick.
			this.trace.event("skips a tick after a pause");
			return;
		}
		expireLeases();
		if (this.listReader != null && this.rules.takesWorkerListForNew()) {
			this.scheduler.workerListProven(clockNanos());
		}
		List<SchedulingEffect> effects = new ArrayList<>();
		this.scheduler.tick(clockNanos(), effects::add);
		effects.forEach(this::execute);
		if (this.listReader != null && this.scheduler.awaitsWorkerList()) {
			this.listReader.readNow();
		}
		this.pendingJobs.tick(this.schedulingHost, clockNanos());
	}

	private void expireLeases() {
		for (SubmissionLeases.Expired expired : this.rules.expire(clockNanos())) {
			expired.jobs().forEach((job) -> leaseExpired(expired.link().origin(), job));
		}
	}

	private void leaseExpired(HostId origin, JobId job) {
		this.trace.job(job, "withdraws the job of " + origin + ", whose lease has expired");
		withdraw(origin, job);
		this.peers.answer(origin, job, new JobResult(JobOutcome.MOVED, "the lease has expired"));
	}

	private void execute(SchedulingEffect effect) {
		if (effect instanceof SchedulingEffect.StartRun start) {
			RunId run = start.run();
			this.orders.start(start, this.specs.get(run.task().job()).steps().get(run.task().step()));
		}
		else if (effect instanceof SchedulingEffect.StopRun stop) {
			this.orders.stop(stop);
		}
		else if (effect instanceof SchedulingEffect.PollWorker poll) {
			this.orders.poll(poll);
		}
		else if (effect instanceof SchedulingEffect.JobEnded ended) {
			jobEnded(ended);
		}
		else if (effect instanceof SchedulingEffect.HandoverSettled settled) {
			this.trace.job(settled.job(), "HANDOVER_SETTLED " + settled);
		}
	}

	private void runElection() {
		long now = clockNanos();
		this.election.detectTimedOutPeers(now).forEach((peer) -> this.time.schedule(0, () -> reconnect(peer)));
		SchedulerElection.Decision decision = this.election.decide(state(), now);
		boolean scopeChanged = decision.allDataCentres() != this.allDataCentres;
		this.allDataCentres = decision.allDataCentres();
		if (decision.activate() && this.schedulerToken.isNone()) {
			startScheduling(now);
			return;
		}
		if (!this.schedulerToken.isNone() && !id().equals(decision.scheduler())) {
			stopScheduling(decision.scheduler());
		}
		else if (!this.schedulerToken.isNone() && scopeChanged) {
			this.scheduler.workersListed(workersInScope(), this.allDataCentres, now);
		}
		setSchedulingHost(decision.scheduler());
	}

	private void reconnect(HostId peer) {
		handle(() -> this.peers.reconnect(peer));
	}

	private void startScheduling(long nowNanos) {
		this.schedulerToken = FencingToken.create(nowNanos, this.place.number(), this.election.highestSchedulerToken());
		this.trace
			.event("SCHEDULING_STARTED " + this.schedulerToken.value() + ", all data centres " + this.allDataCentres);
		this.scheduler.workersListed(workersInScope(), this.allDataCentres, nowNanos);
		this.scheduler.activate(this.schedulerToken, nowNanos);
		readList(true);
		setSchedulingHost(id());
		sendHeartbeats();
	}

	private void stopScheduling(HostId successor) {
		this.schedulerToken = FencingToken.NONE;
		this.trace.event("SCHEDULING_ENDED, successor " + successor);
		this.scheduler.deactivate();
		readList(false);
	}

	private void readList(boolean scheduling) {
		if (this.listReader != null) {
			this.listReader.setScheduling(scheduling);
		}
	}

	private void setSchedulingHost(HostId host) {
		if (host != null && !host.equals(this.schedulingHost)) {
			this.trace.event("SCHEDULER_KNOWN " + host);
		}
		this.schedulingHost = host;
	}

	private List<WorkerInfo> workersInScope() {
		return this.workers.stream()
			.filter((worker) -> this.allDataCentres || this.place.dataCentre().equals(worker.dataCentre()))
			.toList();
	}

	private void jobEnded(SchedulingEffect.JobEnded ended) {
		JobResult result = new JobResult(ended.outcome(), ended.reason());
		if (ended.origin().equals(id())) {
			this.transport.complete(ended.job(), result);
		}
		else {
			this.peers.answer(ended.origin(), ended.job(), result);
		}
	}

	boolean accept(HostId origin, SubmitJob message) {
		if (!this.scheduler.isActive()) {
			return false;
		}
		JobId job = message.spec().id();
		this.trace.job(job, "accepts the job of " + origin + ", resubmitted " + message.resubmitted());
		this.specs.put(job, message.spec());
		EarlierSubmission earlier = message.resubmitted()
				? EarlierSubmission.heldFor(message.heldNanos()).withListAge(message.earlierListAgeNanos())
				: EarlierSubmission.NONE;
		this.scheduler.submit(origin, message.spec(), message.waitedNanos(), message.remainingNanos(), earlier,
				clockNanos());
		requestTick();
		return true;
	}

	private long lastWaitedNanos(HostId origin, JobId job, long nowNanos) {
		return origin.equals(id()) ? this.inputProcessedNanos : this.rules.lastWaitedNanos(origin, job, nowNanos);
	}

	void withdraw(HostId origin, JobId job) {
		this.scheduler.withdraw(origin, job, clockNanos());
		requestTick();
	}

	private final class PeerListener implements SimulatedPeers.Listener {

		@Override
		public HostState state() {
			return SimulatedHost.this.state();
		}

		@Override
		public DataCentreDrains drains() {
			return SimulatedHost.this.drains;
		}

		@Override
		public void drainsReceived(DataCentreDrains received) {
			adoptDrains(received);
		}

		@Override
		public void expireLeases() {
			SimulatedHost.this.expireLeases();
		}

		@Override
		public void heartbeatAnswered(HostState state, long sentNanos) {
			SimulatedHost.this.election.answerReceived(state, sentNanos, clockNanos());
		}

		@Override
		public void heartbeatReceived(HostState state) {
			SimulatedHost.this.election.heartbeatReceived(state, clockNanos());
		}

		@Override
		public void linkLost(String peer, String reason) {
			HostId host = HostId.of(peer);
			SimulatedHost.this.trace.event("HOST_LOST " + peer + ": " + reason);
			SimulatedHost.this.election.peerLost(host);
			SimulatedHost.this.scheduler.hostLost(host, clockNanos());
			SimulatedHost.this.peers.answerAll(peer, new JobResult(JobOutcome.MOVED, "the link to the peer was lost"));
			requestTick();
		}

		@Override
		public boolean jobSubmitted(HostId peer, SubmitJob job) {
			return accept(peer, job);
		}

		@Override
		public void jobWithdrawn(HostId peer, JobId job) {
			withdraw(peer, job);
		}

	}

}
