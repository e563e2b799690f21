package org.limpetgate.scheduling;

import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.BeforeTry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of which crashes of workers count against a task whose start orders may not have
 * been carried out.
 */
class CrashEvidenceTests {

	/** Two more than the crashes after which the rule on budgets counts starts. */
	private static final int MAX_STARTS = 5;

	/** Longer than a silent worker keeps its runs, in milliseconds. */
	private static final long LOSS_MILLIS = 1500;

	private WorkerFixture fixture;

	@BeforeTry
	void reset() {
		this.fixture = new WorkerFixture("w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8");
	}

	/**
	 * Guards against a job that fails because its orders went to workers that were down
	 * already.
	 */
	@Example
	void workersThatWereDownBeforeTheOrderDoNotFailTheJob() {
		this.fixture.submitLong();
		this.fixture.advance(20);
		this.fixture.startsLost = true;
		this.fixture.afterStart = () -> {
			if (this.fixture.startsLost) {
				this.fixture.startsLost = this.fixture.starts.size() < 3;
				this.fixture.workerOfLastStart().restart(this.fixture.nowNanos);
				this.fixture.listWorkers();
			}
		};
		crashWorkerOfLastStart();
		this.fixture.advance(WorkerFixture.LONG_RUN_MILLIS + 1000);
		assertThat(this.fixture.starts).hasSize(4);
		assertThat(this.fixture.outcomes()).containsExactly(JobOutcome.COMPLETED);
		assertThat(this.fixture.violations).isEmpty();
	}

	/**
	 * Guards against a silent worker that turns out as crashed and counts although it was
	 * down before the order.
	 */
	@Example
	void silentWorkersThatNeverConfirmedTheRunDoNotFailTheJob() {
		this.fixture.submitLong();
		this.fixture.advance(20);
		this.fixture.afterStart = () -> {
			this.fixture.down.add(this.fixture.workerOfLastStart().id());
			this.fixture.listWorkers();
		};
		this.fixture.startsLost = true;
		crashWorkerOfLastStart();
		this.fixture.startsLost = false;
		this.fixture.afterStart = () -> {
		};
		this.fixture.advance(LOSS_MILLIS);
		FakeWorker worker = this.fixture.workerOfLastStart();
		worker.restart(this.fixture.nowNanos);
		this.fixture.down.clear();
		this.fixture.listWorkers();
		this.fixture.advance(WorkerFixture.LONG_RUN_MILLIS + 8000);
		assertThat(this.fixture.starts).hasSize(3);
		assertThat(this.fixture.outcomes()).containsExactly(JobOutcome.COMPLETED);
		assertThat(this.fixture.violations).isEmpty();
	}

	/**
	 * Guards against a task that crashes its workers before they answer, and is started
	 * again without a bound.
	 */
	@Example
	void taskThatCrashesItsWorkersBeforeTheyAnswerIsGivenUpWithinItsBudget() {
		this.fixture.startAnswersLost = true;
		this.fixture.afterStart = () -> {
			this.fixture.workerOfLastStart().restart(this.fixture.nowNanos);
			this.fixture.listWorkers();
		};
		this.fixture.submitLong();
		this.fixture.advance(WorkerFixture.LONG_RUN_MILLIS);
		assertThat(this.fixture.outcomes()).containsExactly(JobOutcome.FAILED);
		assertThat(this.fixture.starts.size()).isLessThanOrEqualTo(MAX_STARTS);
	}

	/**
	 * Guards against a task that crashes its workers after they have answered, and is
	 * started again without a bound.
	 */
	@Example
	void taskThatCrashesWorkersThatConfirmedItIsGivenUpWithinItsBudget() {
		this.fixture.submitLong();
		for (int crash = 0; crash < MAX_STARTS && this.fixture.ends.isEmpty(); crash++) {
			this.fixture.advance(20);
			crashWorkerOfLastStart();
		}
		assertThat(this.fixture.outcomes()).containsExactly(JobOutcome.FAILED);
		assertThat(this.fixture.starts.size()).isLessThanOrEqualTo(MAX_STARTS);
	}

	/**
	 * Guards against a task that waits for the entry of a crashed worker to expire
	 * although a later worker answers at its address.
	 */
	@Example
	void workerWhoseAddressALaterOneHasIsLostAtOnce() {
		this.fixture.submitLong();
		this.fixture.advance(20);
		FakeWorker worker = this.fixture.workerOfLastStart();
		this.fixture.replace(worker, "successor");
		this.fixture.listWorkers();
		this.fixture.advance(2);
		assertThat(this.fixture.starts).hasSize(2);
		assertThat(this.fixture.workerOfLastStart()).isNotSameAs(worker);
		assertThat(this.fixture.violations).isEmpty();
	}

	/**
	 * Guards against a task that is started again without a bound, because the crash of a
	 * worker that confirmed it counts as a loss of the next incarnation, which is silent
	 * at first and then reports.
	 */
	@Example
	void crashOfAWorkerWhoseNextIncarnationIsSilentCounts() {
		this.fixture.afterStart = () -> this.fixture.down.add(this.fixture.workerOfLastStart().id());
		this.fixture.submitLong();
		for (int crash = 0; crash <= MAX_STARTS && this.fixture.ends.isEmpty(); crash++) {
			this.fixture.advance(20);
			this.fixture.workerOfLastStart().restart(this.fixture.nowNanos);
			listAllWorkers();
			this.fixture.advance(LOSS_MILLIS);
			this.fixture.down.clear();
			this.fixture.advance(1000);
		}
		assertThat(this.fixture.outcomes()).containsExactly(JobOutcome.FAILED);
		assertThat(this.fixture.starts.size()).isLessThanOrEqualTo(MAX_STARTS);
	}

	/**
	 * Guards against a task that is blamed alone for the crash of a worker on which
	 * another one ran: only the order whose run the worker had not listed is left when
	 * the next incarnation is lost too.
	 */
	@Example
	void taskBesideAnotherIsNotBlamedAloneIfTheNextIncarnationIsLostToo() {
		for (boolean silent : List.of(false, true)) {
			this.fixture = new WorkerFixture("w1");
			this.fixture.submitLongHalf();
			this.fixture.advance(20);
			this.fixture.afterStart = () -> this.fixture.down.add(this.fixture.workerOfLastStart().id());
			this.fixture.submitLongHalf();
			this.fixture.advance(20);
			assertThat(this.fixture.starts).hasSize(2);
			this.fixture.workerOfLastStart().restart(this.fixture.nowNanos);
			listAllWorkers();
			this.fixture.advance(silent ? LOSS_MILLIS : 20);
			this.fixture.workerOfLastStart().restart(this.fixture.nowNanos);
			listAllWorkers();
			this.fixture.down.clear();
			this.fixture.advance(1000);
			assertThat(this.fixture.crashes).as("silent: " + silent).hasSize(2);
			assertThat(this.fixture.crashes).as("silent: " + silent)
				.noneMatch((crash) -> crash.history().crashedAlone());
		}
	}

	private void listAllWorkers() {
		this.fixture.scheduler.workersListed(this.fixture.workers.stream().map(FakeWorker::info).toList(), true,
				this.fixture.nowNanos);
	}

	private void crashWorkerOfLastStart() {
		this.fixture.workerOfLastStart().restart(this.fixture.nowNanos);
		this.fixture.listWorkers();
		this.fixture.advance(5);
	}

}
