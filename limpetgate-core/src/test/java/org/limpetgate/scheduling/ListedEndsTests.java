package org.limpetgate.scheduling;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.BeforeTry;
import org.limpetgate.JobId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Scheduler} with more ends on a worker than one of its reports lists.
 */
class ListedEndsTests {

	private static final int TASKS = 20;

	private static final int MAX_LISTED_ENDS = 4;

	/** Longer than a worker that left the list is kept. */
	private static final long FULL_LIST_MILLIS = 6100;

	/** Longer than any time for which a job waits for workers that do not answer. */
	private static final long LONGEST_GUARD_MILLIS = 11_000;

	private WorkerFixture fixture;

	@BeforeTry
	void reset() {
		this.fixture = new WorkerFixture("w1");
		this.fixture.workers.forEach((worker) -> worker.maxListedEnds = MAX_LISTED_ENDS);
		this.fixture.loadStored();
		this.fixture.advance(50);
	}

	private FakeWorker worker() {
		return this.fixture.workers.get(0);
	}

	// Runs all tasks of a stored job while the store is away, so that no end is
	// acknowledged.
	private JobId runWithoutStore() {
		JobId job = this.fixture.submitStored(TASKS);
		this.fixture.advance(50);
		this.fixture.storeAway = true;
		this.fixture.advance(3 * WorkerFixture.RUN_MILLIS);
		assertThat(this.fixture.starts).hasSize(TASKS);
		assertThat(worker().report(this.fixture.nowNanos).endsComplete()).isFalse();
		return job;
	}

	/**
	 * Guards against tasks that start again although they are done, since the report of
	 * the takeover does not list their ends.
	 */
	@Example
	void tasksWhoseEndsATakeoverDoesNotSeeAreNotStartedAgain() {
		JobId job = runWithoutStore();
		this.fixture.storeAway = false;
		this.fixture.activate(8, this.fixture.listedWorkers());
		this.fixture.advance(FULL_LIST_MILLIS);
		this.fixture.loadStored();
		this.fixture.advance(LONGEST_GUARD_MILLIS);
		assertThat(this.fixture.starts).hasSize(TASKS);
		assertThat(this.fixture.scheduler.state(job)).contains(JobState.COMPLETED);
		assertThat(worker().report(this.fixture.nowNanos).endsComplete()).isTrue();
	}

	/** Guards against the same while the store stays away for longer than any lease. */
	@Example
	void tasksWhoseEndsCannotBeSavedAreNotStartedAgain() {
		JobId job = runWithoutStore();
		this.fixture.activate(8, this.fixture.listedWorkers());
		this.fixture.loadStored();
		this.fixture.advance(2 * LONGEST_GUARD_MILLIS);
		assertThat(this.fixture.starts).hasSize(TASKS);
		this.fixture.storeAway = false;
		this.fixture.activate(9, this.fixture.listedWorkers());
		this.fixture.loadStored();
		this.fixture.advance(LONGEST_GUARD_MILLIS);
		assertThat(this.fixture.starts).hasSize(TASKS);
		assertThat(this.fixture.scheduler.state(job)).contains(JobState.COMPLETED);
	}

	/**
	 * Guards against runs that are given up and started again although they are done,
	 * since the report of a worker that was taken back does not list their ends.
	 */
	@Example
	void runsWhoseEndsARetakenWorkerDoesNotListAreNotGivenUp() {
		JobId job = this.fixture.submitStored(TASKS);
		this.fixture.advance(50);
		this.fixture.pollAnswersLost = true;
		this.fixture.advance(3 * WorkerFixture.RUN_MILLIS);
		FencingToken other = FencingToken.create(this.fixture.nowNanos, 9, FencingToken.NONE);
		worker().poll(new SchedulingEffect.PollWorker(worker().info(), 0, other, 0, 0, 0), this.fixture.nowNanos);
		this.fixture.pollAnswersLost = false;
		this.fixture.advance(LONGEST_GUARD_MILLIS);
		assertThat(this.fixture.starts).hasSize(TASKS);
		assertThat(this.fixture.scheduler.state(job)).contains(JobState.COMPLETED);
	}

	/**
	 * Guards against jobs that need not be stored waiting for ends of stored ones: the
	 * list of present runs is always complete.
	 */
	@Example
	void otherJobsDoNotWaitForEndsThatAreNotListed() {
		runWithoutStore();
		this.fixture.submit();
		this.fixture.activate(8, this.fixture.listedWorkers());
		this.fixture.advance(FULL_LIST_MILLIS);
		int before = this.fixture.starts.size();
		this.fixture.resubmit();
		this.fixture.advance(50);
		assertThat(this.fixture.starts).hasSize(before + 1);
	}

	/** Guards against a run whose lease expires while the ends beside it are read. */
	@Example
	void leaseIsRenewedWhileNotAllEndsAreListed() {
		runWithoutStore();
		this.fixture.submitLongHalf();
		this.fixture.advance(5000);
		assertThat(this.fixture.starts).hasSize(TASKS + 1);
		assertThat(worker().isRunning(this.fixture.starts.get(TASKS).run())).isTrue();
	}

}
