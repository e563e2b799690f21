package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.SchedulingEffect.StopRun;
import org.limpetgate.scheduling.SchedulingPolicy.QueueOrderKind;
import org.limpetgate.scheduling.SchedulingPolicy.RefusalKind;
import org.limpetgate.scheduling.SchedulingPolicy.WorkerSpeedKind;
import org.limpetgate.scheduling.WorkerReport.EndKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of preemption by a {@link Scheduler}: on one worker with single answers, and
 * under a burst of urgent jobs in virtual time.
 */
class PreemptionSystemTests {

	private static final HostId HOST = HostId.of("10.0.0.1:1");

	private static final long MILLI = 1_000_000;

	private static final UpstreamId WORKER = UpstreamId.of("w");

	/** Core seconds per second that allow to stop any run of these tests. */
	private static final double BUDGET = 20;

	/** The number of seeds of each burst. */
	private static final int BURSTS = Integer.getInteger("limpetgate.bursts", 24);

	private final List<SchedulingEffect> effects = new ArrayList<>();

	private final Set<RunId> present = new LinkedHashSet<>();

	private final List<WorkerReport.Ended> ended = new ArrayList<>();

	private Scheduler scheduler;

	private final Deque<SchedulingEffect.PollWorker> polls = new ArrayDeque<>();

	private long nowNanos = TimeUnit.DAYS.toNanos(21_000);

	/** Guards against a change of behaviour without the setting. */
	@Example
	void withoutABudgetNothingIsStopped() {
		startVictim(0);
		submit("urgent", 0, 60);
		assertThat(stops()).isEmpty();
	}

	/** Guards against a start before the stopped run has ended. */
	@Example
	void urgentJobGetsTheRoomOnceTheEndIsListed() {
		startVictim(BUDGET);
		submit("urgent", 0, 60);
		assertThat(stops()).extracting(StopRun::reason).containsExactly(StopRun.Reason.PREEMPTED);
		assertThat(effectsOf(SchedulingEffect.RunPreempted.class)).singleElement()
			.satisfies((preempted) -> assertThat(preempted.urgentJob()).isEqualTo(JobId.of("urgent")));
		this.scheduler.stopAnswered(WORKER, run("victim", 1), true, this.nowNanos);
		tick();
		assertThat(starts()).containsExactly(run("victim", 1));
		end(run("victim", 1), EndKind.STOPPED);
		assertThat(starts()).containsExactly(run("victim", 1), run("urgent", 1));
		end(run("urgent", 1), EndKind.DONE);
		assertThat(starts()).containsExactly(run("victim", 1), run("urgent", 1), run("victim", 2));
	}

	/** Guards against a job that is stopped again and again. */
	@Example
	void sameJobIsNotPreemptedTwice() {
		urgentJobGetsTheRoomOnceTheEndIsListed();
		submit("second", 0, 60);
		assertThat(stops()).hasSize(1);
	}

	/** Guards against a run of the same or a more urgent queue that is stopped. */
	@Example
	void jobOfTheSamePriorityIsNotPreempted() {
		activate(BUDGET);
		submit("first", 0, 900);
		advance(100);
		submit("second", 0, 60);
		assertThat(stops()).isEmpty();
	}

	/** Guards against a second run beside one whose stop was not answered. */
	@Example
	void runWhoseStopIsNotAnsweredCountsAsPresent() {
		startVictim(BUDGET);
		submit("urgent", 0, 60);
		this.scheduler.stopAnswered(WORKER, run("victim", 1), false, this.nowNanos);
		advance(130);
		assertThat(stops()).hasSizeGreaterThan(1);
		assertThat(starts()).containsExactly(run("victim", 1));
		report();
		assertThat(starts()).containsExactly(run("victim", 1));
	}

	/** Guards against a worker that stays reserved after a stop that failed. */
	@Example
	void workerIsKeptForTheUrgentJobForALimitedTimeOnly() {
		startVictim(BUDGET);
		submit("urgent", 0, 60);
		submit("small", 1, 60, 4_000, 1_000);
		assertThat(starts()).containsExactly(run("victim", 1));
		advance(TimeUnit.NANOSECONDS.toMillis(PreemptionSystem.HOLD_NANOS) + 20);
		report();
		assertThat(starts()).containsExactly(run("victim", 1), run("small", 1));
	}

	/** Guards against a task that runs again although its run succeeded meanwhile. */
	@Example
	void victimThatEndsByItselfIsDone() {
		startVictim(BUDGET);
		submit("urgent", 0, 60);
		end(run("victim", 1), EndKind.DONE);
		assertThat(starts()).containsExactly(run("victim", 1), run("urgent", 1));
		assertThat(effectsOf(SchedulingEffect.JobEnded.class)).singleElement()
			.satisfies((job) -> assertThat(job.outcome()).isEqualTo(JobOutcome.COMPLETED));
	}

	/** Guards against stops beyond the budget, which refills with time only. */
	@Example
	void nothingIsStoppedWhileTheBudgetIsExhausted() {
		startVictim(0.1);
		submit("urgent", 0, 60);
		assertThat(stops()).isEmpty();
	}

	/**
	 * Guards against a budget that does not help urgent jobs on a fleet that is full of
	 * long ones with time to spare, or harms those more than it helps.
	 */
	@Example
	void urgentBurstOnAFleetFullOfLongJobs() {
		List<PlacementExperiment.JobClass> classes = List.of(new PlacementExperiment.JobClass("short", 0, 2, 8, 51, 60),
				new PlacementExperiment.JobClass("long", 2, 30, 4, 760, 8_000));
		int onTimeWithout = 0;
		int onTimeWith = 0;
		double scoreWithout = 0;
		double scoreWith = 0;
		for (int seed = 1; seed <= BURSTS; seed++) {
			Map<String, PlacementExperiment.Result> without = burst(classes, seed, 1, 0);
			Map<String, PlacementExperiment.Result> with = burst(classes, seed, 1, BUDGET);
			onTimeWithout += without.get("short").onTime;
			onTimeWith += with.get("short").onTime;
			scoreWithout += PlacementExperiment.score(without);
			scoreWith += PlacementExperiment.score(with);
		}
		System.out.printf("%d bursts: short jobs on time %d without and %d with a budget, score %.3f and %.3f%n",
				BURSTS, onTimeWithout, onTimeWith, scoreWithout / BURSTS, scoreWith / BURSTS);
		assertThat(onTimeWith).isGreaterThan(onTimeWithout);
		assertThat(scoreWith).isGreaterThan(scoreWithout);
	}

	/**
	 * Guards against stops beyond the budget, and jobs that are stopped twice, in a burst
	 * on a fleet whose other queues have no time to spare.
	 */
	@Example
	void urgentBurstOnAFullFleet() {
		List<PlacementExperiment.JobClass> classes = List.of(
				new PlacementExperiment.JobClass("short", 0, 21.2, 8, 51, 60),
				new PlacementExperiment.JobClass("long", 2, 3.85, 4, 760, 60),
				new PlacementExperiment.JobClass("narrow", 1, 61.6, 2, 170, 60));
		for (int seed = 1; seed <= BURSTS / 8; seed++) {
			burst(classes, seed, 2, 0);
			burst(classes, seed, 2, BUDGET);
		}
	}

	private static Map<String, PlacementExperiment.Result> burst(List<PlacementExperiment.JobClass> classes, int seed,
			double load, double budget) {
		int seconds = 10;
		PlacementExperiment experiment = new PlacementExperiment(classes, seed, load, seconds, 1,
				(partition) -> Scheduler.of(settings(budget)))
			.withBurst(new PlacementExperiment.Burst("short", 3, 3, 8, true));
		Map<String, PlacementExperiment.Result> results = experiment.run();
		double lost = experiment.preemptions()
			.stream()
			.mapToDouble(SchedulingEffect.RunPreempted::lostCoreSeconds)
			.sum();
		System.out.printf("burst seed %d budget %.0f: %d stopped, %.1f core seconds lost, score %.3f %s%n", seed,
				budget, experiment.preemptions().size(), lost, PlacementExperiment.score(results), results);
		assertThat(lost).isLessThanOrEqualTo(budget * (seconds + 15));
		assertThat(experiment.preemptions()).extracting((preempted) -> preempted.run().task().job())
			.doesNotHaveDuplicates();
		return results;
	}

	private static SchedulerSettings settings(double budget) {
		return SchedulerSettings.of(7, 1000, 50, 2)
			.withPolicy(new SchedulingPolicy(QueueOrderKind.DEMAND, RefusalKind.LATEST_START, WorkerSpeedKind.AVERAGED,
					budget));
	}

	private void activate(double budget) {
		this.scheduler = Scheduler.of(settings(budget));
		this.scheduler
			.workersListed(List.of(new WorkerInfo(WORKER, 1, "service", InetSocketAddress.createUnresolved("w", 1),
					DataCentreId.of("dc"), FakeWorker.CAPACITY, Set.of(), false)), true, this.nowNanos);
		this.scheduler.activate(FencingToken.create(this.nowNanos, 7, FencingToken.NONE), this.nowNanos);
		tick();
		report();
	}

	// Starts a run of 900 ms that leaves no room for the urgent jobs, and lets the budget
	// accumulate.
	private void startVictim(double budget) {
		activate(budget);
		submit("first", 1, 20, 4_000, 1_000);
		end(run("first", 1), EndKind.DONE);
		this.effects.clear();
		advance(900);
		submit("victim", 2, 900);
		advance(100);
	}

	private void submit(String id, int priority, long millis) {
		submit(id, priority, millis, 10_000, 0);
	}

	private void submit(String id, int priority, long millis, int cpuMillis, long allowanceMillis) {
		StepSpec step = new StepSpec(1, new Capacity(cpuMillis, 64, 0), millis * MILLI, List.of(), "", "", 0);
		QueueTerms terms = new QueueTerms(priority, 2, 1.6, (60 + allowanceMillis) * MILLI);
		this.scheduler.submit(HOST, new JobSpec(JobId.of(id), "q" + id, "service", terms, "", List.of(step)), 0,
				TimeUnit.SECONDS.toNanos(6), EarlierSubmission.NONE, this.nowNanos);
		tick();
	}

	private void tick() {
		List<SchedulingEffect.StartRun> started = new ArrayList<>();
		this.scheduler.tick(this.nowNanos, (effect) -> {
			this.effects.add(effect);
			if (effect instanceof SchedulingEffect.PollWorker sent) {
				this.polls.add(sent);
			}
			else if (effect instanceof SchedulingEffect.StartRun start) {
				this.present.add(start.run());
				started.add(start);
			}
		});
		started.forEach((start) -> this.scheduler.startAnswered(start, StartAnswer.STARTED, this.nowNanos));
	}

	private void advance(long millis) {
		for (long step = 0; step < millis; step += 10) {
			this.nowNanos += 10 * MILLI;
			tick();
		}
	}

	private void end(RunId run, EndKind kind) {
		this.present.remove(run);
		this.ended.add(new WorkerReport.Ended(this.ended.size() + 1, run, kind, ""));
		report();
	}

	private void report() {
		WorkerReport report = new WorkerReport(1, this.nowNanos / MILLI,
				this.present.stream().map((run) -> new WorkerReport.Running(run, 50, "")).toList(), this.ended);
		SchedulingEffect.PollWorker poll = this.polls.remove();
		this.scheduler.reported(WORKER, poll.sequence(), poll.token(), report, this.nowNanos);
		tick();
	}

	private List<StopRun> stops() {
		return effectsOf(StopRun.class);
	}

	private List<RunId> starts() {
		return effectsOf(SchedulingEffect.StartRun.class).stream().map(SchedulingEffect.StartRun::run).toList();
	}

	private <T extends SchedulingEffect> List<T> effectsOf(Class<T> type) {
		return this.effects.stream().filter(type::isInstance).map(type::cast).toList();
	}

	private static RunId run(String job, int attempt) {
		return new RunId(new TaskName(JobId.of(job), 0, 0, 0), attempt);
	}

}
