package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

/**
 * Schedulers and workers in virtual time with faults at random: orders whose answers are
 * lost or that are carried out late, cut paths, restarted workers, entries that leave the
 * list, paused and killed schedulers, and two schedulers at the same time. A third of the
 * jobs are stored, in a log that one scheduler writes at a time and that is away at
 * times.
 * <p>
 * Checks at every start that no worker holds more than its capacity, that no task runs
 * twice at the same time, that nothing of a refused job runs, and at the end of a job
 * that it was completed only if every task was done; of stored jobs, that no task starts
 * after its end was taken note of, and that no accepted job is forgotten. Not
 * thread-safe.
 */
final class SchedulerSimulation {

	private static final long MILLI = 1_000_000;

	private static final long START = TimeUnit.DAYS.toNanos(21_000);

	private static final int WORKERS = 6;

	private static final int SCHEDULERS = 2;

	/** A host takes a silent scheduler for lost after this time. */
	private static final long DETECTION_NANOS = 700 * MILLI;

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));

	private final Map<UpstreamId, FakeWorker> workers = new TreeMap<>();

	private final List<Host> hosts = new ArrayList<>();

	private final Map<TaskName, Set<String>> running = new HashMap<>();

	private final Map<TaskName, Boolean> done = new HashMap<>();

	private final Set<JobId> startedJobs = new HashSet<>();

	private final Map<JobId, JobSpec> jobs = new HashMap<>();

	/** Jobs that more than one scheduler got, so that one refusal says little. */
	private final Set<JobId> resubmitted = new HashSet<>();

	private final Map<JobId, Integer> owners = new HashMap<>();

	/** Pairs of scheduler and worker that cannot reach each other. */
	private final Set<String> cuts = new HashSet<>();

	private final Set<UpstreamId> unlisted = new HashSet<>();

	private final StoredLog log = new StoredLog();

	/** Stored jobs whose callers were told so. */
	private final Set<JobId> accepted = new HashSet<>();

	/** Tasks of stored jobs whose end was taken note of. */
	private final Set<TaskName> noted = new HashSet<>();

	/** Runs of stored jobs that are done, by task. */
	private final Map<TaskName, Set<String>> doneRuns = new HashMap<>();

	/** Runs of stored jobs that were done before another run of their task started. */
	private final Set<String> superseded = new HashSet<>();

	private final List<String> violations = new ArrayList<>();

	private long now = START;

	private long sequence;

	private int nextJob;

	private int steps;

	/** Whether there are no more arrivals and faults. */
	private boolean quiet;

	private int completed;

	private int refused;

	SchedulerSimulation(long seed) {
		this.random = new Random(seed);
		for (int number = 0; number < WORKERS; number++) {
			FakeWorker worker = new FakeWorker("w" + number, START - 100_000 * MILLI,
					1 - 0.02 * this.random.nextDouble(), new Watcher());
			this.workers.put(worker.id(), worker);
		}
		for (int number = 0; number < SCHEDULERS; number++) {
			this.hosts.add(new Host(number));
		}
		this.hosts.get(0).activate();
		at(0, this::arrive);
		at(10 * MILLI, this::fault);
		at(400 * MILLI, this::list);
	}

	// Runs events until a number of them was run.
	SchedulerSimulation run(int limit) {
		while (this.steps < limit && this.violations.isEmpty()) {
			Event event = this.events.poll();
			this.now = Math.max(this.now, event.atNanos());
			event.action().run();
			this.steps++;
		}
		return this;
	}

	// Ends all faults and arrivals and runs for a time.
	SchedulerSimulation settle(long nanos) {
		this.quiet = true;
		this.log.away = false;
		this.cuts.clear();
		this.unlisted.clear();
		this.workers.values().forEach((worker) -> worker.draining = false);
		long end = this.now + nanos;
		while (this.now < end && this.violations.isEmpty()) {
			Event event = this.events.poll();
			this.now = Math.max(this.now, event.atNanos());
			event.action().run();
		}
		return this;
	}

	List<String> violations() {
		return this.violations;
	}

	int completed() {
		return this.completed;
	}

	int refused() {
		return this.refused;
	}

	private void at(long delayNanos, Runnable action) {
		this.events.add(new Event(this.now + delayNanos, this.sequence++, action));
	}

	private long hop() {
		return (200 + this.random.nextInt(1500)) * 1000L;
	}

	private void list() {
		this.hosts.forEach((host) -> host.scheduler.workersListed(infos(), true, this.now));
		at(400 * MILLI, this::list);
	}

	private List<WorkerInfo> infos() {
		return this.workers.values()
			.stream()
			.filter((worker) -> !this.unlisted.contains(worker.id()))
			.map(FakeWorker::info)
			.toList();
	}

	private void arrive() {
		if (this.quiet) {
			return;
		}
		JobId id = JobId.of("j" + this.nextJob++);
		StepSpec step = new StepSpec(1 + this.random.nextInt(4), new Capacity(3000 + this.random.nextInt(6000), 64, 0),
				(20 + this.random.nextInt(200)) * MILLI, List.of(), "", "", 0);
		JobSpec spec = new JobSpec(id, "q", "service", new QueueTerms(0, 3, 1.6, 60 * MILLI), "", List.of(step),
				this.random.nextInt(3) == 0);
		this.jobs.put(id, spec);
		hand(id, false);
		at((5 + this.random.nextInt(60)) * MILLI, this::arrive);
	}

	private void hand(JobId id, boolean resubmitted) {
		if (resubmitted) {
			this.resubmitted.add(id);
		}
		Host target = this.hosts.stream()
			.filter((host) -> host.isUp() && host.scheduler.isActive())
			.findFirst()
			.orElse(null);
		if (target == null) {
			at(50 * MILLI, () -> hand(id, resubmitted));
			return;
		}
		this.owners.put(id, target.number);
		target.scheduler.submit(origin(), this.jobs.get(id), 0, TimeUnit.SECONDS.toNanos(5), resubmitted, this.now);
		target.tick();
	}

	private static HostId origin() {
		return HostId.of("10.0.0.9:1");
	}

	private void fault() {
		if (this.quiet) {
			return;
		}
		switch (this.random.nextInt(10)) {
			case 0 -> {
				FakeWorker worker = anyWorker();
				worker.restart(this.now);
			}
			case 1 -> {
				String cut = this.random.nextInt(SCHEDULERS) + "/" + anyWorker().id();
				this.cuts.add(cut);
				at((100 + this.random.nextInt(3000)) * MILLI, () -> this.cuts.remove(cut));
			}
			case 2, 3 -> handOver();
			case 4 -> bothActive();
			case 5 -> anyHost().pause((100 + this.random.nextInt(4000)) * MILLI);
			case 6 -> anyHost().kill();
			case 8 -> {
				this.log.away = true;
				at((100 + this.random.nextInt(5000)) * MILLI, () -> this.log.away = false);
			}
			case 7 -> {
				UpstreamId id = anyWorker().id();
				this.unlisted.add(id);
				at((500 + this.random.nextInt(3000)) * MILLI, () -> this.unlisted.remove(id));
			}
			default -> {
				FakeWorker worker = anyWorker();
				worker.draining = !worker.draining;
			}
		}
		at((50 + this.random.nextInt(900)) * MILLI, this::fault);
	}

	private FakeWorker anyWorker() {
		return this.workers.get(UpstreamId.of("w" + this.random.nextInt(WORKERS)));
	}

	private Host anyHost() {
		return this.hosts.get(this.random.nextInt(SCHEDULERS));
	}

	private void handOver() {
		Host from = this.hosts.stream().filter((host) -> host.scheduler.isActive()).findFirst().orElse(null);
		Host to = this.hosts.get((from != null) ? (from.number + 1) % SCHEDULERS : 0);
		if (!to.isUp() || to.scheduler.isActive()) {
			return;
		}
		to.activate();
		if (from != null && from.isUp()) {
			at(hop(), from::stepDown);
		}
	}

	// Both schedule for a while, as after a cut between them.
	private void bothActive() {
		for (Host host : this.hosts) {
			if (host.isUp() && !host.scheduler.isActive()) {
				host.activate();
				at((50 + this.random.nextInt(2000)) * MILLI, host::stepDown);
			}
		}
	}

	private void violation(String text) {
		this.violations.add("at " + (this.now - START) / MILLI + " ms: " + text);
	}

	private void checkDone(JobId job) {
		for (int index = 0; index < this.jobs.get(job).steps().get(0).count(); index++) {
			if (!this.done.containsKey(new TaskName(job, 0, 0, index))) {
				violation("COMPLETED: task " + index + " of job " + job + " is not done");
			}
		}
	}

	// Stored jobs that have not ended.
	long storedOpen() {
		return this.log.jobs.values().stream().filter((job) -> job.progress().state() == StoredState.OPEN).count();
	}

	int storedCompleted() {
		return (int) this.log.jobs.values()
			.stream()
			.filter((job) -> job.progress().state() == StoredState.COMPLETED)
			.count();
	}

	private final class Watcher implements FakeWorker.RunWatcher {

		@Override
		public void started(FakeWorker worker, RunId run, long nowNanos) {
			SchedulerSimulation simulation = SchedulerSimulation.this;
			simulation.workers.values().forEach((other) -> {
				if (other != worker) {
					other.advance(nowNanos);
				}
			});
			if (!worker.used().fits(FakeWorker.CAPACITY)) {
				violation("LIMIT on " + worker.id() + " by " + run);
			}
			Set<String> places = simulation.running.computeIfAbsent(run.task(), (key) -> new HashSet<>());
			if (!places.isEmpty()) {
				violation("TWICE: " + run + " on " + worker.id() + " while present on " + places);
			}
			places.add(worker.id() + "#" + run.attempt());
			simulation.startedJobs.add(run.task().job());
			if (simulation.jobs.get(run.task().job()).stored()) {
				checkStoredStart(worker, run);
			}
		}

		private void checkStoredStart(FakeWorker worker, RunId run) {
			SchedulerSimulation simulation = SchedulerSimulation.this;
			if (!simulation.log.jobs.containsKey(run.task().job())) {
				violation("UNASKED: " + run + " of a job that is not stored");
			}
			if (simulation.noted.contains(run.task())) {
				violation("TWICE: " + run + " on " + worker.id() + " after its end was taken note of");
			}
			simulation.superseded.addAll(simulation.doneRuns.getOrDefault(run.task(), Set.of()));
		}

		private static String place(FakeWorker worker, RunId run) {
			return run + " on " + worker.id() + " of " + worker.info().bornMillis();
		}

		@Override
		public void noted(FakeWorker worker, RunId run) {
			SchedulerSimulation simulation = SchedulerSimulation.this;
			if (!simulation.jobs.get(run.task().job()).stored()) {
				return;
			}
			simulation.noted.add(run.task());
			if (simulation.superseded.contains(place(worker, run))) {
				violation("TWICE: the end of " + run + " on " + worker.id() + " was noted after another start");
			}
		}

		@Override
		public void ended(FakeWorker worker, RunId run, EndKind kind) {
			SchedulerSimulation.this.running.getOrDefault(run.task(), new HashSet<>())
				.remove(worker.id() + "#" + run.attempt());
			if (kind == EndKind.DONE) {
				SchedulerSimulation.this.done.put(run.task(), true);
				SchedulerSimulation.this.doneRuns.computeIfAbsent(run.task(), (key) -> new HashSet<>())
					.add(place(worker, run));
			}
		}

	}

	private final class Host {

		private final int number;

		private Scheduler scheduler;

		private int life;

		private long pausedUntil;

		private FencingToken claim = FencingToken.NONE;

		/** The epoch with which this host writes the log, 0 if it does not. */
		private long epoch;

		/** Whether an append is under way; the changes behind it wait. */
		private boolean appending;

		private final List<SchedulingEffect.SaveChange> unsaved = new ArrayList<>();

		Host(int number) {
			this.number = number;
			this.scheduler = newScheduler();
			at(0, () -> beat(0));
			at(0, this::keepLog);
		}

		// Takes the log over while this host schedules, and finds out whether another one
		// has.
		private void keepLog() {
			if (isUp() && this.scheduler.isActive() && !SchedulerSimulation.this.log.away) {
				if (this.epoch == 0) {
					openLog();
				}
				else if (this.epoch != SchedulerSimulation.this.log.epoch) {
					logLost();
				}
			}
			at(400 * MILLI, this::keepLog);
		}

		private void openLog() {
			SchedulerSimulation simulation = SchedulerSimulation.this;
			simulation.log.epoch++;
			this.epoch = simulation.log.epoch;
			List<StoredJob> read = simulation.log.read();
			long ofEpoch = this.epoch;
			answer(this.life, hop(), () -> {
				if (this.epoch == ofEpoch && this.scheduler.isActive()) {
					this.scheduler.storedJobsRead(read, simulation.now);
				}
			});
		}

		private void logLost() {
			this.epoch = 0;
			this.appending = false;
			this.unsaved.clear();
			this.scheduler.storedJobsLost(SchedulerSimulation.this.now);
			tick();
		}

		private void append() {
			if (this.appending || this.unsaved.isEmpty()) {
				return;
			}
			this.appending = true;
			List<SchedulingEffect.SaveChange> batch = List.copyOf(this.unsaved);
			this.unsaved.clear();
			append(batch, this.life, this.epoch);
		}

		private void append(List<SchedulingEffect.SaveChange> batch, int ofLife, long ofEpoch) {
			SchedulerSimulation simulation = SchedulerSimulation.this;
			at(4 * MILLI + hop(), () -> {
				if (simulation.log.away) {
					append(batch, ofLife, ofEpoch);
					return;
				}
				boolean kept = simulation.log.epoch == ofEpoch;
				if (kept) {
					batch.forEach((change) -> simulation.log.keep(change.change()));
				}
				answer(ofLife, hop(), () -> appended(batch, kept, ofEpoch));
			});
		}

		private void appended(List<SchedulingEffect.SaveChange> batch, boolean kept, long ofEpoch) {
			if (ofEpoch != this.epoch) {
				return;
			}
			if (!kept) {
				logLost();
				return;
			}
			this.appending = false;
			this.scheduler.changesSaved(batch.get(batch.size() - 1).sequence(), SchedulerSimulation.this.now);
			append();
		}

		private Scheduler newScheduler() {
			return Scheduler.of(SchedulerSettings.of(this.number, 1000, 50, 2));
		}

		boolean isUp() {
			return SchedulerSimulation.this.now >= this.pausedUntil;
		}

		void activate() {
			this.scheduler.workersListed(infos(), true, SchedulerSimulation.this.now);
			this.claim = FencingToken.draw(SchedulerSimulation.this.now, this.number, this.claim);
			this.scheduler.activate(this.claim, SchedulerSimulation.this.now);
			tick();
		}

		void stepDown() {
			boolean other = SchedulerSimulation.this.hosts.stream()
				.anyMatch((host) -> host != this && host.isUp() && host.scheduler.isActive());
			if (this.scheduler.isActive() && isUp() && other) {
				this.epoch = 0;
				this.appending = false;
				this.unsaved.clear();
				this.scheduler.deactivate();
				tick();
			}
		}

		// Another host notices the silence, takes over and gets the jobs.
		void pause(long nanos) {
			this.pausedUntil = SchedulerSimulation.this.now + nanos;
			if (nanos > DETECTION_NANOS) {
				at(DETECTION_NANOS, this::jobsLost);
			}
			at(nanos, () -> {
				// On waking it learns of the other scheduler and of the lost hosts.
				this.scheduler.hostLost(origin(), SchedulerSimulation.this.now);
				if (this.epoch != 0 && nanos > DETECTION_NANOS) {
					logLost();
				}
				stepDown();
				tick();
			});
		}

		void kill() {
			this.life++;
			this.epoch = 0;
			this.appending = false;
			this.unsaved.clear();
			this.scheduler = newScheduler();
			this.pausedUntil = SchedulerSimulation.this.now + 400 * MILLI;
			at(hop(), this::jobsLost);
		}

		private void jobsLost() {
			Host other = SchedulerSimulation.this.hosts.get((this.number + 1) % SCHEDULERS);
			if (other.isUp() && !other.scheduler.isActive()) {
				other.activate();
			}
			List<JobId> lost = SchedulerSimulation.this.owners.entrySet()
				.stream()
				.filter((entry) -> entry.getValue() == this.number)
				.map(Map.Entry::getKey)
				.sorted()
				.toList();
			lost.forEach(SchedulerSimulation.this.owners::remove);
			lost.forEach((job) -> hand(job, true));
		}

		private void beat(int ofLife) {
			if (isUp()) {
				if (SchedulerSimulation.this.hosts.stream().noneMatch((host) -> host.scheduler.isActive())) {
					activate();
				}
				tick();
			}
			at(20 * MILLI, () -> beat(ofLife));
		}

		void tick() {
			if (isUp()) {
				this.scheduler.tick(SchedulerSimulation.this.now, this::carryOut);
			}
		}

		private void answer(int ofLife, long delay, Runnable action) {
			at(delay, () -> {
				if (ofLife != this.life) {
					return;
				}
				if (!isUp()) {
					answer(ofLife, this.pausedUntil - SchedulerSimulation.this.now, action);
					return;
				}
				action.run();
				tick();
			});
		}

		private boolean isCut(UpstreamId worker) {
			return SchedulerSimulation.this.cuts.contains(this.number + "/" + worker);
		}

		private void carryOut(SchedulingEffect effect) {
			if (effect instanceof SchedulingEffect.StartRun start) {
				carryOut(start);
			}
			else if (effect instanceof SchedulingEffect.StopRun stop) {
				carryOut(stop);
			}
			else if (effect instanceof SchedulingEffect.PollWorker poll) {
				carryOut(poll);
			}
			else if (effect instanceof SchedulingEffect.SaveChange change) {
				this.unsaved.add(change);
				append();
			}
			else if (effect instanceof SchedulingEffect.JobEnded ended) {
				jobEnded(ended);
			}
		}

		private void carryOut(SchedulingEffect.StartRun start) {
			SchedulerSimulation simulation = SchedulerSimulation.this;
			int ofLife = this.life;
			UpstreamId id = start.worker().id();
			boolean late = simulation.random.nextInt(25) == 0;
			if (isCut(id)) {
				answer(ofLife, 200 * MILLI, () -> answered(start, StartAnswer.UNKNOWN));
				return;
			}
			if (late) {
				answer(ofLife, 200 * MILLI, () -> answered(start, StartAnswer.UNKNOWN));
				at((300 + simulation.random.nextInt(8000)) * MILLI, () -> start(start));
				return;
			}
			at(hop(), () -> {
				StartAnswer answer = start(start);
				answer(ofLife, hop(), () -> answered(start, answer));
			});
		}

		private StartAnswer start(SchedulingEffect.StartRun order) {
			SchedulerSimulation simulation = SchedulerSimulation.this;
			Capacity demand = simulation.jobs.get(order.run().task().job()).steps().get(0).demand();
			long duration = (10 + simulation.random.nextInt(300)) * MILLI;
			EndKind end = (simulation.random.nextInt(40) == 0) ? EndKind.FAILED : EndKind.DONE;
			return simulation.workers.get(order.worker().id()).start(order, demand, duration, end, simulation.now);
		}

		private void answered(SchedulingEffect.StartRun start, StartAnswer answer) {
			this.scheduler.startAnswered(start.worker().id(), start.run(), answer, SchedulerSimulation.this.now);
		}

		private void carryOut(SchedulingEffect.StopRun stop) {
			SchedulerSimulation simulation = SchedulerSimulation.this;
			int ofLife = this.life;
			UpstreamId id = stop.worker().id();
			if (isCut(id) || simulation.random.nextInt(20) == 0) {
				answer(ofLife, 200 * MILLI, () -> this.scheduler.stopAnswered(id, stop.run(), false, simulation.now));
				return;
			}
			at(hop(), () -> {
				boolean confirmed = simulation.workers.get(id).stop(stop, simulation.now);
				answer(ofLife, hop(), () -> this.scheduler.stopAnswered(id, stop.run(), confirmed, simulation.now));
			});
		}

		private void carryOut(SchedulingEffect.PollWorker poll) {
			UpstreamId id = poll.worker().id();
			if (isCut(id)) {
				answer(this.life, poll.waitNanos() + 200 * MILLI, () -> failed(poll, PollFailure.NO_ANSWER));
				return;
			}
			long hop = hop();
			int ofLife = this.life;
			at(hop, () -> poll(poll, ofLife, SchedulerSimulation.this.now + poll.waitNanos()));
		}

		private void poll(SchedulingEffect.PollWorker poll, int ofLife, long waitUntil) {
			SchedulerSimulation simulation = SchedulerSimulation.this;
			FakeWorker worker = simulation.workers.get(poll.worker().id());
			if (poll.worker().bornMillis() != worker.info().bornMillis()) {
				answer(ofLife, hop(), () -> failed(poll, PollFailure.OTHER_LIFE));
				return;
			}
			WorkerReport report = worker.poll(poll, simulation.now);
			if (report == null) {
				answer(ofLife, hop(), () -> failed(poll, PollFailure.FENCED));
			}
			else if (!report.ended().isEmpty() || simulation.now >= waitUntil) {
				answer(ofLife, hop(), () -> this.scheduler.reported(worker.id(), poll.sequence(), poll.token(), report,
						simulation.now));
			}
			else {
				// The order itself was carried out; only its answer waits.
				SchedulingEffect.PollWorker waiting = new SchedulingEffect.PollWorker(poll.worker(), poll.sequence(),
						poll.token(), poll.ackNumber(), 0, poll.waitNanos());
				at(5 * MILLI, () -> poll(waiting, ofLife, waitUntil));
			}
		}

		private void failed(SchedulingEffect.PollWorker poll, PollFailure failure) {
			this.scheduler.pollFailed(poll.worker().id(), poll.sequence(), poll.token(), failure,
					SchedulerSimulation.this.now);
		}

		private void jobEnded(SchedulingEffect.JobEnded ended) {
			SchedulerSimulation simulation = SchedulerSimulation.this;
			if (simulation.owners.getOrDefault(ended.job(), -1) != this.number) {
				return;
			}
			simulation.owners.remove(ended.job());
			if (ended.outcome() == JobOutcome.MOVED) {
				at(hop(), () -> hand(ended.job(), true));
				return;
			}
			if (ended.outcome() == JobOutcome.ACCEPTED) {
				simulation.accepted.add(ended.job());
				if (!simulation.log.jobs.containsKey(ended.job())) {
					violation("LOST: job " + ended.job() + " was accepted and is not stored");
				}
			}
			if (ended.outcome() == JobOutcome.COMPLETED) {
				simulation.completed++;
				checkDone(ended.job());
			}
			if (ended.outcome() == JobOutcome.REFUSED && simulation.jobs.get(ended.job()).stored()
					&& simulation.resubmitted.contains(ended.job())) {
				at(500 * MILLI, () -> hand(ended.job(), true));
			}
			else if (ended.outcome() == JobOutcome.REFUSED) {
				simulation.refused++;
				if (simulation.startedJobs.contains(ended.job())) {
					violation("REFUSED: job " + ended.job() + " had started");
				}
			}
		}

	}

	/** What the platform's store holds; it forgets nothing here. */
	private final class StoredLog {

		private final Map<JobId, StoredJob> jobs = new HashMap<>();

		private long epoch;

		private boolean away;

		List<StoredJob> read() {
			return List.copyOf(this.jobs.values());
		}

		void keep(StoredChange change) {
			if (change instanceof StoredChange.Accepted acceptance) {
				this.jobs.putIfAbsent(change.job(),
						new StoredJob(change.job(), acceptance.spec(), acceptance.acceptedMillis(), JobProgress.NONE));
			}
			else if (change instanceof StoredChange.Progressed progressed) {
				StoredJob job = this.jobs.get(change.job());
				this.jobs.put(change.job(),
						new StoredJob(job.id(), job.spec(), job.acceptedMillis(), progressed.progress()));
				if (progressed.progress().state() == StoredState.COMPLETED) {
					checkDone(change.job());
				}
			}
		}

	}

	private record Event(long atNanos, long sequence, Runnable action) {

	}

}
