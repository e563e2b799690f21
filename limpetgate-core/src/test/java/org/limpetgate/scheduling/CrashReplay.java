package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

/**
 * Replays in virtual time what the users described: stored jobs of which some have a task
 * that crashes every worker that starts it. A crashed worker is back some seconds later
 * as another incarnation. Other workers are cut off for a while and come back unchanged.
 * Some workers crash before they have answered the order to start the task. The scheduler
 * is lost in the middle, and the next one reads the jobs from the store.
 * <p>
 * Checks at every start that the task is not started three times more after three workers
 * have crashed under it. Not thread-safe.
 */
final class CrashReplay {

	private static final long MILLI = 1_000_000;

	private static final long START = TimeUnit.DAYS.toNanos(21_000);

	private static final int WORKERS = 16;

	private static final int JOBS = 200;

	private static final int TASKS = 3;

	private static final int JOB_INTERVAL_MILLIS = 100;

	/** One of so many jobs has a deadly task. */
	private static final int JOBS_PER_DEADLY_TASK = 33;

	private static final int SCHEDULER_LOSS_MILLIS = 8000;

	private static final int ELECTION_MILLIS = 700;

	private static final int CUT_MILLIS = 3000;

	private static final int CUT_INTERVAL_MILLIS = 4000;

	private static final int ORDER_TIMEOUT_MILLIS = 200;

	/** One of so many deadly tasks crashes its worker before the start is answered. */
	private static final int CRASHES_PER_LOST_ANSWER = 3;

	/** The crashes after which a task may start only so many times. */
	private static final int CRASH_LIMIT = 3;

	private static final int MAX_STARTS_AFTER_LIMIT = 2;

	private final int downMillis;

	private final Random random;

	private final VirtualTime time = new VirtualTime(START);

	private final Map<UpstreamId, FakeWorker> workers = new TreeMap<>();

	private final RunChecks checks = new RunChecks(this.workers.values(),
			(job, text) -> addViolation("job " + job + " " + text));

	/** Workers that crashed and are not back yet. */
	private final Set<UpstreamId> down = new HashSet<>();

	/** Workers that the scheduler cannot reach. */
	private final Set<UpstreamId> cut = new HashSet<>();

	private final StoredContents store = new StoredContents(new TreeMap<>());

	private final Map<TaskName, Integer> crashes = new HashMap<>();

	private final Map<TaskName, Integer> startsAfterLimit = new HashMap<>();

	private final List<String> violations = new ArrayList<>();

	private int workerCrashes;

	private Host host = new Host(1);

	CrashReplay(long seed, int downMillis) {
		this.random = new Random(seed);
		this.downMillis = downMillis;
		for (int number = 0; number < WORKERS; number++) {
			FakeWorker worker = new FakeWorker("w" + number, START - 100_000 * MILLI, 1, new Observer());
			this.workers.put(worker.id(), worker);
		}
	}

	// Plays the jobs and waits for a time after the last one.
	CrashReplay run(long settleMillis) {
		this.host.activate();
		schedule(0, this::publishWorkers);
		schedule(0, this::tickPeriodically);
		for (int number = 0; number < JOBS; number++) {
			JobSpec job = job(number);
			schedule(500 + number * JOB_INTERVAL_MILLIS, () -> submit(job));
		}
		for (int at = CUT_INTERVAL_MILLIS; at < JOBS * JOB_INTERVAL_MILLIS; at += CUT_INTERVAL_MILLIS) {
			schedule(at, this::cutWorker);
		}
		schedule(SCHEDULER_LOSS_MILLIS, this::loseScheduler);
		long end = START + (JOBS * JOB_INTERVAL_MILLIS + settleMillis) * MILLI;
		while (this.time.nowNanos() < end) {
			this.time.runNextEvent();
		}
		checkOutcomes();
		return this;
	}

	List<String> violations() {
		return this.violations;
	}

	int workerCrashes() {
		return this.workerCrashes;
	}

	private static JobSpec job(int number) {
		StepSpec step = new StepSpec(TASKS, new Capacity(4000, 64, 0), 400 * MILLI, List.of(), "", "", 0);
		return new JobSpec(JobId.of("j" + number), "q", "service", new QueueTerms(0, 3, 1.6, 60 * MILLI), "payload",
				List.of(step), true);
	}

	private static boolean isDeadly(JobId job) {
		return Integer.parseInt(job.value().substring(1)) % JOBS_PER_DEADLY_TASK == JOBS_PER_DEADLY_TASK / 2;
	}

	private static boolean isDeadly(TaskName task) {
		return isDeadly(task.job()) && task.index() == 0;
	}

	private void schedule(long delayMillis, Runnable action) {
		this.time.schedule(delayMillis * MILLI, action);
	}

	private void publishWorkers() {
		this.host.scheduler.workersListed(listedWorkers(), true, this.time.nowNanos());
		schedule(400, this::publishWorkers);
	}

	private List<WorkerInfo> listedWorkers() {
		return this.workers.values()
			.stream()
			.filter((worker) -> !this.down.contains(worker.id()))
			.map(FakeWorker::info)
			.toList();
	}

	private void tickPeriodically() {
		this.host.tick();
		schedule(10, this::tickPeriodically);
	}

	// Submits a job until it is stored.
	private void submit(JobSpec job) {
		if (this.store.job(job.id()) != null) {
			return;
		}
		this.host.scheduler.submit(HostId.of("10.0.0.9:1"), job, 0, TimeUnit.SECONDS.toNanos(5), EarlierSubmission.NONE,
				this.time.nowNanos());
		this.host.tick();
		schedule(250, () -> submit(job));
	}

	private void cutWorker() {
		UpstreamId worker = UpstreamId.of("w" + this.random.nextInt(WORKERS));
		this.cut.add(worker);
		schedule(CUT_MILLIS, () -> this.cut.remove(worker));
	}

	private void loseScheduler() {
		this.host.lost = true;
		this.host = new Host(2);
		schedule(ELECTION_MILLIS, this.host::activate);
	}

	private void crash(FakeWorker worker) {
		if (!this.down.add(worker.id())) {
			return;
		}
		this.workerCrashes++;
		worker.report(this.time.nowNanos())
			.running()
			.forEach((running) -> this.crashes.merge(running.run().task(), 1, Integer::sum));
		worker.restart(this.time.nowNanos());
		schedule(this.downMillis, () -> {
			worker.restart(this.time.nowNanos());
			this.down.remove(worker.id());
		});
	}

	private void addViolation(String text) {
		this.violations.add("at " + (this.time.nowNanos() - START) / MILLI + " ms: " + text);
	}

	private void checkOutcomes() {
		for (int number = 0; number < JOBS; number++) {
			StoredJob job = this.store.job(JobId.of("j" + number));
			StoredState state = (job != null) ? job.progress().state() : null;
			StoredState expected = isDeadly(JobId.of("j" + number)) ? StoredState.FAILED : StoredState.COMPLETED;
			if (state != expected) {
				addViolation("job j" + number + " is " + state + " instead of " + expected);
			}
		}
	}

	private final class Observer implements FakeWorker.RunObserver {

		@Override
		public void started(FakeWorker worker, RunId run, long nowNanos) {
			CrashReplay replay = CrashReplay.this;
			replay.checks.started(worker, run, nowNanos);
			TaskName task = run.task();
			if (!isDeadly(task)) {
				return;
			}
			if (replay.crashes.getOrDefault(task, 0) >= CRASH_LIMIT
					&& replay.startsAfterLimit.merge(task, 1, Integer::sum) > MAX_STARTS_AFTER_LIMIT) {
				addViolation("BUDGET: " + run + " started after three workers have crashed under it");
			}
			if (replay.random.nextInt(CRASHES_PER_LOST_ANSWER) == 0) {
				crash(worker);
				return;
			}
			schedule(5 + replay.random.nextInt(100), () -> crash(worker));
		}

		@Override
		public void ended(FakeWorker worker, RunId run, EndKind kind) {
			CrashReplay.this.checks.ended(worker, run, kind);
		}

		@Override
		public void acknowledged(FakeWorker worker, RunId run) {
		}

	}

	/** A host with a scheduler, until it is lost. */
	private final class Host {

		private final int number;

		private final Scheduler scheduler;

		private boolean lost;

		Host(int number) {
			this.number = number;
			this.scheduler = Scheduler.of(SchedulerSettings.of(number, 1000, 50, 2));
			this.scheduler.setOtherSchedulerPossible(false);
		}

		void activate() {
			CrashReplay replay = CrashReplay.this;
			this.scheduler.workersListed(listedWorkers(), true, replay.time.nowNanos());
			this.scheduler.activate(FencingToken.create(replay.time.nowNanos(), this.number, FencingToken.NONE),
					replay.time.nowNanos());
			receive(20, () -> this.scheduler.loadStoredJobs(replay.store.read(), replay.time.nowNanos()));
		}

		void tick() {
			if (!this.lost) {
				this.scheduler.tick(CrashReplay.this.time.nowNanos(), this::execute);
			}
		}

		private void receive(long delayMillis, Runnable action) {
			schedule(delayMillis, () -> {
				if (!this.lost) {
					action.run();
					tick();
				}
			});
		}

		private boolean isUnreachable(UpstreamId worker) {
			return CrashReplay.this.down.contains(worker) || CrashReplay.this.cut.contains(worker);
		}

		private FakeWorker worker(WorkerInfo info) {
			return CrashReplay.this.workers.get(info.id());
		}

		private void execute(SchedulingEffect effect) {
			if (effect instanceof SchedulingEffect.StartRun start) {
				schedule(1, () -> start(start));
			}
			else if (effect instanceof SchedulingEffect.StopRun stop) {
				schedule(1, () -> stop(stop));
			}
			else if (effect instanceof SchedulingEffect.PollWorker poll) {
				schedule(1, () -> poll(poll, worker(poll.worker()).info().incarnationMillis(),
						CrashReplay.this.time.nowNanos() + poll.waitNanos()));
			}
			else if (effect instanceof SchedulingEffect.SaveChange change) {
				schedule(5, () -> save(change));
			}
		}

		private void save(SchedulingEffect.SaveChange change) {
			if (this.lost) {
				return;
			}
			CrashReplay.this.store.apply(change.change());
			this.scheduler.changesSaved(change.sequence(), CrashReplay.this.time.nowNanos());
			tick();
		}

		private void start(SchedulingEffect.StartRun start) {
			long now = CrashReplay.this.time.nowNanos();
			if (isUnreachable(start.worker().id())) {
				receive(ORDER_TIMEOUT_MILLIS, () -> startAnswered(start, StartAnswer.UNKNOWN));
				return;
			}
			long duration = (200 + CrashReplay.this.random.nextInt(400)) * MILLI;
			StartAnswer answer = worker(start.worker()).start(start, new Capacity(4000, 64, 0), duration, EndKind.DONE,
					now);
			if (isUnreachable(start.worker().id())) {
				receive(ORDER_TIMEOUT_MILLIS, () -> startAnswered(start, StartAnswer.UNKNOWN));
				return;
			}
			receive(1, () -> startAnswered(start, answer));
		}

		private void startAnswered(SchedulingEffect.StartRun start, StartAnswer answer) {
			this.scheduler.startAnswered(start, answer, CrashReplay.this.time.nowNanos());
		}

		private void stop(SchedulingEffect.StopRun stop) {
			boolean reachable = !isUnreachable(stop.worker().id());
			boolean stopped = reachable && worker(stop.worker()).stop(stop, CrashReplay.this.time.nowNanos());
			receive(reachable ? 1 : ORDER_TIMEOUT_MILLIS, () -> this.scheduler.stopAnswered(stop.worker().id(),
					stop.run(), stopped, CrashReplay.this.time.nowNanos()));
		}

		// The connection of a waiting poll ends with the incarnation that received it.
		private void poll(SchedulingEffect.PollWorker poll, long incarnationMillis, long waitUntilNanos) {
			long now = CrashReplay.this.time.nowNanos();
			FakeWorker worker = worker(poll.worker());
			if (isUnreachable(worker.id())) {
				receive(ORDER_TIMEOUT_MILLIS, () -> pollFailed(poll, PollFailure.NO_ANSWER));
				return;
			}
			if (incarnationMillis != worker.info().incarnationMillis()) {
				receive(1, () -> pollFailed(poll, PollFailure.NO_ANSWER));
				return;
			}
			WorkerReport report = worker.poll(poll, now);
			if (report == null) {
				receive(1, () -> pollFailed(poll, PollFailure.FENCED));
			}
			else if (!report.ended().isEmpty() || now >= waitUntilNanos) {
				receive(1, () -> this.scheduler.reported(worker.id(), poll.sequence(), poll.token(), report,
						CrashReplay.this.time.nowNanos()));
			}
			else {
				// The poll was carried out already; only its answer is delayed.
				SchedulingEffect.PollWorker continuation = new SchedulingEffect.PollWorker(poll.worker(),
						poll.sequence(), poll.token(), 0, 0, poll.waitNanos());
				schedule(5, () -> poll(continuation, incarnationMillis, waitUntilNanos));
			}
		}

		private void pollFailed(SchedulingEffect.PollWorker poll, PollFailure failure) {
			this.scheduler.pollFailed(poll.worker().id(), poll.sequence(), poll.token(), failure,
					CrashReplay.this.time.nowNanos());
		}

	}

}
