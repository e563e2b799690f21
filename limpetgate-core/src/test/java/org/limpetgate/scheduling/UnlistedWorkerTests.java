package org.limpetgate.scheduling;

import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of a handover to a scheduler whose list of workers lacks one that the earlier
 * scheduler has used.
 */
class UnlistedWorkerTests {

	private static final int NEXT_HOST = 8;

	private static final long STEP_MILLIS = 10;

	/** The list of a scheduler that has had one for as long as this may be complete. */
	private static final long LIST_HISTORY_MILLIS = 7_000;

	/** A worker that left the list this long ago is no longer kept track of. */
	private static final long FORGOTTEN_MILLIS = 8_000;

	/** How much older the list of the next scheduler is than that of the first one. */
	private static final long LIST_AGE_MILLIS = 500;

	/** An orphan run that keeps a worker from new runs has been stopped after this. */
	private static final long ORPHAN_STOPPED_MILLIS = 400;

	/** Leases that were granted before a handover have not all ended before this. */
	private static final long LEASE_MILLIS = 1_000;

	/** They have ended after this. */
	private static final long LEASE_END_MILLIS = 1_300;

	/** Owners of stored jobs notice within this time that they lost them. */
	private static final long STORED_GUARD_MILLIS = 3_000;

	/** A host that does not schedule reads the list at this interval. */
	private static final long READ_INTERVAL_MILLIS = 1_000;

	private final WorkerFixture fixture = new WorkerFixture("w1");

	/**
	 * Guards against a second run of a task whose first one is on a worker that has
	 * registered after the last read of the next scheduler.
	 */
	@Example
	void taskOnAWorkerThatTheNextSchedulerHasNotReadYetIsNotStartedAgain() {
		Scheduler next = newScheduler(this.fixture.listedWorkers());
		this.fixture.submitLong();
		startOnNewWorker(this.fixture::submitLong);

		handOverTo(next);
		this.fixture.resubmit();
		this.fixture.advance(ORPHAN_STOPPED_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).hasSize(2);

		listWorkers(next);
		this.fixture.advance(LEASE_END_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).as("the run on w2 is adopted").hasSize(2);
	}

	/**
	 * Guards against a second run of a task whose first one is on a worker that left the
	 * list of the next scheduler long ago, while the store refused the first scheduler.
	 */
	@Example
	void taskOnAWorkerThatOnlyAnOutdatedListNamesIsNotStartedAgain() {
		this.fixture.addWorker("w2");
		this.fixture.listWorkers();
		this.fixture.scheduler.workerListProven(this.fixture.nowNanos);
		Scheduler next = newScheduler(this.fixture.listedWorkers());
		next.workersListed(this.fixture.listedWorkers().subList(0, 1), true, this.fixture.nowNanos);
		this.fixture.advance(FORGOTTEN_MILLIS);
		next.workersListed(this.fixture.listedWorkers().subList(0, 1), true, this.fixture.nowNanos);
		this.fixture.submitLong();
		this.fixture.submitLong();
		this.fixture.advance(STEP_MILLIS);
		assertThat(this.fixture.starts).hasSize(2);

		next.workerListProven(this.fixture.nowNanos);
		this.fixture.activate(next, NEXT_HOST);
		next.workerListProven(this.fixture.nowNanos);
		this.fixture.resubmit();
		this.fixture.advance(LEASE_END_MILLIS + LEASE_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).as("the task starts again after its lease").hasSize(3);
	}

	/**
	 * Guards against a job that is never served after a handover because the store does
	 * not answer the next scheduler.
	 */
	@Example
	void jobStartsOnceAllLeasesHaveEndedAlthoughTheListStaysOld() {
		Scheduler next = newScheduler(this.fixture.listedWorkers());
		this.fixture.submitLong();
		this.fixture.submitLong();
		this.fixture.advance(STEP_MILLIS);

		handOverTo(next);
		this.fixture.resubmit();
		this.fixture.advance(LEASE_MILLIS);
		assertThat(this.fixture.starts).hasSize(1);
		this.fixture.advance(LEASE_END_MILLIS - LEASE_MILLIS);
		assertThat(this.fixture.starts).hasSize(2);
	}

	/**
	 * Guards against a task of a stored job that starts again although it is done, on a
	 * worker that has registered after the last read of the next scheduler.
	 */
	@Example
	void storedTaskThatIsDoneOnAWorkerThatWasNotReadYetIsNotStartedAgain() {
		Scheduler next = newScheduler(this.fixture.listedWorkers());
		this.fixture.loadStored();
		this.fixture.submitLong();
		startOnNewWorker(() -> this.fixture.submitStored(1));
		this.fixture.storeAway = true;
		this.fixture.advance(2 * WorkerFixture.RUN_MILLIS);
		this.fixture.storeAway = false;

		handOverTo(next);
		this.fixture.loadStored();
		this.fixture.advance(STORED_GUARD_MILLIS);
		assertThat(this.fixture.starts).hasSize(2);

		listWorkers(next);
		this.fixture.advance(LEASE_END_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).as("the end on w2 is read").hasSize(2);
	}

	/**
	 * Guards against a second run of a task whose first one is on a worker that the
	 * earlier scheduler still keeps although its entry has expired. A worker that cannot
	 * reach the store, or is in a data centre that was cut off from it, is in that state
	 * for as long as that lasts.
	 */
	@Example
	void taskOnAWorkerWhoseEntryExpiredLongAgoIsNotStartedAgain() {
		this.fixture.addWorker("w2");
		this.fixture.listWorkers();
		Scheduler next = newScheduler(this.fixture.listedWorkers());
		this.fixture.submitLong();
		this.fixture.submitLong();
		this.fixture.advance(STEP_MILLIS);
		assertThat(this.fixture.workerOfLastStart().id().value()).isEqualTo("w2");

		expireEntryOfSecondWorker(next);
		followList(next, FORGOTTEN_MILLIS);

		this.fixture.activate(next, NEXT_HOST);
		next.workerListProven(this.fixture.nowNanos);
		this.fixture.resubmit();
		next.workerListProven(this.fixture.nowNanos);
		this.fixture.advance(ORPHAN_STOPPED_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).as("the run on w2 may last until its lease ends").hasSize(2);
	}

	/**
	 * Guards against a list that counts as complete for all data centres because it was
	 * complete for one: a worker of another data centre that has left the list before the
	 * scope became wider was never known.
	 */
	@Example
	void taskOnAWorkerThatLeftTheListBeforeTheScopeBecameWiderIsNotStartedAgain() {
		List<WorkerInfo> dataCentre = this.fixture.listedWorkers();
		Scheduler next = newScheduler(dataCentre);
		next.workersListed(dataCentre, false, this.fixture.nowNanos);
		next.workerListProven(this.fixture.nowNanos);
		this.fixture.submitLong();
		startOnNewWorker(this.fixture::submitLong);

		next.workersListed(dataCentre, true, this.fixture.nowNanos);
		this.fixture.activate(next, NEXT_HOST);
		this.fixture.resubmit();
		next.workerListProven(this.fixture.nowNanos);
		this.fixture.advance(ORPHAN_STOPPED_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).as("the run on w2 may last until its lease ends").hasSize(2);
	}

	/**
	 * Guards against a list that counts as followed all along although the machine of the
	 * next scheduler was suspended: its clock does not show how far two reads are apart.
	 */
	@Example
	void taskOnAWorkerThatCameAndLeftDuringASuspensionIsNotStartedAgain() {
		List<WorkerInfo> before = this.fixture.listedWorkers();
		Scheduler next = newScheduler(before);
		next.workerListProven(this.fixture.nowNanos);
		this.fixture.submitLong();
		startOnNewWorker(this.fixture::submitLong);

		next.machineSuspended(this.fixture.nowNanos);
		next.workersListed(before, true, this.fixture.nowNanos);
		this.fixture.activate(next, NEXT_HOST);
		this.fixture.resubmit();
		next.workerListProven(this.fixture.nowNanos);
		this.fixture.advance(ORPHAN_STOPPED_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).as("the run on w2 may last until its lease ends").hasSize(2);
	}

	/**
	 * Guards against an entry of another writer that ends a worker which the next
	 * scheduler does not know: it names the address of another worker, whose process
	 * answers there under its own id.
	 */
	@Example
	void taskOnAWorkerThatOnlyAnEntryWithAWrongAddressNamesIsNotStartedAgain() {
		Scheduler next = newScheduler(this.fixture.listedWorkers());
		this.fixture.submitLong();
		startOnNewWorker(this.fixture::submitLong);

		this.fixture.otherEntries
			.add(entryAtAddressOf(this.fixture.workers.get(0).info(), this.fixture.workers.get(1).info()));
		next.workersListed(this.fixture.listedWorkers(), true, this.fixture.nowNanos);
		this.fixture.activate(next, NEXT_HOST);
		this.fixture.resubmit();
		next.workerListProven(this.fixture.nowNanos);
		this.fixture.advance(ORPHAN_STOPPED_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).as("the run on w2 may last until its lease ends").hasSize(2);
	}

	/**
	 * Guards against the same if that entry has replaced the own one of the worker for so
	 * long that it seems to have ended, while the earlier scheduler still uses it.
	 */
	@Example
	void taskOnAWorkerWhoseOwnEntryWasReplacedLongAgoIsNotStartedAgain() {
		Scheduler next = newScheduler(this.fixture.listedWorkers());
		this.fixture.submitLong();
		startOnNewWorker(this.fixture::submitLong);
		this.fixture.scheduler.workerListProven(this.fixture.nowNanos);
		this.fixture.otherEntries
			.add(entryAtAddressOf(this.fixture.workers.get(0).info(), this.fixture.workers.get(1).info()));
		for (long passed = 0; passed < FORGOTTEN_MILLIS; passed += READ_INTERVAL_MILLIS) {
			listWorkers(this.fixture.scheduler);
			next.workersListed(this.fixture.listedWorkers(), true, this.fixture.nowNanos);
			next.workerListProven(this.fixture.nowNanos);
			this.fixture.advance(READ_INTERVAL_MILLIS);
		}

		this.fixture.activate(next, NEXT_HOST);
		this.fixture.resubmit();
		next.workerListProven(this.fixture.nowNanos);
		this.fixture.advance(ORPHAN_STOPPED_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).as("the run on w2 may last until its lease ends").hasSize(2);
	}

	// Starts a job on a worker that the present scheduler has just read from the list.
	private void startOnNewWorker(Runnable submission) {
		this.fixture.advance(STEP_MILLIS);
		this.fixture.addWorker("w2");
		this.fixture.listWorkers();
		this.fixture.advance(STEP_MILLIS);
		submission.run();
		this.fixture.advance(STEP_MILLIS);
		assertThat(this.fixture.workerOfLastStart().id().value()).isEqualTo("w2");
	}

	// Returns a scheduler that is not active yet and has read a list for some time.
	private Scheduler newScheduler(List<WorkerInfo> list) {
		Scheduler scheduler = Scheduler.of(SchedulerSettings.of(NEXT_HOST, 1000, 50, 2));
		scheduler.setOtherSchedulerPossible(false);
		scheduler.workersListed(list, true, this.fixture.nowNanos);
		this.fixture.advance(LIST_HISTORY_MILLIS);
		scheduler.workersListed(list, true, this.fixture.nowNanos);
		return scheduler;
	}

	// Replaces the scheduler by one that read the list of workers some time ago.
	private void handOverTo(Scheduler next) {
		next.workerListProven(this.fixture.nowNanos - TimeUnit.MILLISECONDS.toNanos(LIST_AGE_MILLIS));
		this.fixture.activate(next, NEXT_HOST);
	}

	// Lets the scheduler read the list of workers again.
	private void listWorkers(Scheduler scheduler) {
		this.fixture.listWorkers();
		scheduler.workerListProven(this.fixture.nowNanos);
	}

	// Lets both schedulers read a list without the second worker, which works on.
	private void expireEntryOfSecondWorker(Scheduler next) {
		List<WorkerInfo> remaining = this.fixture.listedWorkers().subList(0, 1);
		this.fixture.scheduler.workerListProven(this.fixture.nowNanos);
		this.fixture.scheduler.workersListed(remaining, true, this.fixture.nowNanos);
		next.workersListed(remaining, true, this.fixture.nowNanos);
	}

	// Lets the next scheduler read an unchanged list of one worker at the usual interval.
	private void followList(Scheduler next, long millis) {
		List<WorkerInfo> listed = this.fixture.listedWorkers().subList(0, 1);
		for (long passed = 0; passed < millis; passed += READ_INTERVAL_MILLIS) {
			this.fixture.advance(READ_INTERVAL_MILLIS);
			next.workersListed(listed, true, this.fixture.nowNanos);
			next.workerListProven(this.fixture.nowNanos);
		}
	}

	// Returns the entry of a worker with the address of another one.
	private static WorkerInfo entryAtAddressOf(WorkerInfo other, WorkerInfo worker) {
		return new WorkerInfo(worker.id(), worker.incarnationMillis(), worker.service(), other.address(),
				worker.dataCentre(), worker.capacity(), worker.labels(), worker.draining(),
				worker.coldRemainingMillis(), worker.drainRemainingMillis());
	}

}
