package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.BeforeTry;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.SchedulingEffect.StopRun;
import org.limpetgate.scheduling.SchedulingPolicy.WorkerSpeedKind;
import org.limpetgate.scheduling.WorkerReport.EndKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the moves of runs from slow and leaving workers, with single reports.
 */
class RunMoveTests {

	private static final long MILLI = 1_000_000;

	private static final HostId HOST = HostId.of("10.0.0.1:1");

	private static final long TASK_MILLIS = 900;

	private final List<SchedulingEffect> effects = new ArrayList<>();

	private final Map<UpstreamId, Long> endNumbers = new HashMap<>();

	private Scheduler scheduler;

	private long nowNanos;

	private long incarnationNanos;

	@BeforeTry
	void reset() {
		this.effects.clear();
		this.endNumbers.clear();
		this.nowNanos = TimeUnit.DAYS.toNanos(21_000);
		this.incarnationNanos = this.nowNanos - 60_000 * MILLI;
		this.scheduler = newScheduler(WorkerSpeedKind.TRACKED);
	}

	// --- slow workers

	/** Guards against a second run of a task whose first one is still being stopped. */
	@Example
	void movedTaskStartsAgainOnlyAfterTheEndOfItsRunIsListed() {
		activate("w1", "w2");
		SchedulingEffect.StartRun start = startOne(Set.of(), false);
		advance(300);
		report(start.worker(), start.run(), 1);
		assertThat(stops(StopRun.Reason.SLOW_WORKER)).containsExactly(start.run());
		assertThat(of(SchedulingEffect.RunMoved.class)).hasSize(1);
		this.scheduler.stopAnswered(start.worker().id(), start.run(), true, this.nowNanos);
		advance(30);
		assertThat(of(SchedulingEffect.StartRun.class)).hasSize(1);
		reportEnd(start, EndKind.STOPPED);
		List<SchedulingEffect.StartRun> starts = of(SchedulingEffect.StartRun.class);
		assertThat(starts).hasSize(2);
		assertThat(starts.get(1).worker().id()).isNotEqualTo(start.worker().id());
		assertThat(starts.get(1).run().task()).isEqualTo(start.run().task());
	}

	/** Guards against a deployment that has not enabled the moves. */
	@Example
	void averagedSpeedsMoveNothing() {
		this.scheduler = newScheduler(WorkerSpeedKind.AVERAGED);
		activate("w1", "w2");
		SchedulingEffect.StartRun start = startOne(Set.of(), false);
		advance(300);
		report(start.worker(), start.run(), 1);
		assertThat(of(StopRun.class)).isEmpty();
	}

	/** Guards against a stop although no other worker has room. */
	@Example
	void runStaysIfNoOtherWorkerHasRoom() {
		activate("w1");
		SchedulingEffect.StartRun start = startOne(Set.of(), false);
		advance(300);
		report(start.worker(), start.run(), 1);
		assertThat(of(SchedulingEffect.WorkerSpeedChanged.class)).hasSize(1);
		assertThat(of(StopRun.class)).isEmpty();
	}

	/**
	 * Guards against a probe that is stopped because its worker was slow before.
	 */
	@Example
	void runThatHasJustStartedOnASlowWorkerIsNotMoved() {
		activate("w1", "w2");
		SchedulingEffect.StartRun start = startOne(Set.of(), false);
		advance(300);
		report(start.worker(), start.run(), 1);
		this.scheduler.withdraw(HOST, JobId.of("j"), this.nowNanos);
		tick();
		reportEnd(start, EndKind.STOPPED);
		this.effects.removeIf((effect) -> !(effect instanceof SchedulingEffect.PollWorker));
		advance(500);
		submit("k", 1, Set.of(), false, false, 100);
		assertThat(of(SchedulingEffect.StartRun.class)).extracting((probe) -> probe.worker().id())
			.containsExactly(start.worker().id());
		of(SchedulingEffect.StartRun.class).forEach(this::confirm);
		advance(20);
		report(start.worker(), of(SchedulingEffect.StartRun.class).get(0).run(), 0);
		assertThat(of(StopRun.class)).isEmpty();
	}

	/** Guards against moves of tasks whose rules forbid them. */
	@Example
	void gangsPerpetualTasksAndStoredJobsStay() {
		for (boolean stored : new boolean[] { false, true }) {
			for (StepTrait trait : new StepTrait[] { StepTrait.GANG, StepTrait.PERPETUAL, StepTrait.CHECKPOINTED }) {
				if (trait == StepTrait.CHECKPOINTED && !stored) {
					continue;
				}
				reset();
				activate("w1", "w2");
				SchedulingEffect.StartRun start = startOne(Set.of(trait), stored);
				advance(300);
				report(start.worker(), start.run(), 1);
				assertThat(stops(StopRun.Reason.SLOW_WORKER)).as("%s, stored %s", trait, stored).isEmpty();
			}
		}
	}

	/** Guards against a second run while the stop may not have arrived. */
	@Example
	void unansweredStopKeepsTheTaskWaiting() {
		activate("w1", "w2");
		SchedulingEffect.StartRun start = startOne(Set.of(), false);
		advance(300);
		report(start.worker(), start.run(), 1);
		for (int number = 0; number < 10; number++) {
			this.scheduler.stopAnswered(start.worker().id(), start.run(), false, this.nowNanos);
			advance(125);
		}
		assertThat(of(SchedulingEffect.StartRun.class)).hasSize(1);
		assertThat(lastPoll(start.worker().id()).token()).isGreaterThan(start.token());
		report(start.worker(), null, 0);
		assertThat(of(SchedulingEffect.StartRun.class)).hasSize(2);
	}

	/** Guards against a move because of a report that was delayed on its way. */
	@Example
	void lateReportMovesNothing() {
		activate("w1", "w2");
		SchedulingEffect.StartRun start = startOne(Set.of(), false);
		advance(1_000);
		report(start.worker(), start.run(), 1, this.nowNanos - 700 * MILLI);
		assertThat(of(StopRun.class)).isEmpty();
	}

	/**
	 * Guards against a report that arrives late and whose progress is compared with the
	 * time of its arrival.
	 */
	@Example
	void delayOfAReportIsNoSignOfSlowness() {
		activate("w1", "w2");
		SchedulingEffect.StartRun start = startOne(Set.of(), false);
		advance(1_000);
		report(start.worker(), start.run(), 11, this.nowNanos - 900 * MILLI);
		assertThat(of(SchedulingEffect.WorkerSpeedChanged.class)).isEmpty();
	}

	/** Guards against moves by a new scheduler that does not know when runs started. */
	@Example
	void adoptedRunIsJudgedByItsProgressSinceTheFirstReport() {
		activate("w1", "w2");
		SchedulingEffect.StartRun start = startOne(Set.of(), false);
		advance(100);
		this.scheduler = newScheduler(WorkerSpeedKind.TRACKED);
		this.effects.clear();
		this.scheduler.workersListed(List.of(info("w1"), info("w2")), true, this.nowNanos);
		this.scheduler.activate(FencingToken.create(this.nowNanos, 8, start.token()), this.nowNanos);
		tick();
		report(start.worker(), start.run(), 1);
		submit("j", 1, Set.of(), false, true);
		advance(10);
		report(lastPoll(start.worker().id()).worker(), start.run(), 1);
		assertThat(of(SchedulingEffect.WorkerSpeedChanged.class)).isEmpty();
		this.effects.removeIf((effect) -> !(effect instanceof SchedulingEffect.PollWorker));
		answerIdle(start.worker().id().value().equals("w1") ? "w2" : "w1");
		advance(300);
		report(start.worker(), start.run(), 2);
		assertThat(of(SchedulingEffect.WorkerSpeedChanged.class)).hasSize(1);
		assertThat(of(SchedulingEffect.StartRun.class)).isEmpty();
	}

	/** Guards against a worker that reports no progress and counts as slow. */
	@Example
	void workerThatReportsNoProgressIsNotSlow() {
		activate("w1", "w2");
		SchedulingEffect.StartRun start = startOne(Set.of(), false);
		for (int number = 0; number < 4; number++) {
			advance(220);
			report(start.worker(), start.run(), 0);
		}
		advance(40);
		reportEnd(start, EndKind.DONE);
		assertThat(of(SchedulingEffect.WorkerSpeedChanged.class)).isEmpty();
		assertThat(of(StopRun.class)).isEmpty();
	}

	/** Guards against a long job that marks all workers on which its tasks run. */
	@Example
	void tasksOfALongJobMarkNoWorker() {
		activate("w1", "w2");
		submit("j", 4, Set.of(), false, false);
		List<SchedulingEffect.StartRun> starts = of(SchedulingEffect.StartRun.class);
		assertThat(starts).hasSize(4);
		starts.forEach(this::confirm);
		for (int percent = 5; percent < 60; percent += 5) {
			advance(200);
			for (String worker : List.of("w1", "w2")) {
				reportAll(worker, starts, percent);
			}
		}
		assertThat(of(SchedulingEffect.WorkerSpeedChanged.class)).isEmpty();
		assertThat(of(StopRun.class)).isEmpty();
	}

	/**
	 * Guards against a slow worker that is excused because its estimates may be wrong.
	 */
	@Example
	void otherTasksOfTheJobShowThatTheWorkerIsSlow() {
		activate("w1", "w2");
		submit("j", 4, Set.of(), false, false);
		List<SchedulingEffect.StartRun> starts = of(SchedulingEffect.StartRun.class);
		starts.forEach(this::confirm);
		advance(250);
		reportAll("w1", starts, 28);
		reportAll("w2", starts, 2);
		assertThat(of(SchedulingEffect.WorkerSpeedChanged.class)).extracting((change) -> change.worker().value())
			.containsExactly("w2");
	}

	// --- workers under notice

	/** Guards against work that is thrown away when a worker leaves as announced. */
	@Example
	void runThatDoesNotEndBeforeItsWorkerLeavesIsMovedEarly() {
		activate("w1", "w2");
		SchedulingEffect.StartRun start = startOne(Set.of(), false);
		advance(100);
		report(start.worker(), start.run(), 11);
		announce(start.worker().id(), 400);
		advance(20);
		assertThat(stops(StopRun.Reason.WORKER_LEAVING)).containsExactly(start.run());
	}

	/** Guards against stops of runs that end in the time that is left. */
	@Example
	void runThatEndsBeforeItsWorkerLeavesStays() {
		activate("w1", "w2");
		SchedulingEffect.StartRun start = startOne(Set.of(), false);
		advance(200);
		report(start.worker(), start.run(), 60);
		announce(start.worker().id(), 400);
		advance(20);
		assertThat(of(StopRun.class)).isEmpty();
	}

	/** Guards against an entry without the time left that stops all runs. */
	@Example
	void withoutATimeLeftRunsStay() {
		activate("w1", "w2");
		SchedulingEffect.StartRun start = startOne(Set.of(), false);
		advance(100);
		report(start.worker(), start.run(), 11);
		announce(start.worker().id(), WorkerInfo.UNKNOWN);
		advance(20);
		assertThat(of(StopRun.class)).isEmpty();
	}

	// --- helpers

	private static Scheduler newScheduler(WorkerSpeedKind speeds) {
		SchedulingPolicy fallback = SchedulingPolicy.DEFAULT;
		return Scheduler.of(SchedulerSettings.of(7, 1000, 50, 2)
			.withPolicy(new SchedulingPolicy(fallback.queueOrder(), fallback.refusal(), speeds, 0)));
	}

	private WorkerInfo info(String id) {
		return new FakeWorker(id, this.incarnationNanos, 1, null).info();
	}

	private void activate(String... workers) {
		this.scheduler.workersListed(List.of(workers).stream().map(this::info).toList(), true, this.nowNanos);
		this.scheduler.activate(FencingToken.create(this.nowNanos, 7, FencingToken.NONE), this.nowNanos);
		this.scheduler.loadStoredJobs(new StoredSnapshot(List.of(), List.of()), this.nowNanos);
		tick();
		for (String worker : workers) {
			answerIdle(worker);
			answerIdle(worker);
		}
	}

	private void answerIdle(String worker) {
		report(info(worker), null, 0);
	}

	private void announce(UpstreamId leaving, long drainMillis) {
		List<WorkerInfo> infos = new ArrayList<>();
		for (String id : List.of("w1", "w2")) {
			WorkerInfo info = info(id);
			boolean leaves = info.id().equals(leaving);
			infos.add(new WorkerInfo(info.id(), info.incarnationMillis(), info.service(), info.address(),
					info.dataCentre(), info.capacity(), info.labels(), leaves, 0,
					leaves ? drainMillis : WorkerInfo.UNKNOWN));
		}
		this.scheduler.workersListed(infos, true, this.nowNanos);
		tick();
	}

	private void submit(String id, int tasks, Set<StepTrait> traits, boolean stored, boolean resubmitted) {
		submit(id, tasks, traits, stored, resubmitted, TASK_MILLIS);
	}

	private void submit(String id, int tasks, Set<StepTrait> traits, boolean stored, boolean resubmitted,
			long taskMillis) {
		StepSpec step = new StepSpec(tasks, new Capacity(6_800, 64, 0), taskMillis * MILLI, List.of(), "", "", 0, 0,
				traits);
		JobSpec spec = new JobSpec(JobId.of(id), "q", "service", new QueueTerms(1, 2, 1.6, 60 * MILLI), "",
				List.of(step), stored);
		this.scheduler.submit(HOST, spec, 0, TimeUnit.SECONDS.toNanos(6),
				resubmitted ? EarlierSubmission.heldFor(0) : EarlierSubmission.NONE, this.nowNanos);
		tick();
		of(SchedulingEffect.SaveChange.class)
			.forEach((change) -> this.scheduler.changesSaved(change.sequence(), this.nowNanos));
		tick();
	}

	private SchedulingEffect.StartRun startOne(Set<StepTrait> traits, boolean stored) {
		submit("j", 1, traits, stored, false);
		SchedulingEffect.StartRun start = of(SchedulingEffect.StartRun.class).get(0);
		confirm(start);
		return start;
	}

	private void confirm(SchedulingEffect.StartRun start) {
		this.scheduler.startAnswered(start, StartAnswer.STARTED, this.nowNanos);
		tick();
	}

	private void report(WorkerInfo worker, RunId run, int percent) {
		report(worker, run, percent, this.nowNanos);
	}

	private void report(WorkerInfo worker, RunId run, int percent, long createdNanos) {
		report(worker.id(), (run != null) ? List.of(new WorkerReport.Running(run, percent, "")) : List.of(), List.of(),
				createdNanos);
	}

	private void reportAll(String worker, List<SchedulingEffect.StartRun> starts, int percent) {
		UpstreamId id = UpstreamId.of(worker);
		report(id,
				starts.stream()
					.filter((start) -> start.worker().id().equals(id))
					.map((start) -> new WorkerReport.Running(start.run(), percent, ""))
					.toList(),
				List.of(), this.nowNanos);
	}

	private void reportEnd(SchedulingEffect.StartRun start, EndKind kind) {
		long number = this.endNumbers.merge(start.worker().id(), 1L, Long::sum);
		report(start.worker().id(), List.of(), List.of(new WorkerReport.Ended(number, start.run(), kind, "")),
				this.nowNanos);
	}

	// Answers the latest poll of a worker.
	private void report(UpstreamId worker, List<WorkerReport.Running> running, List<WorkerReport.Ended> ended,
			long createdNanos) {
		SchedulingEffect.PollWorker poll = lastPoll(worker);
		this.scheduler.reported(worker, poll.sequence(), poll.token(),
				new WorkerReport(poll.worker().incarnationMillis(), (createdNanos - this.incarnationNanos) / MILLI,
						running, ended),
				this.nowNanos);
		tick();
	}

	private SchedulingEffect.PollWorker lastPoll(UpstreamId worker) {
		return of(SchedulingEffect.PollWorker.class).stream()
			.filter((poll) -> poll.worker().id().equals(worker))
			.reduce((first, second) -> second)
			.orElseThrow();
	}

	private List<RunId> stops(StopRun.Reason reason) {
		return of(StopRun.class).stream().filter((stop) -> stop.reason() == reason).map(StopRun::run).toList();
	}

	private void advance(long millis) {
		this.nowNanos += millis * MILLI;
		tick();
	}

	private void tick() {
		this.scheduler.tick(this.nowNanos, this.effects::add);
	}

	private <T extends SchedulingEffect> List<T> of(Class<T> type) {
		return this.effects.stream().filter(type::isInstance).map(type::cast).toList();
	}

}
