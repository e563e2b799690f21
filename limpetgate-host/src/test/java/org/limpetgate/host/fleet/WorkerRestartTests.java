package org.limpetgate.host.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Set;
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

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link FleetHost}s whose workers start again under their ids.
 */
class WorkerRestartTests {

	private static final int TASKS = 2;

	private static final long TASK_MILLIS = 500;

	/** The entry host is not the next scheduler. */
	private static final int SMALLER_THAN_THIRD = 300;

	private static final Duration CALLER_PATIENCE = Duration.ofSeconds(12);

	/** The first one of equal workers is chosen. */
	private static final UpstreamId WORKER = UpstreamId.of("first-1");

	private static final JobId JOB = JobId.of("0123456789abcdef");

	/**
	 * Guards against a second run while the next incarnation of a worker executes the
	 * first one, because the list shows the restart only after the order (incident TWICE,
	 * SHORT).
	 */
	@Example
	void runThatTheNextIncarnationStartedIsNotStartedElsewhere() {
		try (TestFleet fleet = TestFleet.start(TASK_MILLIS, SMALLER_THAN_THIRD)) {
			fleet.workers().restart(WORKER);
			CompletableFuture<JobAnswer> answer = submit(fleet);
			awaitStarts(fleet);
			fleet.scheduler().listWorkers(fleet.workers().infos());
			assertRunsOnceAndCompletes(fleet, answer);
		}
	}

	/** Guards against a job that is lost with the workers that ran it. */
	@Example
	void runThatEndedWithItsWorkerIsStartedAgain() {
		try (TestFleet fleet = TestFleet.start(TASK_MILLIS, SMALLER_THAN_THIRD)) {
			CompletableFuture<JobAnswer> answer = submit(fleet);
			awaitStarts(fleet);
			fleet.workers().restart(WORKER);
			fleet.scheduler().listWorkers(fleet.workers().infos());
			assertRunsOnceAndCompletes(fleet, answer);
		}
	}

	// The other workers stay free, so that the tasks could start there.
	private static void awaitStarts(TestFleet fleet) {
		assertThat(TestFleet.await(CALLER_PATIENCE, () -> fleet.workers().starts().size() == TASKS))
			.as("starts; log:%n%s", fleet.log())
			.isTrue();
		assertThat(fleet.workers().starts()).extracting(FakeWorkers.Start::worker).containsOnly(WORKER);
	}

	private static CompletableFuture<JobAnswer> submit(TestFleet fleet) {
		QueueTerms terms = new QueueTerms(0, 3, 10, TimeUnit.SECONDS.toNanos(60));
		StepSpec step = new StepSpec(TASKS, new Capacity(4000, 1024, 0), TimeUnit.MILLISECONDS.toNanos(TASK_MILLIS),
				List.of(), "", "", 0, 0, Set.of());
		JobSpec job = new JobSpec(JOB, "queue", "service", terms, "payload", List.of(step));
		return fleet.entry().submit(job, CALLER_PATIENCE.toNanos());
	}

	private static void assertRunsOnceAndCompletes(TestFleet fleet, CompletableFuture<JobAnswer> answer) {
		TestFleet.await(CALLER_PATIENCE, () -> answer.isDone() || !fleet.workers().overlaps().isEmpty());
		assertThat(fleet.workers().overlaps()).as("two runs at the same time; log:%n%s", fleet.log()).isEmpty();
		assertThat(answer).as("answer; log:%n%s", fleet.log()).isCompleted();
		assertThat(answer.join().outcome()).as("answer; log:%n%s", fleet.log()).isEqualTo(JobOutcome.COMPLETED);
		assertThat(fleet.workers().doneTasks(JOB)).as("done tasks").isEqualTo(TASKS);
	}

}
