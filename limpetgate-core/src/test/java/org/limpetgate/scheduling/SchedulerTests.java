package org.limpetgate.scheduling;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Scheduler} that report single answers and check the resulting orders.
 */
class SchedulerTests extends SchedulerFixture {

	private static final HostId OTHER_HOST = HostId.of("10.0.0.2:1");

	/** How long an earlier scheduler may act on a job. */
	private static final long HELD_MILLIS = 600;

	// --- takeover of workers

	@Example
	void startsNoRunBeforeTheRunsOfAWorkerAreKnown() {
		this.scheduler.workersListed(List.of(worker("w1")), true, this.nowNanos);
		this.scheduler.activate(newToken(), this.nowNanos);
		submit("1", 1, false);
		tick();
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).isEmpty();
		report(polls().get(0), List.of(), List.of());
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(1);
	}

	@Example
	void takeoverDoesNotRenewTheLeasesOfEarlierOwners() {
		this.scheduler.workersListed(List.of(worker("w1")), true, this.nowNanos);
		this.scheduler.activate(newToken(), this.nowNanos);
		tick();
		assertThat(polls().get(0).leaseEndMillis()).isZero();
	}

	@Example
	void startsNoRunWhileOrphanRunsArePresent() {
		activate("w1");
		RunId orphan = run("f", 1);
		advance(10_001);
		report(polls().get(0), List.of(orphan), List.of());
		submit("1", 1, false);
		tick();
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).isEmpty();
		advance(260);
		assertThat(effectsOf(SchedulingEffect.StopRun.class)).extracting(SchedulingEffect.StopRun::run)
			.containsExactly(orphan);
	}

	@Example
	void adoptsTheRunsOfAResubmittedJob() {
		this.scheduler.workersListed(List.of(worker("w1")), true, this.nowNanos);
		this.scheduler.activate(newToken(), this.nowNanos);
		tick();
		report(polls().get(0), List.of(run("1", 3)), List.of());
		submit("1", 1, true);
		tick();
		report(polls().get(polls().size() - 1), List.of(), List.of(end(1, run("1", 3), EndKind.DONE)));
		assertThat(jobEnds()).extracting(SchedulingEffect.JobEnded::outcome).containsExactly(JobOutcome.COMPLETED);
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).isEmpty();
	}

	// --- jobs resubmitted from an earlier scheduler

	/**
	 * Guards against a second run of a task. Another scheduler has taken over a worker
	 * and its run is still present there, while this scheduler still considers the worker
	 * owned and idle.
	 */
	@Example
	void startsAResubmittedJobOnlyAfterEveryWorkerIsPolledAgain() {
		activate("w1", "w2");
		advance(6_001);
		this.effects.clear();
		submit("1", 1, true);
		tick();
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).isEmpty();
		assertThat(polls()).hasSize(2);
		report(polls().get(0), List.of(), List.of());
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).isEmpty();
		report(polls().get(1), List.of(run("1", 1)), List.of());
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).isEmpty();
	}

	/**
	 * Guards against a second run of a task while an earlier scheduler, whose connection
	 * was reset, still acts on the job and renews the lease of the first run on a worker
	 * that this scheduler cannot reach.
	 */
	@Example
	void jobThatAnEarlierSchedulerMayHoldWaitsUntilItsLeasesHaveExpired() {
		activate("w1", "w2");
		advance(6_001);
		this.effects.clear();
		submitHeld(HOST);
		tick();
		reportAllOf("w1");
		advance(HELD_MILLIS + 1_060);
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).isEmpty();
		advance(200);
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(1);
	}

	/**
	 * Guards against a second run of a task while an earlier scheduler still acts on the
	 * job and takes over a worker that this one has verified or does not know yet.
	 */
	@Example
	void jobThatAnEarlierSchedulerMayHoldWaitsAlsoIfAllWorkersAreVerified() {
		activate("w1", "w2");
		advance(6_001);
		this.effects.clear();
		submitHeld(HOST);
		tick();
		reportAllOf("w1");
		reportAllOf("w2");
		advance(HELD_MILLIS - 10);
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).isEmpty();
		this.effects.clear();
		advance(20);
		reportAllOf("w1");
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).isEmpty();
		reportAllOf("w2");
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(1);
	}

	/**
	 * Guards against a second run of a task that a caller sent again before the first
	 * host resubmitted it.
	 */
	@Example
	void laterSubmissionThatMayHaveRunDelaysAWaitingJob() {
		activate("w1");
		advance(6_001);
		submit("f", 2, false);
		submit("1", 1, false);
		tick();
		submitHeld(OTHER_HOST);
		SchedulingEffect.StartRun start = effectsOf(SchedulingEffect.StartRun.class).get(0);
		SchedulingEffect.StartRun second = effectsOf(SchedulingEffect.StartRun.class).get(1);
		tick();
		report(lastPoll(), List.of(), List.of(end(1, start.run(), EndKind.DONE), end(2, second.run(), EndKind.DONE)));
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(2);
		this.effects.clear();
		advance(HELD_MILLIS + 10);
		reportAllOf("w1");
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(1);
	}

	/**
	 * Guards against a second run of a task while a first one is present on a worker
	 * whose entry expired during an outage of the store. That run continues until its
	 * lease expires.
	 */
	@Example
	void recentlyUnlistedWorkerDelaysAResubmittedJob() {
		activate("w1", "w2");
		advance(6_001);
		this.scheduler.workersListed(List.of(worker("w1")), true, this.nowNanos);
		this.effects.clear();
		submit("1", 1, true);
		tick();
		reportAllOf("w1");
		advance(1_060);
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).isEmpty();
		advance(200);
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(1);
	}

	@Example
	void newSchedulerWaitsForTheLeasesOfUnknownWorkers() {
		activate("w1");
		submit("1", 1, true);
		tick();
		polls().forEach((poll) -> report(poll, List.of(), List.of()));
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).isEmpty();
		advance(1_300);
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(1);
	}

	// --- capacity

	@Example
	void doesNotExceedTheCapacityOfAWorker() {
		activate("w1");
		submit("1", 5, false);
		tick();
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(2);
	}

	@Example
	void runOccupiesCapacityUntilTheWorkerReportsItsEnd() {
		activate("w1");
		submit("1", 2, false);
		tick();
		this.scheduler.withdraw(HOST, JobId.of("1"), this.nowNanos);
		submit("2", 1, false);
		tick();
		List<SchedulingEffect.StopRun> stops = effectsOf(SchedulingEffect.StopRun.class);
		assertThat(stops).hasSize(2);
		stops.forEach((stop) -> this.scheduler.stopAnswered(UpstreamId.of("w1"), stop.run(), true, this.nowNanos));
		tick();
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(2);
		SchedulingEffect.PollWorker poll = lastPoll();
		report(poll, List.of(), List.of(end(1, stops.get(0).run(), EndKind.STOPPED)));
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(3);
	}

	// --- unanswered orders

	/**
	 * Guards against a second run caused by an order that is carried out late, and
	 * against a task that waits for a pending poll although its stop is confirmed.
	 */
	@Example
	void taskWithUnansweredStartIsStartedAgainOnlyAfterItsStopIsConfirmed() {
		activate("w1", "w2");
		submit("1", 1, false);
		tick();
		SchedulingEffect.StartRun start = effectsOf(SchedulingEffect.StartRun.class).get(0);
		this.scheduler.startAnswered(start, StartAnswer.UNKNOWN, this.nowNanos);
		tick();
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(1);
		this.nowNanos += MILLI;
		this.scheduler.stopAnswered(start.worker().id(), start.run(), true, this.nowNanos);
		tick();
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(1);
		this.nowNanos += MILLI;
		advance(1);
		assertThat(lastPoll().waitNanos()).isZero();
		report(lastPoll(), List.of(), List.of());
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(2);
	}

	@Example
	void workerThatConfirmsNoStopIsTakenOverWithAHigherToken() {
		activate("w1");
		submit("1", 1, false);
		tick();
		SchedulingEffect.StartRun start = effectsOf(SchedulingEffect.StartRun.class).get(0);
		this.scheduler.startAnswered(start, StartAnswer.UNKNOWN, this.nowNanos);
		for (int i = 0; i < 5; i++) {
			advance(125);
		}
		assertThat(lastPoll().token()).isGreaterThan(start.token());
		report(lastPoll(), List.of(), List.of());
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(2);
	}

	@Example
	void rejectedStartIsRepeatedWithAHigherAttempt() {
		activate("w1", "w2");
		submit("1", 1, false);
		tick();
		SchedulingEffect.StartRun first = effectsOf(SchedulingEffect.StartRun.class).get(0);
		this.scheduler.startAnswered(first, StartAnswer.OLD_ATTEMPT, this.nowNanos);
		tick();
		assertThat(effectsOf(SchedulingEffect.StartRun.class).get(1).run().attempt())
			.isGreaterThan(first.run().attempt());
	}

	// --- ends of runs

	@Example
	void jobIsCompletedWhenAllTasksAreDone() {
		activate("w1");
		submit("1", 2, false);
		tick();
		List<SchedulingEffect.StartRun> starts = effectsOf(SchedulingEffect.StartRun.class);
		report(lastPoll(), List.of(starts.get(1).run()), List.of(end(1, starts.get(0).run(), EndKind.DONE)));
		assertThat(jobEnds()).isEmpty();
		report(lastPoll(), List.of(), List.of(end(2, starts.get(1).run(), EndKind.DONE)));
		assertThat(jobEnds()).extracting(SchedulingEffect.JobEnded::outcome).containsExactly(JobOutcome.COMPLETED);
	}

	@Example
	void jobFailsWhenATaskReachesTheLimitOfFailedRuns() {
		activate("w1", "w2");
		submit("1", 1, false);
		for (int attempt = 1; attempt <= 2; attempt++) {
			tick();
			SchedulingEffect.StartRun start = effectsOf(SchedulingEffect.StartRun.class).get(attempt - 1);
			SchedulingEffect.PollWorker poll = polls().stream()
				.filter((sent) -> sent.worker().id().equals(start.worker().id()))
				.reduce((first, second) -> second)
				.orElseThrow();
			report(poll, List.of(), List.of(end(1, start.run(), EndKind.FAILED)));
		}
		assertThat(jobEnds()).extracting(SchedulingEffect.JobEnded::outcome).containsExactly(JobOutcome.FAILED);
	}

	@Example
	void newIncarnationOfAWorkerLosesItsRuns() {
		activate("w1");
		submit("1", 1, false);
		tick();
		this.incarnationMillis += 1000;
		this.scheduler.workersListed(List.of(worker("w1")), true, this.nowNanos);
		tick();
		report(lastPoll(), List.of(), List.of());
		tick();
		report(lastPoll(), List.of(), List.of());
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(2);
	}

	@Example
	void stepWaitsForItsPredecessors() {
		activate("w1");
		StepSpec first = step(1, List.of());
		StepSpec second = step(1, List.of(0));
		this.scheduler.submit(HOST, new JobSpec(JobId.of("1"), "q", "service", terms(), "", List.of(first, second)), 0,
				TimeUnit.SECONDS.toNanos(5), EarlierSubmission.NONE, this.nowNanos);
		tick();
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(1);
		report(lastPoll(), List.of(),
				List.of(end(1, effectsOf(SchedulingEffect.StartRun.class).get(0).run(), EndKind.DONE)));
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(2);
	}

	/** Guards against a run that is given up without a trace in the log. */
	@Example
	void runMissingInAReportIsReportedAsGivenUp() {
		activate("w1");
		submit("1", 1, false);
		tick();
		RunId run = confirmStart(lastStart());
		report(lastPoll(), List.of(), List.of());
		assertThat(effectsOf(SchedulingEffect.RunGivenUp.class)).singleElement().satisfies((givenUp) -> {
			assertThat(givenUp.run()).isEqualTo(run);
			assertThat(givenUp.worker().id().value()).isEqualTo("w1");
			assertThat(givenUp.reason()).isEqualTo(SchedulingEffect.RunGivenUp.Reason.NOT_IN_REPORT);
			assertThat(givenUp.sinceRenewalNanos()).isEqualTo(MILLI);
			assertThat(givenUp.fenced()).isFalse();
		});
	}

	/** Guards against a log line for each run that ends as it should. */
	@Example
	void listedEndIsNotReportedAsGivenUp() {
		activate("w1");
		submit("1", 1, false);
		tick();
		report(lastPoll(), List.of(), List.of(end(1, lastStart().run(), EndKind.DONE)));
		assertThat(effectsOf(SchedulingEffect.RunGivenUp.class)).isEmpty();
	}

	// --- overload

	/**
	 * Guards against accepting a burst of far more work than the worker can do in time.
	 * Most jobs of the burst must be refused immediately, with a retry delay, and refused
	 * jobs must never start.
	 */
	@Example
	void burstBeyondCapacityIsRefusedImmediatelyAndNeverStarted() {
		activate("w1");
		IntStream.range(0, 40).forEach((number) -> submit("j" + number, 2, false));
		tick();
		long refused = jobEnds().stream().filter((end) -> end.outcome() == JobOutcome.REFUSED).count();
		assertThat(refused).isGreaterThan(30);
		Set<String> started = new HashSet<>();
		effectsOf(SchedulingEffect.StartRun.class).forEach((start) -> started.add(start.run().task().job().value()));
		assertThat(jobEnds()).allSatisfy((end) -> assertThat(started).doesNotContain(end.job().value()))
			.allSatisfy((end) -> assertThat(end.retryAfterNanos()).isPositive());
	}

	// --- jobs that waited while no host scheduled

	/**
	 * Guards against refusing all jobs that arrived while a lost scheduler was replaced,
	 * although the workers are idle. A late answer is worth more than none.
	 */
	@Example
	void delayedJobStartsWhileThereIsCapacity() {
		activate("w1");
		submitDelayed("1", 2, 400);
		tick();
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(2);
		assertThat(jobEnds()).isEmpty();
	}

	/**
	 * Guards against a backlog of jobs that are late anyway and delay those that arrive
	 * after it.
	 */
	@Example
	void delayedJobsWaitBehindJobsThatCanBeOnTime() {
		activate("w1");
		submitDelayed("late", 2, 300);
		submit("timely", 2, false);
		tick();
		List<SchedulingEffect.StartRun> starts = effectsOf(SchedulingEffect.StartRun.class);
		assertThat(starts).extracting((start) -> start.run().task().job()).containsOnly(JobId.of("timely")).hasSize(2);
		assertThat(jobEnds()).isEmpty();
		advance(100);
		report(lastPoll(), List.of(),
				List.of(end(1, starts.get(0).run(), EndKind.DONE), end(2, starts.get(1).run(), EndKind.DONE)));
		assertThat(lastStart().run().task().job()).isEqualTo(JobId.of("late"));
	}

	/** Guards against work whose answer is of no use to the caller any longer. */
	@Example
	void jobThatCameTooLateToBeOfUseIsRefusedImmediately() {
		activate("w1");
		submitDelayed("1", 2, 600);
		tick();
		assertThat(jobEnds()).extracting(SchedulingEffect.JobEnded::outcome).containsExactly(JobOutcome.REFUSED);
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).isEmpty();
	}

	@Example
	void jobThatExceedsEveryWorkerIsRefused() {
		activate("w1");
		StepSpec tooLarge = new StepSpec(1, new Capacity(17_000, 64, 0), 100 * MILLI, List.of(), "", "", 0);
		this.scheduler.submit(HOST, new JobSpec(JobId.of("1"), "q", "service", terms(), "", List.of(tooLarge)), 0,
				TimeUnit.SECONDS.toNanos(5), EarlierSubmission.NONE, this.nowNanos);
		tick();
		assertThat(jobEnds()).extracting(SchedulingEffect.JobEnded::outcome).containsExactly(JobOutcome.REFUSED);
	}

	// --- hosts

	@Example
	void jobsOfALostHostAreStoppedUnlessAnotherHostWaitsForThem() {
		activate("w1");
		submit("1", 1, false);
		submit("2", 1, false);
		this.scheduler.submit(OTHER_HOST, job("2", 1), 0, TimeUnit.SECONDS.toNanos(5), EarlierSubmission.NONE,
				this.nowNanos);
		tick();
		this.scheduler.hostLost(HOST, this.nowNanos);
		tick();
		assertThat(effectsOf(SchedulingEffect.StopRun.class)).extracting((stop) -> stop.run().task().job())
			.containsExactly(JobId.of("1"));
	}

	@Example
	void openJobsEndAsMovedOnDeactivation() {
		activate("w1");
		submit("1", 1, false);
		tick();
		this.scheduler.deactivate();
		tick();
		assertThat(jobEnds()).extracting(SchedulingEffect.JobEnded::outcome).containsExactly(JobOutcome.MOVED);
	}

	// --- suspect workers

	@Example
	void suspectWorkerGetsNoTasksWhileOthersHaveCapacity() {
		activate("w1");
		for (int number = 1; number <= 2; number++) {
			submit("j" + number, 1, false);
			tick();
			SchedulingEffect.StartRun start = lastStart();
			report(lastPoll(), List.of(), List.of(end(number, start.run(), EndKind.FAILED)));
			this.scheduler.withdraw(HOST, start.run().task().job(), this.nowNanos);
		}
		this.scheduler.workersListed(List.of(worker("w1"), worker("w2")), true, this.nowNanos);
		tick();
		polls().stream()
			.filter((poll) -> poll.worker().id().value().equals("w2"))
			.toList()
			.forEach((poll) -> report(poll, List.of(), List.of()));
		submit("j3", 1, false);
		tick();
		assertThat(lastStart().worker().id().value()).isEqualTo("w2");
	}

	// --- helpers

	// Submits a job of one task that an earlier scheduler may hold.
	private void submitHeld(HostId origin) {
		this.scheduler.submit(origin, job("1", 1), 0, TimeUnit.SECONDS.toNanos(5),
				EarlierSubmission.heldFor(HELD_MILLIS * MILLI), this.nowNanos);
	}

	// Submits a job that has waited for a scheduler.
	private void submitDelayed(String id, int tasks, long waitedMillis) {
		this.scheduler.submit(HOST, job(id, tasks), waitedMillis * MILLI, TimeUnit.SECONDS.toNanos(5),
				EarlierSubmission.NONE, this.nowNanos);
	}

	// Answers all polls of an idle worker.
	private void reportAllOf(String worker) {
		polls().stream()
			.filter((poll) -> poll.worker().id().value().equals(worker))
			.toList()
			.forEach((poll) -> report(poll, List.of(), List.of()));
	}

	private List<SchedulingEffect.JobEnded> jobEnds() {
		return effectsOf(SchedulingEffect.JobEnded.class);
	}

}
