package org.limpetgate.scheduling;

import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Scheduler#pollFailed} and {@link Scheduler#reported} with leases that
 * another owner of a worker may renew, and after the wall clock was set back.
 */
class SchedulerLeaseTests extends SchedulerFixture {

	/** The interval between ticks, in milliseconds. */
	private static final long STEP_MILLIS = 20;

	// --- leases that another owner may renew

	/**
	 * Guards against a second run of a task. Another scheduler has taken over the worker,
	 * may have adopted the run and may renew its lease.
	 */
	@Example
	void runOnAFencedWorkerIsNotStartedElsewhereBeforeTheWorkerReports() {
		activate("w1", "w2");
		this.scheduler.setOtherSchedulerPossible(false);
		SchedulingEffect.StartRun start = startOneRun();
		failPoll(lastPollOf(start), PollFailure.FENCED);
		advanceInSteps(1_980);
		assertThat(effectsOf(SchedulingEffect.RunGivenUp.class)).isEmpty();
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(1);
		advanceInSteps(40);
		report(lastPollOf(start), List.of(start.run()), List.of());
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(1);
		report(lastPollOf(start), List.of(), List.of(end(1, start.run(), EndKind.STOPPED)));
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(2);
	}

	/**
	 * Guards against a second run of a task whose worker is not reachable any more after
	 * another scheduler has taken it over, and against a task that waits for it forever.
	 */
	@Example
	void runOnAFencedWorkerThatBecomesUnreachableIsGivenUpAfterTheLongestGuard() {
		activate("w1", "w2");
		this.scheduler.setOtherSchedulerPossible(false);
		SchedulingEffect.StartRun start = startOneRun();
		failPoll(lastPollOf(start), PollFailure.FENCED);
		leaveUnreachable(start.worker().id(), 9_900);
		assertThat(effectsOf(SchedulingEffect.RunGivenUp.class)).isEmpty();
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(1);
		leaveUnreachable(start.worker().id(), 200);
		assertThat(effectsOf(SchedulingEffect.RunGivenUp.class)).extracting(SchedulingEffect.RunGivenUp::reason)
			.containsExactly(SchedulingEffect.RunGivenUp.Reason.LEASE_EXPIRED);
	}

	/**
	 * Guards against a second run of a task whose worker another scheduler can reach. The
	 * host that submitted the job may have submitted it there too, which this scheduler
	 * notices only after the heartbeats of that host are missing.
	 */
	@Example
	void runOnAnUnreachableWorkerIsNotStartedElsewhereWhileAnotherSchedulerMayHaveAdoptedIt() {
		activate("w1", "w2");
		this.scheduler.setOtherSchedulerPossible(true);
		SchedulingEffect.StartRun start = startOneRun();
		failPoll(lastPollOf(start), PollFailure.NO_ANSWER);
		advance(2_400);
		assertThat(effectsOf(SchedulingEffect.RunGivenUp.class)).isEmpty();
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(1);
	}

	/** Guards against a task that waits long for a crashed worker. */
	@Example
	void runOnAnUnreachableWorkerIsGivenUpWhenAnyOwnerMustHaveNoticed() {
		activate("w1", "w2");
		this.scheduler.setOtherSchedulerPossible(true);
		SchedulingEffect.StartRun start = startOneRun();
		failPoll(lastPollOf(start), PollFailure.NO_ANSWER);
		advance(2_430);
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(2);
	}

	/** Guards against a task that waits for a crashed worker beyond its lease. */
	@Example
	void runOnAnUnreachableWorkerIsGivenUpAfterItsLeaseIfNoOtherSchedulerIsPossible() {
		activate("w1", "w2");
		this.scheduler.setOtherSchedulerPossible(false);
		SchedulingEffect.StartRun start = startOneRun();
		failPoll(lastPollOf(start), PollFailure.NO_ANSWER);
		advance(1_060);
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(1);
		failPoll(lastPollOf(start), PollFailure.NO_ANSWER);
		advance(1_071);
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(2);
	}

	/**
	 * Guards against an orphan run that outlives the lease of its owner, on which other
	 * hosts rely, because a run of another job on the same worker was adopted.
	 */
	@Example
	void leaseIsNotRenewedWhileOrphanRunsArePresent() {
		activateWith("w1", run("1", 3), run("f", 1));
		submit("1", 1, true);
		advanceInSteps(40);
		report(lastPoll(), List.of(run("1", 3), run("f", 1)), List.of());
		advanceInSteps(40);
		assertThat(polls()).hasSizeGreaterThan(2).allMatch((poll) -> poll.leaseEndMillis() == 0);
		report(lastPoll(), List.of(run("1", 3)), List.of(end(1, run("f", 1), EndKind.STOPPED)));
		assertThat(lastPoll().leaseEndMillis()).isPositive();
	}

	/**
	 * Guards against an adopted run that counts as lost at the first failed poll, while
	 * the lease of its earlier owner lasts.
	 */
	@Example
	void adoptedRunIsNotGivenUpBeforeTheLeaseOfItsEarlierOwnerEnds() {
		activateWith("w1", run("1", 3), run("f", 1));
		this.scheduler.setOtherSchedulerPossible(false);
		submit("1", 1, true);
		tick();
		failPoll(lastPoll(), PollFailure.NO_ANSWER);
		leaveUnreachable(UpstreamId.of("w1"), 1_040);
		assertThat(effectsOf(SchedulingEffect.RunGivenUp.class)).isEmpty();
	}

	/**
	 * Guards against a second run of a task whose runs on two workers have the same
	 * attempt number, since two schedulers started it: the end of one is not the end of
	 * the other.
	 */
	@Example
	void endOfARunDoesNotEndTheRunWithTheSameIdOnAnotherWorker() {
		activate("w1", "w2");
		SchedulingEffect.StartRun start = startOneRun();
		this.scheduler.submit(HOST, job("2", 1), 0, TimeUnit.SECONDS.toNanos(5), EarlierSubmission.heldFor(0),
				this.nowNanos);
		tick();
		SchedulingEffect.PollWorker otherPoll = polls().stream()
			.filter((poll) -> !poll.worker().id().equals(start.worker().id()))
			.findFirst()
			.orElseThrow();
		report(otherPoll, List.of(start.run()), List.of());
		advanceInSteps(40);
		report(lastPollOf(otherPoll.worker().id()), List.of(), List.of(end(1, start.run(), EndKind.STOPPED)));
		advanceInSteps(40);
		report(lastPollOf(otherPoll.worker().id()), List.of(), List.of());
		assertThat(starts("1")).hasSize(1);
		report(lastPollOf(start), List.of(), List.of(end(1, start.run(), EndKind.STOPPED)));
		assertThat(starts("1")).hasSize(2);
	}

	/**
	 * Guards against a run that counts as ended because an older poll, which the worker
	 * answered before the run started, is overtaken by the answer to a later one.
	 */
	@Example
	void overtakenReportDoesNotEndARunThatALaterOneShows() {
		activate("w1", "w2");
		submit("1", 1, false);
		tick();
		SchedulingEffect.StartRun start = lastStart();
		SchedulingEffect.PollWorker earlier = lastPollOf(start);
		this.nowNanos += MILLI;
		submit("2", 1, true);
		tick();
		SchedulingEffect.PollWorker later = lastPollOf(start);
		assertThat(later.sequence()).isGreaterThan(earlier.sequence());
		report(later, List.of(start.run()), List.of());
		report(earlier, List.of(), List.of());
		assertThat(starts("1")).hasSize(1);
		assertThat(effectsOf(SchedulingEffect.RunGivenUp.class)).isEmpty();
	}

	/**
	 * Guards against a second run of a task because an answer that still shows its ended
	 * run arrives after the answer that lists the end.
	 */
	@Example
	void overtakenReportThatShowsAnEndedRunStartsNoOther() {
		activate("w1", "w2");
		SchedulingEffect.StartRun start = startOneRun();
		SchedulingEffect.PollWorker earlier = lastPollOf(start);
		submit("2", 1, true);
		tick();
		report(lastPollOf(start), List.of(), List.of(end(1, start.run(), EndKind.FAILED)));
		assertThat(starts("1")).hasSize(2);
		RunId second = starts("1").get(1).run();
		report(earlier, List.of(start.run()), List.of());
		advanceInSteps(100);
		assertThat(starts("1")).hasSize(2);
		assertThat(effectsOf(SchedulingEffect.StopRun.class)).extracting(SchedulingEffect.StopRun::run)
			.doesNotContain(second);
	}

	/**
	 * Guards against a task that never starts again, since a run of an earlier owner on
	 * an unreachable worker counts as present for ever.
	 */
	@Example
	void orphanRunOnAnUnreachableWorkerIsForgottenAfterItsLease() {
		activateWith("w1", run("f", 1));
		this.scheduler.setOtherSchedulerPossible(false);
		failPoll(lastPoll(), PollFailure.NO_ANSWER);
		leaveUnreachable(UpstreamId.of("w1"), 3_000);
		assertThat(effectsOf(SchedulingEffect.RunGivenUp.class)).extracting(SchedulingEffect.RunGivenUp::run)
			.containsExactly(run("f", 1));
	}

	/**
	 * Guards against a task that waits for a crashed worker because renewals without an
	 * answer postpone the end of its lease.
	 */
	@Example
	void renewalsWithoutAnAnswerDoNotPostponeTheEndOfTheLeaseForEver() {
		activate("w1", "w2");
		this.scheduler.setOtherSchedulerPossible(false);
		SchedulingEffect.StartRun start = startOneRun();
		leaveUnreachable(start.worker().id(), 3_000);
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(2);
	}

	// --- wall clocks that were set back

	/**
	 * Guards against workers without an owner after all hosts have restarted, since the
	 * wall clock was set back meanwhile and new tokens are lower than earlier ones.
	 */
	@Example
	void workerIsTakenOverWithinALeaseAfterTheClockWasSetBack() {
		FencingToken earlier = FencingToken.create(this.nowNanos + 2_400 * MILLI, 3, FencingToken.NONE);
		this.scheduler.setOtherSchedulerPossible(false);
		this.scheduler.workersListed(List.of(worker("w1")), true, this.nowNanos);
		this.scheduler.activate(newToken(), this.nowNanos);
		tick();
		long leaseEnd = this.nowNanos + 1_000 * MILLI;
		while (lastPoll().token().compareTo(earlier) < 0 && this.nowNanos < leaseEnd) {
			failPoll(lastPoll(), PollFailure.FENCED);
			advance(STEP_MILLIS);
		}
		assertThat(lastPoll().token()).isGreaterThan(earlier);
	}

	/**
	 * Guards against two schedulers that take a worker from each other in quick
	 * succession.
	 */
	@Example
	void fencedTakeoverIsNotRepeatedSoonWhileAnotherSchedulerIsPossible() {
		this.scheduler.setOtherSchedulerPossible(true);
		this.scheduler.workersListed(List.of(worker("w1")), true, this.nowNanos);
		this.scheduler.activate(newToken(), this.nowNanos);
		tick();
		failPoll(lastPoll(), PollFailure.FENCED);
		advanceInSteps(1_980);
		assertThat(polls()).hasSize(1);
	}

	// --- helpers

	private void activateWith(String worker, RunId... runs) {
		this.scheduler.workersListed(List.of(worker(worker)), true, this.nowNanos);
		this.scheduler.activate(newToken(), this.nowNanos);
		tick();
		report(lastPoll(), List.of(runs), List.of());
	}

	// Starts the only task of a job and confirms the start.
	private SchedulingEffect.StartRun startOneRun() {
		submit("1", 1, false);
		tick();
		SchedulingEffect.StartRun start = lastStart();
		this.nowNanos += MILLI;
		confirmStart(start);
		tick();
		return start;
	}

	private List<SchedulingEffect.StartRun> starts(String job) {
		return effectsOf(SchedulingEffect.StartRun.class).stream()
			.filter((start) -> start.run().task().job().value().equals(job))
			.toList();
	}

	private SchedulingEffect.PollWorker lastPollOf(SchedulingEffect.StartRun start) {
		return lastPollOf(start.worker().id());
	}

	private SchedulingEffect.PollWorker lastPollOf(UpstreamId worker) {
		return polls().stream()
			.filter((poll) -> poll.worker().id().equals(worker))
			.reduce((first, second) -> second)
			.orElseThrow();
	}

	private void failPoll(SchedulingEffect.PollWorker poll, PollFailure failure) {
		this.scheduler.pollFailed(poll.worker().id(), poll.sequence(), poll.token(), failure, this.nowNanos);
	}

	// Lets time pass while no poll of a worker is answered; each fails after a time-out.
	private void leaveUnreachable(UpstreamId worker, long millis) {
		long timeoutMillis = 200;
		for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
			advance(STEP_MILLIS);
			if (passed % timeoutMillis == 0) {
				failPoll(lastPollOf(worker), PollFailure.NO_ANSWER);
			}
		}
	}

	private void advanceInSteps(long millis) {
		for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
			advance(STEP_MILLIS);
		}
	}

}
