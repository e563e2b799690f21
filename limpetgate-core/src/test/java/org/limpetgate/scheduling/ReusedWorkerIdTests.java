package org.limpetgate.scheduling;

import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.BeforeTry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of orders for a worker that starts again under its id. The next incarnation
 * carries out what reaches it before the scheduler knows of it.
 */
class ReusedWorkerIdTests {

	/** Until a list of workers counts as complete for stored jobs. */
	private static final long FULL_LIST_MILLIS = 9500;

	private WorkerFixture fixture;

	@BeforeTry
	void reset() {
		this.fixture = new WorkerFixture("w1", "w2");
	}

	/**
	 * Guards against a task that starts again although the next incarnation of its worker
	 * runs it, as in the incident of docs/incidents/twice-new-incarnation.md.
	 */
	@Example
	void runThatTheNextIncarnationStartedIsNotStartedElsewhere() {
		FakeWorker worker = startOnNextIncarnation();
		this.fixture.listWorkers();
		this.fixture.advance(WorkerFixture.RUN_MILLIS / 2);
		assertThat(worker.used()).isEqualTo(WorkerFixture.DEMAND);
		this.fixture.advance(WorkerFixture.RUN_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).hasSize(1);
		assertThat(this.fixture.outcomes()).containsExactly(JobOutcome.COMPLETED);
	}

	/**
	 * Guards against a task that starts again while a start whose answer is lost runs on
	 * the next incarnation of its worker.
	 */
	@Example
	void unansweredStartOnTheNextIncarnationIsNotRunElsewhere() {
		FakeWorker worker = restartIdleWorker();
		this.fixture.startAnswersLost = true;
		this.fixture.submit();
		this.fixture.advance(2);
		this.fixture.startAnswersLost = false;
		assertThat(this.fixture.workerOfLastStart()).isSameAs(worker);
		this.fixture.listWorkers();
		this.fixture.advance(2 * WorkerFixture.RUN_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.outcomes()).containsExactly(JobOutcome.COMPLETED);
	}

	/**
	 * Guards against a report of the next incarnation that is thrown away with the end
	 * that it lists.
	 */
	@Example
	void endOnTheNextIncarnationCountsAlthoughThatIsNotListedYet() {
		startOnNextIncarnation();
		this.fixture.advance(2 * WorkerFixture.RUN_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).hasSize(1);
		assertThat(this.fixture.outcomes()).containsExactly(JobOutcome.COMPLETED);
	}

	/**
	 * Guards against ends of the next incarnation that are acknowledged, and so
	 * discarded, before the scheduler has seen them.
	 */
	@Example
	void endOnTheNextIncarnationIsNotAcknowledgedUnseen() {
		startOnNextIncarnation();
		this.fixture.pollAnswersLost = true;
		this.fixture.advance(WorkerFixture.RUN_MILLIS + 50);
		this.fixture.pollAnswersLost = false;
		this.fixture.advance(2 * WorkerFixture.RUN_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).hasSize(1);
		assertThat(this.fixture.outcomes()).containsExactly(JobOutcome.COMPLETED);
	}

	/**
	 * Guards against a task that waits for the lease of the former incarnation although
	 * the next one, under a later token, shows that the order was not carried out.
	 */
	@Example
	void orderThatNoIncarnationCarriedOutIsSettledByTheReportOfTheNextOne() {
		this.fixture.workers.forEach((worker) -> this.fixture.down.add(worker.id()));
		this.fixture.submit();
		this.fixture.advance(2);
		this.fixture.down.clear();
		FakeWorker worker = this.fixture.workerOfLastStart();
		worker.restart(this.fixture.nowNanos);
		this.fixture.listWorkers();
		this.fixture.advance(10);
		assertThat(this.fixture.starts).hasSize(2);
		this.fixture.advance(2 * WorkerFixture.RUN_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.outcomes()).containsExactly(JobOutcome.COMPLETED);
	}

	/**
	 * Guards against a run that is kept although it ended with the incarnation that
	 * reported it.
	 */
	@Example
	void runThatTheFormerIncarnationReportedStartsAgainAtOnce() {
		this.fixture.submitLong();
		this.fixture.advance(500);
		FakeWorker worker = this.fixture.workerOfLastStart();
		int before = this.fixture.starts.size();
		worker.restart(this.fixture.nowNanos);
		this.fixture.listWorkers();
		this.fixture.advance(2);
		assertThat(this.fixture.starts).hasSize(before + 1);
		assertThat(this.fixture.violations).isEmpty();
	}

	/**
	 * Guards against a scheduler whose list of workers is older than the incarnation that
	 * it takes over.
	 */
	@Example
	void runOnAnIncarnationThatIsNotListedYetIsAdoptedByANewScheduler() {
		List<WorkerInfo> oldList = this.fixture.listedWorkers();
		FakeWorker worker = startOnNextIncarnation();
		this.fixture.activate(8, oldList);
		this.fixture.resubmit();
		this.fixture.advance(WorkerFixture.RUN_MILLIS / 2);
		this.fixture.scheduler.workersListed(oldList, true, this.fixture.nowNanos);
		this.fixture.advance(2 * WorkerFixture.RUN_MILLIS);
		assertThat(worker.used()).isEqualTo(Capacity.NONE);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).hasSize(1);
		assertThat(this.fixture.outcomes()).containsExactly(JobOutcome.COMPLETED);
	}

	/**
	 * Guards against runs that are placed by the capacity of a former incarnation, which
	 * may have been of another kind.
	 */
	@Example
	void nothingStartsOnANextIncarnationThatIsNotListedYet() {
		FakeWorker worker = startOnNextIncarnation();
		this.fixture.advance(2 * WorkerFixture.RUN_MILLIS);
		this.fixture.submitLong();
		this.fixture.submitLong();
		this.fixture.advance(100);
		assertThat(this.fixture.starts).hasSize(2);
		assertThat(this.fixture.workerOfLastStart()).isNotSameAs(worker);
		this.fixture.listWorkers();
		this.fixture.advance(10);
		assertThat(this.fixture.starts).hasSize(3);
		assertThat(this.fixture.violations).isEmpty();
	}

	/**
	 * Guards against a task of a stored job that starts elsewhere while an earlier
	 * scheduler, which is not aware of its loss, has started it on the next incarnation
	 * of its worker: only the former incarnation has seen the token that fences it.
	 */
	@Example
	void answerOfTheFormerIncarnationDoesNotVerifyTheNextOne() {
		this.fixture.advance(FULL_LIST_MILLIS);
		FencingToken earlierToken = FencingToken.create(this.fixture.nowNanos, 7, FencingToken.NONE);
		this.fixture.activate(8, this.fixture.listedWorkers());
		this.fixture.advance(FULL_LIST_MILLIS);
		this.fixture.loadStoredLong();
		this.fixture.advance(500);
		FakeWorker worker = this.fixture.workerOfLastStart();
		worker.restart(this.fixture.nowNanos);
		RunId run = this.fixture.starts.get(0).run();
		worker.start(
				new SchedulingEffect.StartRun(worker.info(), new RunId(run.task(), run.attempt() + 1), "", "", 1000,
						earlierToken),
				WorkerFixture.DEMAND, WorkerFixture.LONG_RUN_MILLIS * 1_000_000, WorkerReport.EndKind.DONE,
				this.fixture.nowNanos);
		this.fixture.listWorkers();
		this.fixture.advance(500);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).hasSize(1);
	}

	/**
	 * Guards against a task that waits forever, and a worker that is never used again,
	 * because the clock of the worker's machine was set back before it started again.
	 */
	@Example
	void incarnationAfterAClockThatWasSetBackReplacesTheFormerOne() {
		List<WorkerInfo> oldList = this.fixture.listedWorkers();
		this.fixture.submitLong();
		this.fixture.advance(500);
		FakeWorker worker = this.fixture.workerOfLastStart();
		worker.restart(this.fixture.nowNanos - TimeUnit.MINUTES.toNanos(2));
		this.fixture.listWorkers();
		this.fixture.advance(1000);
		assertThat(this.fixture.starts).hasSize(2);
		this.fixture.scheduler.workersListed(oldList, true, this.fixture.nowNanos);
		this.fixture.advance(100);
		this.fixture.listWorkers();
		this.fixture.submitLong();
		this.fixture.advance(100);
		assertThat(this.fixture.starts).hasSize(3);
		assertThat(this.fixture.workerOfLastStart()).isSameAs(worker);
		assertThat(this.fixture.violations).isEmpty();
	}

	// Begins the next incarnation of a worker that has run a task, whose end was
	// acknowledged, and has been idle since.
	private FakeWorker restartIdleWorker() {
		this.fixture.submit();
		this.fixture.advance(2 * WorkerFixture.RUN_MILLIS);
		assertThat(this.fixture.outcomes()).containsExactly(JobOutcome.COMPLETED);
		FakeWorker worker = this.fixture.workerOfLastStart();
		this.fixture.ends.clear();
		this.fixture.starts.clear();
		worker.restart(this.fixture.nowNanos);
		this.fixture.advance(50);
		return worker;
	}

	private FakeWorker startOnNextIncarnation() {
		FakeWorker worker = restartIdleWorker();
		this.fixture.submit();
		this.fixture.advance(2);
		assertThat(this.fixture.starts).hasSize(1);
		assertThat(this.fixture.workerOfLastStart()).isSameAs(worker);
		return worker;
	}

}
