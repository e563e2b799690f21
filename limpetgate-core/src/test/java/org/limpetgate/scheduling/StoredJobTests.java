package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of how {@link Scheduler} accepts, saves, restores and ends stored jobs.
 */
class StoredJobTests extends StoredJobFixture {

	// --- stored jobs

	/** Guards against starting tasks of a job whose acceptance may fail to be saved. */
	@Example
	void startsOnlyAfterTheAcceptanceIsSaved() {
		activate("w1");
		submit("1", step(1));
		assertThat(starts()).isEmpty();
		save();
		assertThat(starts()).hasSize(1);
	}

	/** Guards against a worker that forgets an end before it is saved. */
	@Example
	void endsAreAcknowledgedOnlyAfterTheyAreSaved() {
		activate("w1");
		submit("1", step(2));
		save();
		reportEnd(0, EndKind.DONE);
		advance(20);
		assertThat(lastPoll().ackNumber()).isZero();
		save();
		RunId done = starts().get(0).run();
		report(lastPoll(), List.of(starts().get(1).run()), List.of(new WorkerReport.Ended(1, done, EndKind.DONE, "")));
		advance(20);
		assertThat(lastPoll().ackNumber()).isEqualTo(1);
	}

	/**
	 * Guards against a task of a cancelled job that is done, forgotten by its worker and
	 * started again by a scheduler that finds the job open.
	 */
	@Example
	void endsOfACancelledJobAreAcknowledgedOnlyAfterItsEndIsSaved() {
		activate("w1");
		submit("1", step(2));
		save();
		this.scheduler.cancel(JobId.of("1"), this.nowNanos);
		tick();
		reportEnd(0, EndKind.DONE);
		advance(20);
		assertThat(lastPoll().ackNumber()).isZero();
		save();
		RunId done = starts().get(0).run();
		report(lastPoll(), List.of(starts().get(1).run()), List.of(new WorkerReport.Ended(1, done, EndKind.DONE, "")));
		advance(20);
		assertThat(lastPoll().ackNumber()).isEqualTo(1);
	}

	/** Guards against a job that is shown as completed and then runs again. */
	@Example
	void jobIsShownAsCompletedOnlyAfterItsEndIsSaved() {
		activate("w1");
		submit("1", step(1));
		save();
		reportEnd(0, EndKind.DONE);
		assertThat(this.scheduler.state(JobId.of("1"))).contains(JobState.RUNNING);
		save();
		assertThat(this.scheduler.state(JobId.of("1"))).contains(JobState.COMPLETED);
	}

	/**
	 * Guards against a stored job that is stopped when the host that submitted it is
	 * lost.
	 */
	@Example
	void storedJobContinuesAfterItsHostIsLost() {
		activate("w1");
		submit("1", step(1));
		save();
		this.scheduler.hostLost(HOST, this.nowNanos);
		tick();
		assertThat(effectsOf(SchedulingEffect.StopRun.class)).isEmpty();
	}

	/**
	 * Guards against a second run of a task whose completion an earlier scheduler saved.
	 */
	@Example
	void tasksInSavedProgressAreNotRepeated() {
		activate("w1");
		StoredChange.Progressed saved = firstTaskDone();
		Scheduler next = Scheduler.of(SchedulerSettings.of(8, 1000, 50, 2));
		List<SchedulingEffect> nextEffects = new ArrayList<>();
		next.workersListed(List.of(worker("w1")), true, this.nowNanos);
		next.activate(FencingToken.create(this.nowNanos, 8, FencingToken.NONE), this.nowNanos);
		next.loadStoredJobs(new StoredSnapshot(
				List.of(new StoredJob(JobId.of("1"), spec("1", step(2)), this.nowNanos / MILLI, saved.progress())),
				List.of()), this.nowNanos);
		next.tick(this.nowNanos, nextEffects::add);
		SchedulingEffect.PollWorker poll = (SchedulingEffect.PollWorker) nextEffects.get(nextEffects.size() - 1);
		next.reported(poll.worker().id(), poll.sequence(), poll.token(),
				new WorkerReport(1, 1000, List.of(), List.of()), this.nowNanos);
		this.nowNanos += 4000 * MILLI;
		next.tick(this.nowNanos, nextEffects::add);
		List<RunId> started = nextEffects.stream()
			.filter(SchedulingEffect.StartRun.class::isInstance)
			.map((effect) -> ((SchedulingEffect.StartRun) effect).run())
			.toList();
		assertThat(started).extracting((run) -> run.task().index()).containsExactly(1);
	}

	/**
	 * Guards against a job that fails because a failed run counts twice: the scheduler
	 * that saved it was lost before it acknowledged the end, which the worker lists
	 * again.
	 */
	@Example
	void failureInSavedProgressIsNotCountedAgain() {
		activate("w1");
		submit("1", step(1));
		save();
		RunId failed = starts().get(0).run();
		reportEnd(0, EndKind.FAILED);
		restoreAtNextScheduler("1", step(1));
		report(lastPoll(), List.of(), List.of(new WorkerReport.Ended(1, failed, EndKind.FAILED, "")));
		assertThat(changes()).isEmpty();
		assertThat(this.scheduler.state(JobId.of("1"))).isNotEqualTo(Optional.of(JobState.FAILED));
	}

	/** Guards against the same for a gang, whose failures count by attempt. */
	@Example
	void failureOfAGangInSavedProgressIsNotCountedAgain() {
		activate("w1");
		submit("1", gangStep(2));
		save();
		RunId failed = starts().get(1).run();
		reportEnd(1, EndKind.FAILED);
		restoreAtNextScheduler("1", gangStep(2));
		report(lastPoll(), List.of(), List.of(new WorkerReport.Ended(1, failed, EndKind.FAILED, "")));
		assertThat(changes()).isEmpty();
		assertThat(this.scheduler.state(JobId.of("1"))).isNotEqualTo(Optional.of(JobState.FAILED));
	}

	/**
	 * Guards against a task that is tried too often because its next run has the attempt
	 * of one whose failure was counted by an earlier scheduler.
	 */
	@Example
	void failureOfTheNextRunCountsAfterATakeover() {
		activate("w1");
		submit("1", step(1));
		save();
		reportEnd(0, EndKind.FAILED);
		restoreAtNextScheduler("1", step(1));
		report(lastPoll(), List.of(), List.of());
		advance(4000);
		report(lastPoll(), List.of(), List.of());
		advance(4000);
		assertThat(starts()).extracting((start) -> start.run().attempt()).containsExactly(2);
		this.endNumber = 1;
		reportEnd(0, EndKind.FAILED);
		save();
		assertThat(this.scheduler.state(JobId.of("1"))).contains(JobState.FAILED);
	}

	/**
	 * Guards against a second run of a task: an end that repeats what is not saved yet is
	 * acknowledged, and the scheduler is lost before it is saved.
	 */
	@Example
	void endOfAnotherRunOfADoneTaskIsAcknowledgedOnlyAfterThatIsSaved() {
		activate("w1", "w2");
		submit("1", step(2));
		save();
		SchedulingEffect.StartRun start = starts().get(0);
		UpstreamId other = UpstreamId.of(start.worker().id().value().equals("w1") ? "w2" : "w1");
		RunId earlier = new RunId(start.run().task(), 7);
		SchedulingEffect.PollWorker poll = effectsOf(SchedulingEffect.PollWorker.class).stream()
			.filter((sent) -> sent.worker().id().equals(other))
			.findFirst()
			.orElseGet(() -> pollAfterIdleTime(other));
		report(poll, List.of(), List.of(new WorkerReport.Ended(1, earlier, EndKind.DONE, "")));
		List<RunId> present = starts().stream()
			.filter((sent) -> sent.worker().id().equals(start.worker().id()) && sent != start)
			.map(SchedulingEffect.StartRun::run)
			.toList();
		List<WorkerReport.Ended> ended = List.of(new WorkerReport.Ended(1, start.run(), EndKind.DONE, ""));
		report(pollOf(start.worker().id()), present, ended);
		advance(20);
		assertThat(pollOf(start.worker().id()).ackNumber()).isZero();
		save();
		report(pollOf(start.worker().id()), present, ended);
		advance(20);
		assertThat(pollOf(start.worker().id()).ackNumber()).isEqualTo(1);
	}

	/**
	 * Guards against a second run of a task of a job whose end is not saved yet: the end
	 * of a run of an earlier scheduler is acknowledged, and the next scheduler finds the
	 * job open.
	 */
	@Example
	void endOfAnEarlierRunOfACancelledJobIsAcknowledgedOnlyAfterItsEndIsSaved() {
		activate("w1");
		submit("1", step(2));
		save();
		List<RunId> runs = starts().stream().map(SchedulingEffect.StartRun::run).toList();
		this.scheduler.cancel(JobId.of("1"), this.nowNanos);
		tick();
		RunId earlier = new RunId(runs.get(0).task(), 7);
		report(lastPoll(), runs, List.of(new WorkerReport.Ended(1, earlier, EndKind.DONE, "")));
		advance(20);
		assertThat(lastPoll().ackNumber()).isZero();
	}

	/**
	 * Guards against an end that is lost because it was reported before the stored jobs
	 * were read.
	 */
	@Example
	void endReportedBeforeTheStoredJobsAreReadCounts() {
		this.scheduler.workersListed(List.of(worker("w1")), true, this.nowNanos);
		this.scheduler.activate(FencingToken.create(this.nowNanos, 7, FencingToken.NONE), this.nowNanos);
		tick();
		RunId run = new RunId(new TaskName(JobId.of("1"), 0, 0, 0), 4);
		report(lastPoll(), List.of(), List.of(new WorkerReport.Ended(1, run, EndKind.DONE, "")));
		assertThat(lastPoll().ackNumber()).isZero();
		this.scheduler.loadStoredJobs(new StoredSnapshot(
				List.of(new StoredJob(JobId.of("1"), spec("1", step(1)), this.nowNanos / MILLI, JobProgress.NONE)),
				List.of()), this.nowNanos);
		tick();
		save();
		assertThat(this.scheduler.state(JobId.of("1"))).contains(JobState.COMPLETED);
		assertThat(starts()).isEmpty();
	}

	/**
	 * Guards against a task that starts again although it is done: a scheduler that has
	 * lost the stored jobs without knowing it takes a worker back from their owner and
	 * acknowledges the end of a job that it does not know.
	 */
	@Example
	void endOfAnUnknownJobIsNotAcknowledgedWhileAnotherSchedulerMayOwnIt() {
		activate("w1");
		this.scheduler.ownershipConfirmed(this.nowNanos);
		RunId run = new RunId(new TaskName(JobId.of("other"), 0, 0, 0), 1);
		takeBackWithEndOf(run);
		assertThat(lastPoll().ackNumber()).isZero();
		this.scheduler.releaseStoredJobs(this.nowNanos);
		advance(100);
		report(lastPoll(), List.of(), List.of(new WorkerReport.Ended(1, run, EndKind.DONE, "")));
		this.scheduler.loadStoredJobs(new StoredSnapshot(List
			.of(new StoredJob(JobId.of("other"), spec("other", step(1)), this.nowNanos / MILLI, JobProgress.NONE)),
				List.of()), this.nowNanos);
		this.scheduler.ownershipConfirmed(this.nowNanos);
		tick();
		save();
		assertThat(this.scheduler.state(JobId.of("other"))).contains(JobState.COMPLETED);
		assertThat(starts()).isEmpty();
	}

	/** Guards against ends of jobs that are not stored being listed forever. */
	@Example
	void endOfAnUnknownJobIsAcknowledgedOnceTheOwnershipIsConfirmed() {
		activate("w1");
		this.scheduler.ownershipConfirmed(this.nowNanos);
		RunId run = new RunId(new TaskName(JobId.of("other"), 0, 0, 0), 1);
		takeBackWithEndOf(run);
		assertThat(this.scheduler.awaitsOwnership()).isTrue();
		this.scheduler.ownershipConfirmed(this.nowNanos);
		advance(100);
		report(lastPoll(), List.of(), List.of(new WorkerReport.Ended(1, run, EndKind.DONE, "")));
		assertThat(this.scheduler.awaitsOwnership()).isFalse();
		assertThat(lastPoll().ackNumber()).isEqualTo(1);
	}

	/**
	 * Guards against a host that spends all its processor time on reports that repeat the
	 * same ends while the store is unavailable.
	 */
	@Example
	void workersWithDeferredEndsArePolledLessOften() {
		this.scheduler.workersListed(List.of(worker("w1")), true, this.nowNanos);
		this.scheduler.activate(FencingToken.create(this.nowNanos, 7, FencingToken.NONE), this.nowNanos);
		tick();
		RunId unknownRun = new RunId(new TaskName(JobId.of("u"), 0, 0, 0), 1);
		List<WorkerReport.Ended> ends = List.of(new WorkerReport.Ended(1, unknownRun, EndKind.DONE, ""));
		report(lastPoll(), List.of(new RunId(new TaskName(JobId.of("v"), 0, 0, 0), 1)), ends);
		int polls = effectsOf(SchedulingEffect.PollWorker.class).size();
		advance(20);
		advance(19);
		assertThat(effectsOf(SchedulingEffect.PollWorker.class)).hasSize(polls);
		advance(12);
		assertThat(effectsOf(SchedulingEffect.PollWorker.class)).hasSize(polls + 1);
	}

	/**
	 * Guards against a second run of a task whose worker is unreachable while another
	 * scheduler keeps renewing its lease, and against a job that waits forever for a lost
	 * worker.
	 */
	@Example
	void unreachableWorkerDelaysJobsOfAnEarlierScheduler() {
		activate("w1", "w2");
		this.scheduler.releaseStoredJobs(this.nowNanos);
		this.scheduler.loadStoredJobs(new StoredSnapshot(
				List.of(new StoredJob(JobId.of("1"), spec("1", step(1)), this.nowNanos / MILLI, JobProgress.NONE)),
				List.of()), this.nowNanos);
		tick();
		SchedulingEffect.PollWorker reachablePoll = effectsOf(SchedulingEffect.PollWorker.class).stream()
			.filter((poll) -> poll.worker().id().value().equals("w1"))
			.findFirst()
			.orElseThrow();
		report(reachablePoll, List.of(), List.of());
		advance(5000);
		assertThat(starts()).isEmpty();
		advance(5100);
		assertThat(starts()).hasSize(1);
	}

	/**
	 * Guards against a second run of a task whose worker another scheduler has taken over
	 * and keeps leased, and against a task that waits for a crashed worker.
	 */
	@Example
	void runIsNotLostWhileAnotherSchedulerMayRenewItsLease() {
		activate("w1", "w2");
		submit("1", step(1));
		save();
		SchedulingEffect.StartRun start = starts().get(0);
		this.scheduler.startAnswered(start, StartAnswer.STARTED, this.nowNanos);
		SchedulingEffect.PollWorker poll = pollOf(start.worker().id());
		this.scheduler.pollFailed(poll.worker().id(), poll.sequence(), poll.token(), PollFailure.NO_ANSWER,
				this.nowNanos);
		advance(1500);
		advance(1500);
		assertThat(starts()).hasSize(1);
		this.scheduler.setOtherSchedulerPossible(false);
		advance(20);
		assertThat(starts()).hasSize(2);
	}

	/** Guards against two schedulers that run the tasks of the same job. */
	@Example
	void runsAreStoppedWhenTheStoredJobsAreReleased() {
		activate("w1");
		submit("1", step(1));
		save();
		this.scheduler.releaseStoredJobs(this.nowNanos);
		tick();
		assertThat(effectsOf(SchedulingEffect.StopRun.class)).hasSize(1);
		reportEnd(0, EndKind.DONE);
		advance(40);
		assertThat(lastPoll().ackNumber()).isZero();
	}

	/**
	 * Guards against a run that outlives its lease although another scheduler may have
	 * taken over its job.
	 */
	@Example
	void leaseIsNotRenewedWhileReleasedRunsArePresent() {
		activate("w1");
		submit("1", step(1));
		save();
		RunId run = starts().get(0).run();
		this.scheduler.startAnswered(starts().get(0), StartAnswer.STARTED, this.nowNanos);
		this.scheduler.releaseStoredJobs(this.nowNanos);
		SchedulingEffect.PollWorker sentBefore = lastPoll();
		this.effects.clear();
		report(sentBefore, List.of(run), List.of());
		report(lastPoll(), List.of(run), List.of());
		assertThat(effectsOf(SchedulingEffect.PollWorker.class)).hasSize(2)
			.allMatch((poll) -> poll.leaseEndMillis() == 0);
	}

	/** Guards against an ended job that is kept forever. */
	@Example
	void endedJobsAreRemovedAfterTheirRetention() {
		activate("w1");
		submit("1", step(1));
		save();
		this.scheduler.cancel(JobId.of("1"), this.nowNanos);
		tick();
		save();
		assertThat(this.scheduler.state(JobId.of("1"))).contains(JobState.CANCELED);
		this.nowNanos += TimeUnit.SECONDS.toNanos(121);
		tick();
		assertThat(this.scheduler.state(JobId.of("1"))).isEmpty();
		List<SchedulingEffect.SaveChange> changes = effectsOf(SchedulingEffect.SaveChange.class);
		assertThat(changes.get(changes.size() - 1).change()).isInstanceOf(StoredChange.Removed.class);
	}

	/**
	 * Guards against an ended job that is removed before its retention has passed, since
	 * the clock of the scheduler that saved its end was behind.
	 */
	@Example
	void endedJobOfAnEarlierSchedulerIsKeptIfTheClockOfThatSchedulerWasBehind() {
		activate("w1");
		this.scheduler.releaseStoredJobs(this.nowNanos);
		long endedMillis = this.nowNanos / MILLI - 119_000;
		JobProgress ended = new JobProgress(StoredState.COMPLETED, endedMillis, List.of());
		this.scheduler.loadStoredJobs(
				new StoredSnapshot(List.of(new StoredJob(JobId.of("1"), null, endedMillis, ended)), List.of()),
				this.nowNanos);
		advance(4_000);
		assertThat(this.scheduler.state(JobId.of("1"))).contains(JobState.COMPLETED);
		advance(8_000);
		assertThat(this.scheduler.state(JobId.of("1"))).isEmpty();
	}

	// --- helpers

	// Lets the time pass after which an idle worker is polled.
	private SchedulingEffect.PollWorker pollAfterIdleTime(UpstreamId worker) {
		advance(11_000);
		return pollOf(worker);
	}

	// Lets the next scheduler read a job with the progress that was emitted last, and
	// take the worker over.
	private void restoreAtNextScheduler(String id, StepSpec step) {
		JobProgress saved = ((StoredChange.Progressed) changes().get(changes().size() - 1).change()).progress();
		this.effects.clear();
		this.scheduler = Scheduler.of(SchedulerSettings.of(8, 1000, 50, 2));
		this.scheduler.workersListed(List.of(worker("w1")), true, this.nowNanos);
		this.scheduler.activate(FencingToken.create(this.nowNanos, 8, FencingToken.NONE), this.nowNanos);
		this.scheduler.loadStoredJobs(
				new StoredSnapshot(List.of(new StoredJob(JobId.of(id), spec(id, step), this.nowNanos / MILLI, saved)),
						List.of()),
				this.nowNanos);
		tick();
	}

	private List<SchedulingEffect.SaveChange> changes() {
		return effectsOf(SchedulingEffect.SaveChange.class);
	}

	private StoredChange.Progressed firstTaskDone() {
		submit("1", step(2));
		save();
		reportEnd(0, EndKind.DONE);
		List<SchedulingEffect.SaveChange> changes = effectsOf(SchedulingEffect.SaveChange.class);
		return (StoredChange.Progressed) changes.get(changes.size() - 1).change();
	}

	// Lets another owner take the only worker, and takes it back with the end of a run of
	// that owner.
	private void takeBackWithEndOf(RunId run) {
		advance(11_000);
		SchedulingEffect.PollWorker poll = lastPoll();
		this.scheduler.pollFailed(poll.worker().id(), poll.sequence(), poll.token(), PollFailure.FENCED, this.nowNanos);
		advance(2_100);
		report(lastPoll(), List.of(), List.of(new WorkerReport.Ended(1, run, EndKind.DONE, "")));
		advance(100);
	}

	private static StepSpec step(int count) {
		return new StepSpec(count, new Capacity(6_800, 64, 0), 100 * MILLI, List.of(), "", "", 0);
	}

}
