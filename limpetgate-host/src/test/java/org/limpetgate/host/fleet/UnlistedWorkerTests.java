package org.limpetgate.host.fleet;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.Capacity;
import org.limpetgate.scheduling.JobOutcome;
import org.limpetgate.scheduling.JobSpec;
import org.limpetgate.scheduling.QueueTerms;
import org.limpetgate.scheduling.StepSpec;
import org.limpetgate.scheduling.WorkerInfo;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link FleetHost}s of which one becomes the scheduler without knowing a worker
 * that the earlier scheduler has used.
 */
class UnlistedWorkerTests {

	private static final long TASK_MILLIS = 3000;

	/** The entry host is the next scheduler if the first one is lost. */
	private static final int LARGER_THAN_THIRD = 700;

	private static final int WORKERS = 4;

	/** A host trusts a list that it has had for 6 s. */
	private static final long LIST_HISTORY_MILLIS = 6_500;

	/** Outlasts the time for which a host remembers a worker that left the list. */
	private static final long LONG_TASK_MILLIS = 12_000;

	/** A host that does not schedule reads the list at this interval. */
	private static final long READ_INTERVAL_MILLIS = 1_000;

	/** Within this time another host schedules and all leases have ended. */
	private static final long HANDOVER_MILLIS = 3_000;

	private static final Duration PATIENCE = Duration.ofSeconds(10);

	private static final UpstreamId NEW_WORKER = UpstreamId.of("new");

	/**
	 * Guards against tasks that start again while they run on a worker that registered
	 * after the last read of the next scheduler (incident TWICE on kauri-cards).
	 */
	@Example
	void tasksOnAWorkerThatTheNextSchedulerHasNotReadAreAdopted() {
		try (TestFleet fleet = TestFleet.start(TASK_MILLIS, LARGER_THAN_THIRD)) {
			CompletableFuture<JobAnswer> answer = loseSchedulerWithRunsOnANewWorker(fleet);
			assertThat(answer).succeedsWithin(PATIENCE)
				.satisfies((result) -> assertThat(result.outcome()).isEqualTo(JobOutcome.COMPLETED));
			assertThat(fleet.workers().overlaps()).as("overlaps; log:%n%s", fleet.log()).isEmpty();
			assertThat(fleet.log()).contains("proof=REPORTS");
			assertThat(fleet.workers().starts()).as("starts; log:%n%s", fleet.log()).hasSize(2 * WORKERS + 2);
		}
	}

	/**
	 * Guards against the same while the store refuses the next scheduler, which has to
	 * wait until the leases have ended.
	 */
	@Example
	void tasksOnAWorkerThatTheNextSchedulerCannotReadStartAgainOnlyAfterTheirLeases() {
		try (TestFleet fleet = TestFleet.start(TASK_MILLIS, LARGER_THAN_THIRD)) {
			fleet.entry().setStoreAway();
			CompletableFuture<JobAnswer> answer = loseSchedulerWithRunsOnANewWorker(fleet);
			assertThat(answer).succeedsWithin(PATIENCE)
				.satisfies((result) -> assertThat(result.outcome()).isEqualTo(JobOutcome.COMPLETED));
			assertThat(fleet.workers().overlaps()).as("overlaps; log:%n%s", fleet.log()).isEmpty();
			assertThat(fleet.log()).contains("HANDOVER_SETTLED", "proof=LEASES");
		}
	}

	/**
	 * Guards against tasks that start again while they run on a worker whose entry
	 * expired longer ago than a host remembers workers. The scheduler that uses the
	 * worker renews its lease all along.
	 */
	@Example
	void tasksOnAWorkerWhoseEntryExpiredLongAgoDoNotRunTwiceAtOnce() {
		try (TestFleet fleet = TestFleet.start(LONG_TASK_MILLIS, LARGER_THAN_THIRD)) {
			List<WorkerInfo> others = fleet.workers().infos();
			CompletableFuture<JobAnswer> filling = submit(fleet, "1", 2 * WORKERS);
			TestFleet.await(PATIENCE, () -> fleet.workers().starts().size() == 2 * WORKERS);
			fleet.workers().add(NEW_WORKER.value(), TestFleet.FIRST_DATA_CENTRE);
			fleet.scheduler().listWorkers(fleet.workers().infos());
			fleet.entry().listWorkers(fleet.workers().infos());
			submit(fleet, "2", 2);
			TestFleet.await(PATIENCE, () -> startsOnNewWorker(fleet) == 2);
			fleet.entry().disconnect(filling);
			fleet.scheduler().listWorkers(others);
			followList(fleet, others);
			assertThat(fleet.workers().presentRuns(job("2", 2).id())).as("present runs; log:%n%s", fleet.log())
				.hasSize(2);
			// A host that is killed sends no stops.
			fleet.scheduler().orders().loseStops();
			fleet.end(fleet.scheduler());
			TestFleet.sleep(HANDOVER_MILLIS);
			assertThat(fleet.workers().overlaps()).as("overlaps; log:%n%s", fleet.log()).isEmpty();
		}
	}

	// Returns the answer to a job whose two tasks run on a new worker, which only the
	// lost
	// scheduler knows, while the other workers are idle.
	private static CompletableFuture<JobAnswer> loseSchedulerWithRunsOnANewWorker(TestFleet fleet) {
		followList(fleet, fleet.workers().infos());
		CompletableFuture<JobAnswer> filling = submit(fleet, "1", 2 * WORKERS);
		TestFleet.await(PATIENCE, () -> fleet.workers().starts().size() == 2 * WORKERS);
		fleet.workers().add(NEW_WORKER.value(), TestFleet.FIRST_DATA_CENTRE);
		fleet.scheduler().listWorkers(fleet.workers().infos());
		fleet.entry().storeWorkers(fleet.workers().infos());
		CompletableFuture<JobAnswer> answer = submit(fleet, "2", 2);
		TestFleet.await(PATIENCE, () -> startsOnNewWorker(fleet) == 2);
		assertThat(startsOnNewWorker(fleet)).as("log:%n%s", fleet.log()).isEqualTo(2);
		fleet.entry().disconnect(filling);
		TestFleet.await(PATIENCE, () -> fleet.workers().presentRuns(job("1", 1).id()).isEmpty());
		// A host that is killed sends no stops.
		fleet.scheduler().orders().loseStops();
		fleet.end(fleet.scheduler());
		return answer;
	}

	// Lets both schedulers read an unchanged list until the next one may trust it.
	private static void followList(TestFleet fleet, List<WorkerInfo> listed) {
		for (long passed = 0; passed < LIST_HISTORY_MILLIS; passed += READ_INTERVAL_MILLIS) {
			fleet.scheduler().listWorkers(listed);
			fleet.entry().listWorkers(listed);
			TestFleet.sleep(READ_INTERVAL_MILLIS);
		}
	}

	private static long startsOnNewWorker(TestFleet fleet) {
		return fleet.workers().starts().stream().filter((start) -> start.worker().equals(NEW_WORKER)).count();
	}

	private static CompletableFuture<JobAnswer> submit(TestFleet fleet, String id, int tasks) {
		return fleet.entry().submit(job(id, tasks), PATIENCE.toNanos());
	}

	// Returns a job whose tasks each need half a worker.
	private static JobSpec job(String id, int tasks) {
		Capacity half = new Capacity(FakeWorker.CAPACITY.cpuMillis() / 2, 1, 0);
		StepSpec step = new StepSpec(tasks, half, TimeUnit.MILLISECONDS.toNanos(TASK_MILLIS), List.of(), "", "", 0);
		return new JobSpec(JobId.of(id), "queue", "service", new QueueTerms(0, 3, 3, TimeUnit.SECONDS.toNanos(30)), "",
				List.of(step));
	}

}
