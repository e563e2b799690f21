package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.BeforeTry;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Scheduler} with tasks under which workers crash or fall silent. All
 * orders are answered at once, by workers that keep their runs until a test ends them.
 */
class CrashingTaskTests {

	private static final HostId HOST = HostId.of("10.0.0.1:1");

	private static final long MILLI = 1_000_000;

	/** The interval between ticks, in milliseconds. */
	private static final long STEP_MILLIS = 10;

	/** Longer than it takes until the runs on a silent worker are given up. */
	private static final long LOSS_MILLIS = 1500;

	/** Longer than the events of a few ticks take. */
	private static final long SHORT_MILLIS = 100;

	/** A safe bound on the time for which unresolved losses hold a task back. */
	private static final long HOLD_MILLIS = 7000;

	private final Map<String, Worker> workers = new TreeMap<>();

	private final List<SchedulingEffect.StartRun> starts = new ArrayList<>();

	private final List<JobOutcome> outcomes = new ArrayList<>();

	private JobProgress savedProgress;

	private Scheduler scheduler;

	private long nowNanos;

	@BeforeTry
	void reset() {
		this.workers.clear();
		this.starts.clear();
		this.outcomes.clear();
		this.savedProgress = JobProgress.NONE;
		this.nowNanos = TimeUnit.DAYS.toNanos(21_000);
	}

	// --- deadly tasks

	/** Guards against a task that crashes one worker after the other. */
	@Example
	void taskUnderWhichWorkersCrashIsGivenUp() {
		activate("w1", "w2", "w3");
		submit("1", step(1));
		crashWorkerOfLastStart();
		assertThat(state("1")).isEqualTo(JobState.RUNNING);
		crashWorkerOfLastStart();
		assertThat(state("1")).isEqualTo(JobState.FAILED);
		assertThat(this.starts).hasSize(2);
	}

	/** Guards against crashes that are noticed by the silence of the worker only. */
	@Example
	void silentWorkerThatComesBackAsAnotherIncarnationHasCrashed() {
		activate("w1", "w2", "w3");
		submit("1", step(1));
		for (int crash = 0; crash < 2; crash++) {
			Worker worker = workerOfLastStart();
			worker.silent = true;
			advance(LOSS_MILLIS);
			worker.restart();
			listWorkers();
			advance(SHORT_MILLIS);
		}
		assertThat(state("1")).isEqualTo(JobState.FAILED);
	}

	/**
	 * Guards against a crash that is not counted because the worker comes back at its
	 * address under another id.
	 */
	@Example
	void silentWorkerWhoseAddressBelongsToALaterOneHasCrashed() {
		activate("w1", "w2", "w3");
		submit("1", step(1));
		for (int crash = 0; crash < 2; crash++) {
			replaceByAnotherId(loseWorkerOfLastStart());
			advance(SHORT_MILLIS);
		}
		assertThat(state("1")).isEqualTo(JobState.FAILED);
		assertThat(this.starts).hasSize(2);
	}

	/** Guards against a best-effort job whose task crashes workers until its deadline. */
	@Example
	void bestEffortJobWithADeadlyTaskFails() {
		activate("w1", "w2", "w3");
		submit("1", step(1), false);
		crashWorkerOfLastStart();
		crashWorkerOfLastStart();
		assertThat(this.outcomes).containsExactly(JobOutcome.FAILED);
		assertThat(this.starts).hasSize(2);
	}

	/**
	 * Guards against a task that is restarted for ever and crashes a worker each time.
	 */
	@Example
	void perpetualTaskThatCrashesItsWorkersIsGivenUp() {
		activate("w1", "w2", "w3");
		submit("1", step(1, StepTrait.PERPETUAL));
		crashWorkerOfLastStart();
		crashWorkerOfLastStart();
		assertThat(state("1")).isEqualTo(JobState.FAILED);
	}

	/**
	 * Guards against a perpetual task that is given up for the few crashes of workers in
	 * its long life.
	 */
	@Example
	void crashesAfterALongRunOfAPerpetualTaskAreNotCounted() {
		activate("w1", "w2", "w3");
		submit("1", step(1, StepTrait.PERPETUAL));
		for (int crash = 0; crash < 4; crash++) {
			advance(40_000);
			crashWorkerOfLastStart();
		}
		assertThat(state("1")).isEqualTo(JobState.RUNNING);
		assertThat(this.starts).hasSize(5);
	}

	/** Guards against a worker that is kept for a single perpetual task for ever. */
	@Example
	void workerOfAPerpetualTaskIsSharedOnceTheTaskIsProven() {
		activate("w1");
		submit("1", step(1, StepTrait.PERPETUAL));
		crashWorkerOfLastStart();
		submit("2", step(1));
		assertThat(this.starts).hasSize(2);
		advance(31_000);
		assertThat(this.starts).hasSize(3);
	}

	// --- what is no crash

	/** Guards against a task that is given up because its workers are cut off. */
	@Example
	void silentWorkerThatComesBackUnchangedHasNotCrashed() {
		activate("w1", "w2", "w3");
		submit("1", step(1));
		for (int loss = 0; loss < 5; loss++) {
			Worker worker = workerOfLastStart();
			worker.silent = true;
			advance(LOSS_MILLIS);
			worker.running.clear();
			worker.silent = false;
			advance(SHORT_MILLIS);
		}
		assertThat(state("1")).isEqualTo(JobState.RUNNING);
		assertThat(this.starts).hasSize(6);
	}

	/** Guards against a planned shutdown that counts as a crash. */
	@Example
	void workerThatWasDrainingHasNotCrashed() {
		activate("w1", "w2", "w3");
		submit("1", step(1));
		for (int restart = 0; restart < 4; restart++) {
			workerOfLastStart().draining = true;
			listWorkers();
			workerOfLastStart().draining = false;
			crashWorkerOfLastStart();
		}
		assertThat(state("1")).isEqualTo(JobState.RUNNING);
		assertThat(this.starts).hasSize(5);
	}

	// --- waiting for the outcome of losses

	/**
	 * Guards against a deadly task that is started again and again before its first
	 * worker is back.
	 */
	@Example
	void secondLossHoldsTheTaskBackUntilTheWorkersAreHeardOfAgain() {
		activate("w1", "w2", "w3", "w4");
		submit("1", step(1));
		Worker first = loseWorkerOfLastStart();
		Worker second = loseWorkerOfLastStart();
		assertThat(this.starts).hasSize(2);
		first.running.clear();
		first.silent = false;
		second.running.clear();
		second.silent = false;
		advance(1000);
		assertThat(this.starts).hasSize(3);
	}

	/**
	 * Guards against a stored job that stands still since its workers never come back.
	 */
	@Example
	void lossesHoldTheTaskBackForABoundedTime() {
		activate("w1", "w2", "w3", "w4");
		submit("1", step(1));
		loseWorkerOfLastStart();
		loseWorkerOfLastStart();
		advance(HOLD_MILLIS);
		assertThat(this.starts).hasSize(3);
	}

	// --- a change of the scheduler

	/** Guards against a new scheduler that starts counting from nothing. */
	@Example
	void nextSchedulerKnowsTheCrashes() {
		activate("w1", "w2", "w3");
		submit("1", step(1));
		crashWorkerOfLastStart();
		replaceScheduler("1", step(1));
		crashWorkerOfLastStart();
		assertThat(state("1")).isEqualTo(JobState.FAILED);
	}

	/**
	 * Guards against a crash that no scheduler counts since its worker came back late.
	 */
	@Example
	void nextSchedulerResolvesTheLossesOfTheOneBefore() {
		activate("w1", "w2", "w3");
		submit("1", step(1));
		Worker lost = loseWorkerOfLastStart();
		lost.restart();
		replaceScheduler("1", step(1));
		crashWorkerOfLastStart();
		assertThat(state("1")).isEqualTo(JobState.FAILED);
	}

	// --- tasks under suspicion

	/** Guards against an innocent task that is lost twice beside the same deadly one. */
	@Example
	void suspectsDoNotShareAWorker() {
		activate("w1", "w2", "w3");
		submit("1", step(2));
		assertThat(this.starts.get(0).worker()).isEqualTo(this.starts.get(1).worker());
		crashWorkerOfLastStart();
		assertThat(this.starts).hasSize(4);
		assertThat(this.starts.get(2).worker()).isNotEqualTo(this.starts.get(3).worker());
	}

	/**
	 * Guards against tasks that stand still since more of them lost their workers than
	 * there are workers.
	 */
	@Example
	void suspectsShareWorkersIfThereAreMoreOfThemThanWorkers() {
		activate("w1", "w2");
		submit("1", step(4));
		crashWorkerOfLastStart();
		assertThat(this.starts).hasSize(6);
		advance(1500);
		assertThat(this.starts).hasSize(8);
	}

	/** Guards against a deadly task that takes other runs along when it crashes again. */
	@Example
	void taskUnderWhichAWorkerCrashedRunsAlone() {
		activate("w1", "w2", "w3");
		submit("1", step(1));
		crashWorkerOfLastStart();
		UpstreamId worker = this.starts.get(1).worker().id();
		submit("2", step(4));
		assertThat(this.starts).hasSize(6);
		assertThat(this.starts.subList(2, 6)).noneMatch((start) -> start.worker().id().equals(worker));
	}

	/** Guards against suspects that keep all workers from other tasks. */
	@Example
	void onlyAShareOfTheWorkersIsKeptForTasksThatRunAlone() {
		activate("w1", "w2");
		submit("1", step(2));
		crashWorkerOfLastStart();
		assertThat(this.starts).hasSize(4);
		submit("2", step(1));
		assertThat(this.starts).hasSize(5);
	}

	/** Guards against a task that must run alone and never finds an empty worker. */
	@Example
	void workerIsVacatedForATaskThatMustRunAlone() {
		activate("w1", "w2", "w3");
		submit("1", step(3));
		crashWorkerOfLastStart();
		submit("f", step(6));
		Worker shared = this.workers.values().stream().filter((worker) -> worker.running.size() > 1).findFirst().get();
		TaskName suspect = shared.running.get(0).task();
		shared.draining = true;
		crash(shared);
		assertThat(runsAlone(suspect)).isFalse();
		for (int round = 0; round < 40 && !runsAlone(suspect); round++) {
			submit("n" + round, step(1));
			finishFirstRun();
			advance(SHORT_MILLIS);
		}
		assertThat(runsAlone(suspect)).isTrue();
	}

	/**
	 * Guards against a gang that can never start again since its members are suspects
	 * that may not share a worker.
	 */
	@Example
	void suspectMembersOfAGangMayShareAWorker() {
		activate("w1");
		submit("1", step(2, StepTrait.GANG));
		crashWorkerOfLastStart();
		assertThat(this.starts).hasSize(4);
	}

	// --- helpers

	private void activate(String... ids) {
		for (String id : ids) {
			this.workers.put(id, new Worker(id));
		}
		this.scheduler = Scheduler.of(SchedulerSettings.of(7, 1000, 50, 2));
		activateScheduler(List.of());
	}

	private void activateScheduler(List<StoredJob> stored) {
		this.scheduler.setOtherSchedulerPossible(false);
		listWorkers();
		this.scheduler.activate(FencingToken.create(this.nowNanos, 7, FencingToken.NONE), this.nowNanos);
		advance(SHORT_MILLIS);
		this.scheduler.loadStoredJobs(new StoredSnapshot(stored, List.of()), this.nowNanos);
		advance(SHORT_MILLIS);
	}

	// Replaces the scheduler by one that reads the job from the store, and lets it start
	// the job's task anew.
	private void replaceScheduler(String id, StepSpec step) {
		this.scheduler = Scheduler.of(SchedulerSettings.of(8, 1000, 50, 2));
		this.workers.values().forEach((worker) -> worker.running.clear());
		activateScheduler(
				List.of(new StoredJob(JobId.of(id), spec(id, step, true), this.nowNanos / MILLI, this.savedProgress)));
		advance(HOLD_MILLIS);
	}

	private void listWorkers() {
		this.scheduler.workersListed(
				this.workers.values().stream().filter((worker) -> worker.listed).map(Worker::info).toList(), true,
				this.nowNanos);
	}

	private static StepSpec step(int count, StepTrait... traits) {
		return new StepSpec(count, new Capacity(4000, 64, 0), 100 * MILLI, List.of(), "", "", 0, 0, Set.of(traits));
	}

	private static JobSpec spec(String id, StepSpec step, boolean stored) {
		return new JobSpec(JobId.of(id), "q", "service", new QueueTerms(0, 2, 1.6, 60 * MILLI), "payload",
				List.of(step), stored);
	}

	private void submit(String id, StepSpec step) {
		submit(id, step, true);
	}

	private void submit(String id, StepSpec step, boolean stored) {
		this.scheduler.submit(HOST, spec(id, step, stored), 0, TimeUnit.SECONDS.toNanos(60), EarlierSubmission.NONE,
				this.nowNanos);
		advance(SHORT_MILLIS);
	}

	private JobState state(String id) {
		return this.scheduler.state(JobId.of(id)).orElseThrow();
	}

	private SchedulingEffect.StartRun lastStart() {
		return this.starts.get(this.starts.size() - 1);
	}

	private Worker workerOfLastStart() {
		return worker(lastStart().worker().id());
	}

	private Worker worker(UpstreamId id) {
		return this.workers.get(id.value());
	}

	private void crashWorkerOfLastStart() {
		crash(workerOfLastStart());
	}

	// Replaces a worker by its next incarnation before its lease has expired.
	private void crash(Worker worker) {
		worker.restart();
		listWorkers();
		advance(SHORT_MILLIS);
	}

	private void replaceByAnotherId(Worker worker) {
		worker.listed = false;
		Worker successor = new Worker(worker.id + "-next", worker.address, worker.incarnationMillis + 1000);
		this.workers.put(successor.id, successor);
		listWorkers();
	}

	private Worker loseWorkerOfLastStart() {
		Worker worker = workerOfLastStart();
		worker.silent = true;
		advance(LOSS_MILLIS);
		return worker;
	}

	private boolean runsAlone(TaskName task) {
		return this.workers.values()
			.stream()
			.anyMatch((worker) -> worker.running.size() == 1 && worker.running.get(0).task().equals(task));
	}

	// Ends the oldest run of the first busy worker.
	private void finishFirstRun() {
		this.workers.values()
			.stream()
			.filter((worker) -> !worker.running.isEmpty())
			.findFirst()
			.ifPresent((worker) -> worker.finish(worker.running.get(0)));
	}

	private void advance(long millis) {
		for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
			this.nowNanos += STEP_MILLIS * MILLI;
			List<SchedulingEffect> effects = new ArrayList<>();
			this.scheduler.tick(this.nowNanos, effects::add);
			effects.forEach(this::execute);
		}
	}

	private void execute(SchedulingEffect effect) {
		if (effect instanceof SchedulingEffect.StartRun start) {
			this.starts.add(start);
			this.scheduler.startAnswered(start, worker(start.worker().id()).start(start), this.nowNanos);
		}
		else if (effect instanceof SchedulingEffect.StopRun stop) {
			worker(stop.worker().id()).running.remove(stop.run());
			this.scheduler.stopAnswered(stop.worker().id(), stop.run(), true, this.nowNanos);
		}
		else if (effect instanceof SchedulingEffect.PollWorker poll) {
			poll(poll);
		}
		else if (effect instanceof SchedulingEffect.SaveChange change) {
			if (change.change() instanceof StoredChange.Progressed progressed) {
				this.savedProgress = progressed.progress();
			}
			this.scheduler.changesSaved(change.sequence(), this.nowNanos);
		}
		else if (effect instanceof SchedulingEffect.JobEnded ended && ended.outcome() != JobOutcome.ACCEPTED) {
			this.outcomes.add(ended.outcome());
		}
	}

	private void poll(SchedulingEffect.PollWorker poll) {
		Worker worker = worker(poll.worker().id());
		if (worker.silent) {
			this.scheduler.pollFailed(poll.worker().id(), poll.sequence(), poll.token(), PollFailure.NO_ANSWER,
					this.nowNanos);
			return;
		}
		worker.ended.removeIf((ended) -> ended.number() <= poll.ackNumber());
		this.scheduler.reported(poll.worker().id(), poll.sequence(), poll.token(), worker.report(this.nowNanos),
				this.nowNanos);
	}

	/** A worker that answers at once unless it is silent. */
	private static final class Worker {

		private final String id;

		private final List<RunId> running = new ArrayList<>();

		private final List<WorkerReport.Ended> ended = new ArrayList<>();

		private final Set<RunId> known = new HashSet<>();

		private final InetSocketAddress address;

		private long incarnationMillis;

		private long lastEndNumber;

		private int reports;

		private boolean silent;

		private boolean draining;

		private boolean listed = true;

		Worker(String id) {
			this(id, InetSocketAddress.createUnresolved(id, 1), 1000);
		}

		Worker(String id, InetSocketAddress address, long incarnationMillis) {
			this.id = id;
			this.address = address;
			this.incarnationMillis = incarnationMillis;
		}

		WorkerInfo info() {
			return new WorkerInfo(UpstreamId.of(this.id), this.incarnationMillis, "service", this.address,
					DataCentreId.of("dc"), FakeWorker.CAPACITY, Set.of("a"), this.draining);
		}

		StartAnswer start(SchedulingEffect.StartRun start) {
			if (this.silent) {
				return StartAnswer.UNKNOWN;
			}
			if (!this.known.add(start.run())) {
				return StartAnswer.OLD_ATTEMPT;
			}
			this.running.add(start.run());
			return StartAnswer.STARTED;
		}

		// Ends a run as done.
		void finish(RunId run) {
			this.running.remove(run);
			this.ended.add(new WorkerReport.Ended(++this.lastEndNumber, run, EndKind.DONE, ""));
		}

		// Begins the next incarnation, which knows nothing of this one.
		void restart() {
			this.incarnationMillis += 1000;
			this.running.clear();
			this.ended.clear();
			this.known.clear();
			this.lastEndNumber = 0;
			this.silent = false;
		}

		// The progress rises with each report, so that no run counts as hanging.
		WorkerReport report(long nowNanos) {
			this.reports++;
			return new WorkerReport(this.incarnationMillis, nowNanos / MILLI,
					this.running.stream().map((run) -> new WorkerReport.Running(run, this.reports, "")).toList(),
					this.ended);
		}

	}

}
