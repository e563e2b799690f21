package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.BeforeTry;
import org.limpetgate.UpstreamId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Scheduler} with entries of workers that are wrong, and with processes
 * that replace others at their addresses.
 */
class WorkerEntryTests {

	/** Longer than a worker that left the list is kept. */
	private static final long FULL_LIST_MILLIS = 6100;

	private static final Set<String> NO_LABELS = Set.of();

	private WorkerFixture fixture;

	@BeforeTry
	void reset() {
		this.fixture = new WorkerFixture("w1", "w2");
	}

	// Submits a long job and returns the worker that runs its task.
	private FakeWorker startLong() {
		this.fixture.submitLong();
		this.fixture.advance(500);
		return this.fixture.workerOfLastStart();
	}

	private WorkerInfo entry(String id, String service, InetSocketAddress address) {
		WorkerInfo info = this.fixture.workers.get(0).info();
		return new WorkerInfo(UpstreamId.of(id), this.fixture.nowNanos / 1_000_000, service, address, info.dataCentre(),
				WorkerFixture.DEMAND, NO_LABELS, false);
	}

	private void list(WorkerInfo entry) {
		this.fixture.otherEntries.add(entry);
		this.fixture.listWorkers();
	}

	/**
	 * Guards against the tasks of a sound worker starting elsewhere because an entry of
	 * another writer has its address.
	 */
	@Example
	void entryWithTheAddressOfAWorkerEndsNoRun() {
		FakeWorker worker = startLong();
		list(entry("agent", "metrics", worker.address()));
		this.fixture.advance(500);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).hasSize(1);
		assertThat(this.fixture.refutedEntries).hasSize(1);
	}

	/** Guards against the same for an entry that is sound in each of its fields. */
	@Example
	void entryOfTheSameServiceWithTheAddressOfAWorkerEndsNoRun() {
		FakeWorker worker = startLong();
		list(entry("w9", "service", worker.address()));
		this.fixture.advance(500);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).hasSize(1);
	}

	/** Guards against a worker that is not used any more because of such an entry. */
	@Example
	void workerWhoseAddressAnotherEntryHasIsUsed() {
		list(entry("agent", "metrics", this.fixture.workers.get(0).address()));
		this.fixture.advance(100);
		this.fixture.submitLong();
		this.fixture.submitLong();
		this.fixture.advance(100);
		assertThat(this.fixture.starts).hasSize(2);
	}

	/**
	 * Guards against tasks that wait for the lease of a worker that has no process.
	 */
	@Example
	void entryWithTheAddressOfAWorkerDelaysNoResubmittedJob() {
		this.fixture.otherEntries.add(entry("agent", "metrics", this.fixture.workers.get(0).address()));
		this.fixture.activate(8, this.fixture.listedWorkers());
		this.fixture.advance(FULL_LIST_MILLIS);
		this.fixture.submit();
		this.fixture.activate(9, this.fixture.listedWorkers());
		this.fixture.advance(FULL_LIST_MILLIS);
		int before = this.fixture.starts.size();
		this.fixture.resubmit();
		this.fixture.advance(50);
		assertThat(this.fixture.starts).hasSize(before + 1);
	}

	/**
	 * Guards against the tasks of a sound worker starting elsewhere because its entry
	 * names a later incarnation that does not exist.
	 */
	@Example
	void entryWithALaterIncarnationEndsNoRun() {
		FakeWorker worker = startLong();
		list(entry(worker.id().value(), "service", worker.address()));
		this.fixture.advance(500);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).hasSize(1);
		this.fixture.otherEntries.clear();
		this.fixture.listWorkers();
		this.fixture.advance((int) TimeUnit.NANOSECONDS.toMillis(WorkerFixture.LONG_RUN_MILLIS * 1_000_000));
		assertThat(this.fixture.outcomes()).containsExactly(JobOutcome.COMPLETED);
		assertThat(this.fixture.starts).hasSize(1);
	}

	/**
	 * Guards against a worker that counts as lost because its entry has the address of no
	 * process.
	 */
	@Example
	void entryWithAnotherAddressMovesNoWorker() {
		FakeWorker worker = startLong();
		WorkerInfo info = worker.info();
		list(new WorkerInfo(info.id(), info.incarnationMillis(), "service", InetSocketAddress.createUnresolved("x", 1),
				info.dataCentre(), info.capacity(), info.labels(), false));
		this.fixture.advance(3000);
		assertThat(this.fixture.violations).isEmpty();
		assertThat(this.fixture.starts).hasSize(1);
	}

	/** Guards against tasks that start on a worker of another service. */
	@Example
	void entryWithAnotherServiceChangesNoWorker() {
		this.fixture.workers.forEach((worker) -> this.fixture.otherEntries
			.add(new WorkerInfo(worker.id(), worker.info().incarnationMillis(), "other", worker.address(),
					worker.info().dataCentre(), WorkerFixture.DEMAND, NO_LABELS, false)));
		this.fixture.listWorkers();
		this.fixture.submitLong();
		this.fixture.advance(100);
		assertThat(this.fixture.starts).hasSize(1);
	}

	/**
	 * Guards against a job that fails for crashes that only an entry of another writer
	 * shows.
	 */
	@Example
	void entryIsNoCrashOfASilentWorker() {
		FakeWorker worker = startLong();
		this.fixture.down.add(worker.id());
		this.fixture.advance(3000);
		assertThat(this.fixture.starts).hasSize(2);
		list(entry("agent", "metrics", worker.address()));
		this.fixture.otherEntries.add(entry(worker.id().value(), "service", worker.address()));
		this.fixture.listWorkers();
		this.fixture.advance(500);
		assertThat(this.fixture.crashes).isEmpty();
	}

	/**
	 * Guards against tasks that wait for the lease of a worker although another process
	 * answers at its address.
	 */
	@Example
	void runsOfAReplacedWorkerStartAgainAtOnce() {
		FakeWorker worker = startLong();
		this.fixture.replace(worker, "w3");
		this.fixture.listWorkers();
		this.fixture.advance(20);
		assertThat(this.fixture.starts).hasSize(2);
		assertThat(this.fixture.violations).isEmpty();
	}

	/** Guards against a successor that is not used while the former entry is listed. */
	@Example
	void successorAtTheAddressOfAWorkerIsUsed() {
		FakeWorker successor = this.fixture.replace(this.fixture.workers.get(0), "w3");
		this.fixture.listWorkers();
		this.fixture.advance(20);
		this.fixture.submitLong();
		this.fixture.submitLong();
		this.fixture.advance(20);
		assertThat(this.fixture.starts).hasSize(2).anyMatch((start) -> start.worker().id().equals(successor.id()));
	}

}
