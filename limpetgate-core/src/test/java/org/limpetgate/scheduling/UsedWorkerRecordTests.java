package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.List;

import net.jqwik.api.Example;
import org.limpetgate.UpstreamId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the handover of stored jobs while workers are used that the list of workers
 * does not name.
 */
class UsedWorkerRecordTests {

	private static final int NEXT_HOST = 8;

	private static final int LAST_HOST = 9;

	/** A scheduling host reads the list at this interval. */
	private static final long READ_INTERVAL_MILLIS = 400;

	/** A host that has followed the list for this long may know all workers. */
	private static final long FOLLOWED_MILLIS = 12_000;

	/** Nothing but a record tells of a worker that left the list this long ago. */
	private static final long FORGOTTEN_MILLIS = 12_000;

	/** A worker that left the list this long ago is not in the tables any more. */
	private static final long REMOVED_MILLIS = 7_000;

	/** A handover takes less if all workers answer. */
	private static final long CALM_HANDOVER_MILLIS = 100;

	/** All leases that were granted before a handover have ended after this. */
	private static final long LEASES_ENDED_MILLIS = 3_000;

	/** A task whose worker has started again is started within this time. */
	private static final long RESTART_MILLIS = 500;

	private static final long STEP_MILLIS = 60;

	private final WorkerFixture fixture = new WorkerFixture("w1", "w2");

	private final Scheduler next = newScheduler(NEXT_HOST);

	/**
	 * Guards against a second run of a stored task whose first one is on a worker that
	 * the store has not heard for so long that the next owner has forgotten it.
	 */
	@Example
	void storedTaskOnAWorkerThatTheNextOwnerHasForgottenIsNotStartedAgain() {
		takeOwnership();
		UpstreamId worker = startLastingTask();
		this.fixture.unlisted.add(worker);
		follow(FORGOTTEN_MILLIS);

		handOverTo(this.next, NEXT_HOST);
		this.fixture.advance(CALM_HANDOVER_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).as("the run is adopted").hasSize(1);
		startsOnTheOtherWorker(worker);
		this.fixture.advance(LEASES_ENDED_MILLIS);
		assertThat(this.fixture.starts).as("the run goes on after the leases of the first owner").hasSize(2);
		assertThat(this.fixture.violations).isEmpty();
	}

	/**
	 * Guards against the same if a host takes over that has just started, and so has
	 * never had the worker in its list.
	 */
	@Example
	void storedTaskOnAWorkerThatLeftTheListBeforeTheNextOwnerStartedIsNotStartedAgain() {
		takeOwnership();
		this.fixture.unlisted.add(startLastingTask());
		follow(FORGOTTEN_MILLIS);

		Scheduler started = newScheduler(LAST_HOST);
		handOverTo(started, LAST_HOST);
		followWith(started, LEASES_ENDED_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).as("the run is adopted").hasSize(1);
	}

	/**
	 * Guards against the same if the entry of the worker is not missing but overwritten
	 * by one with a wrong address.
	 */
	@Example
	void storedTaskOnAWorkerWhoseEntryWasOverwrittenLongAgoIsNotStartedAgain() {
		takeOwnership();
		UpstreamId worker = startLastingTask();
		overwriteEntry(worker);
		follow(FORGOTTEN_MILLIS);

		handOverTo(this.next, NEXT_HOST);
		followWith(this.next, LEASES_ENDED_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).as("the run is adopted").hasSize(1);
	}

	/**
	 * Guards against a record that gets lost with an owner which has not reached the
	 * worker yet, so that the owner after it does not know the run.
	 */
	@Example
	void storedTaskIsNotStartedAgainAfterTwoHandoversInARow() {
		takeOwnership();
		UpstreamId worker = startLastingTask();
		this.fixture.unlisted.add(worker);
		follow(FORGOTTEN_MILLIS);
		Scheduler last = newScheduler(LAST_HOST);

		this.fixture.pollAnswersLost = true;
		handOverTo(this.next, NEXT_HOST);
		this.fixture.advance(CALM_HANDOVER_MILLIS);
		this.fixture.pollAnswersLost = false;
		handOverTo(last, LAST_HOST);
		followWith(last, LEASES_ENDED_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).as("the run is adopted").hasSize(1);
	}

	/**
	 * Guards against a start of a stored task that is done, on a worker that the store
	 * has not heard for long, while its end is not saved.
	 */
	@Example
	void storedTaskThatIsDoneOnAWorkerThatTheNextOwnerHasForgottenIsNotStartedAgain() {
		takeOwnership();
		UpstreamId worker = startLastingTask();
		this.fixture.unlisted.add(worker);
		follow(FORGOTTEN_MILLIS);
		this.fixture.pollAnswersLost = true;
		this.fixture.workerOfLastStart().completeAll(this.fixture.nowNanos);

		handOverTo(this.next, NEXT_HOST);
		this.fixture.pollAnswersLost = false;
		this.fixture.advance(LEASES_ENDED_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).as("the end is read").hasSize(1);
	}

	/**
	 * Guards against a gang and a lasting task that start again beside a member or a run
	 * on a worker that the store has not heard for long.
	 */
	@Example
	void gangAndLastingTaskWithARunOnAForgottenWorkerAreNotStartedAgain() {
		for (StepTrait trait : List.of(StepTrait.GANG, StepTrait.PERPETUAL)) {
			UsedWorkerRecordTests test = new UsedWorkerRecordTests();
			test.fixture.addWorker("w3");
			test.takeOwnership();
			test.fixture.submitStoredLasting(2, trait);
			test.fixture.advance(STEP_MILLIS);
			test.fixture.unlisted.add(test.fixture.workerOfLastStart().id());
			test.follow(FORGOTTEN_MILLIS);

			test.handOverTo(test.next, NEXT_HOST);
			test.followWith(test.next, LEASES_ENDED_MILLIS);
			assertThat(test.fixture.violations).isEmpty();
			assertThat(test.fixture.starts).as("both runs are adopted").hasSize(2);
		}
	}

	/**
	 * Guards against a second run of a stored task on a worker that has just been removed
	 * from the tables of the next owner while the store rejects the records of the first.
	 */
	@Example
	void storedTaskWhoseWorkerCouldNotBeRecordedIsNotStartedAgain() {
		takeOwnership();
		this.fixture.unlisted.add(startLastingTask());
		this.fixture.storeAway = true;
		follow(REMOVED_MILLIS);
		this.fixture.storeAway = false;
		assertThat(this.fixture.recordedWorkers()).isEmpty();

		handOverTo(this.next, NEXT_HOST);
		followWith(this.next, LEASES_ENDED_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).as("the run is adopted").hasSize(1);
	}

	/**
	 * Guards against the same if the entry of the worker was overwritten by one with a
	 * wrong address, which the next owner has taken for the right one.
	 */
	@Example
	void storedTaskWhoseWorkerCouldNotBeRecordedAndHasAWrongEntryIsNotStartedAgain() {
		takeOwnership();
		overwriteEntry(startLastingTask());
		this.fixture.storeAway = true;
		follow(REMOVED_MILLIS);
		this.fixture.storeAway = false;

		handOverTo(this.next, NEXT_HOST);
		this.fixture.advance(LEASES_ENDED_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).as("the run is adopted").hasSize(1);
	}

	/**
	 * Guards against jobs that wait for a worker where an earlier owner used it, though
	 * it has started again elsewhere and its entry says so.
	 */
	@Example
	void recordOfAWorkerThatHasStartedAgainElsewhereDoesNotHoldJobsUp() {
		takeOwnership();
		this.fixture.submitStoredLasting(1);
		this.fixture.advance(1);
		WorkerInfo info = this.fixture.workers.get(0).info();
		this.fixture.recordUse(withAddress(info, InetSocketAddress.createUnresolved("nobody", 1)));
		this.fixture.workers.forEach((worker) -> worker.restart(this.fixture.nowNanos));
		int starts = this.fixture.starts.size();

		read(this.next);
		this.fixture.pollAnswersLost = true;
		this.fixture.activate(this.next, NEXT_HOST);
		this.fixture.loadStored();
		this.fixture.pollAnswersLost = false;
		// A list that has not changed is not applied again.
		this.next.workerListProven(this.fixture.nowNanos);
		this.fixture.advance(RESTART_MILLIS);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).hasSize(starts + 1);
	}

	/**
	 * Guards against a run of a stored task on a worker that the next owner cannot find,
	 * since it left the list after the last read of an owner that the store refuses.
	 */
	@Example
	void storedTaskIsNotStartedWhileTheListIsOutdatedAndNoRecordIsSaved() {
		takeOwnership();
		startLastingTask();
		this.fixture.submitStoredLasting(2);
		this.fixture.advance(STEP_MILLIS);
		assertThat(this.fixture.starts).as("one task has no room").hasSize(2);
		this.fixture.storeAway = true;
		this.fixture.advance(LEASES_ENDED_MILLIS);
		this.fixture.workerOfLastStart().completeAll(this.fixture.nowNanos);
		this.fixture.advance(STEP_MILLIS);
		assertThat(this.fixture.starts).hasSize(2);

		this.fixture.storeAway = false;
		this.fixture.advance(STEP_MILLIS);
		assertThat(this.fixture.recordedWorkers()).as("all workers are recorded").hasSize(2);
		assertThat(this.fixture.starts).hasSize(3);
	}

	/**
	 * Guards against records that stay although the list names their workers again, or
	 * although nothing of a stored job is left there.
	 */
	@Example
	void recordIsDeletedOnceItIsOfNoUse() {
		takeOwnership();
		UpstreamId worker = startLastingTask();
		this.fixture.unlisted.add(worker);
		follow(2 * READ_INTERVAL_MILLIS);
		assertThat(this.fixture.recordedWorkers()).containsExactly(worker);
		this.fixture.unlisted.clear();
		follow(2 * READ_INTERVAL_MILLIS);
		assertThat(this.fixture.recordedWorkers()).isEmpty();

		this.fixture.unlisted.add(worker);
		follow(2 * READ_INTERVAL_MILLIS);
		this.fixture.workerOfLastStart().completeAll(this.fixture.nowNanos);
		follow(2 * READ_INTERVAL_MILLIS);
		assertThat(this.fixture.recordedWorkers()).isEmpty();
		assertThat(this.fixture.starts).hasSize(1);
	}

	// Lets the first scheduler own the stored jobs.
	private void takeOwnership() {
		read(this.fixture.scheduler);
		this.fixture.loadStored();
		follow(FOLLOWED_MILLIS);
	}

	// Lists a worker with the address of the other one.
	private void overwriteEntry(UpstreamId worker) {
		WorkerInfo info = null;
		WorkerInfo other = null;
		for (FakeWorker candidate : this.fixture.workers) {
			info = candidate.id().equals(worker) ? candidate.info() : info;
			other = candidate.id().equals(worker) ? other : candidate.info();
		}
		this.fixture.otherEntries.add(withAddress(info, other.address()));
	}

	private static WorkerInfo withAddress(WorkerInfo info, InetSocketAddress address) {
		return new WorkerInfo(info.id(), info.incarnationMillis(), info.service(), address, info.dataCentre(),
				info.capacity(), info.labels(), info.draining());
	}

	private UpstreamId startLastingTask() {
		this.fixture.submitStoredLasting(1);
		this.fixture.advance(STEP_MILLIS);
		assertThat(this.fixture.starts).hasSize(1);
		return this.fixture.workerOfLastStart().id();
	}

	// Shows that the jobs of the next owner are served, on the worker that is listed.
	private void startsOnTheOtherWorker(UpstreamId worker) {
		this.fixture.submitStoredLasting(1);
		this.fixture.advance(STEP_MILLIS);
		assertThat(this.fixture.starts).hasSize(2);
		assertThat(this.fixture.workerOfLastStart().id()).isNotEqualTo(worker);
	}

	private Scheduler newScheduler(int hostNumber) {
		Scheduler scheduler = Scheduler.of(SchedulerSettings.of(hostNumber, 1000, 50, 2));
		scheduler.setOtherSchedulerPossible(false);
		read(scheduler);
		return scheduler;
	}

	private void read(Scheduler scheduler) {
		scheduler.workersListed(this.fixture.listedWorkers(), true, this.fixture.nowNanos);
		scheduler.workerListProven(this.fixture.nowNanos);
	}

	// Lets the present scheduler and the next one read the list at the usual interval.
	private void follow(long millis) {
		followWith(this.next, millis);
	}

	private void followWith(Scheduler other, long millis) {
		for (long passed = 0; passed < millis; passed += READ_INTERVAL_MILLIS) {
			this.fixture.advance(READ_INTERVAL_MILLIS);
			read(this.fixture.scheduler);
			read(other);
		}
	}

	// Replaces the owner of the stored jobs.
	private void handOverTo(Scheduler scheduler, int hostNumber) {
		read(scheduler);
		this.fixture.activate(scheduler, hostNumber);
		read(scheduler);
		this.fixture.loadStored();
		read(scheduler);
	}

}
