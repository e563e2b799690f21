package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.limpetgate.DataCentreId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link FinishTimePlacement} with a slow and a fast worker.
 */
class FinishTimePlacementTests {

	private static final long NOW = TimeUnit.DAYS.toNanos(21_000);

	private static final double WORK_NANOS = 760e6;

	private final RunTimeModel model = new RunTimeModel();

	private final FinishTimePlacement placement = new FinishTimePlacement(this.model, 2);

	private final WorkerEntity slow = worker("slow", 2.2);

	private final WorkerEntity fast = worker("fast", 0.7);

	@Example
	void longTaskIsPlacedOnTheFastWorker() {
		assertThat(choose()).isSameAs(this.fast);
	}

	/**
	 * Guards against a long task that starts on a worker that cannot complete it in time.
	 */
	@Example
	void longTaskWaitsForTheFastWorker() {
		occupy(this.fast);
		assertThat(choose()).isNull();
	}

	/**
	 * Guards against a task that waits for a draining worker, which is sent no new runs.
	 */
	@Example
	void taskDoesNotWaitForADrainingWorker() {
		WorkerInfo info = this.fast.info;
		this.fast.info = new WorkerInfo(info.id(), info.incarnationMillis(), info.service(), info.address(),
				info.dataCentre(), info.capacity(), info.labels(), true);
		assertThat(choose()).isSameAs(this.slow);
	}

	/** Guards against a task that waits for an unreachable worker. */
	@Example
	void taskDoesNotWaitForAWorkerThatIsNotOwned() {
		this.fast.ownership = WorkerEntity.Ownership.NOT_OWNED;
		assertThat(choose()).isSameAs(this.slow);
	}

	/** Guards against a late task that never starts. */
	@Example
	void lateTaskStartsOnTheSlowWorker() {
		occupy(this.fast);
		assertThat(choose(NOW + TimeUnit.SECONDS.toNanos(2))).isSameAs(this.slow);
	}

	private WorkerEntity choose() {
		return choose(NOW);
	}

	private WorkerEntity choose(long nowNanos) {
		QueueTerms terms = new QueueTerms(0, 2, 1.6, TimeUnit.MILLISECONDS.toNanos(60));
		StepSpec step = new StepSpec(1, new Capacity(6_800, 64, 0), 0, List.of(), "", "", 0);
		JobEntity job = new JobEntity(new JobSpec(JobId.of("1"), "q", "service", terms, "", List.of(step)), 0, NOW);
		job.objectiveEndNanos = NOW + terms.objectiveNanos(WORK_NANOS);
		return this.placement.choose(job.steps().get(0).get(0), WORK_NANOS, List.of(this.slow, this.fast), nowNanos);
	}

	private static void occupy(WorkerEntity worker) {
		QueueTerms terms = new QueueTerms(0, 2, 1.6, 0);
		StepSpec step = new StepSpec(1, worker.info.capacity(), 0, List.of(), "", "", 0);
		JobSpec spec = new JobSpec(JobId.of("other"), "q", "service", terms, "", List.of(step));
		TaskEntity task = new JobEntity(spec, 0, NOW).steps().get(0).get(0);
		worker.add(new RunEntity(new RunId(task.name(), 1), worker, step, task, NOW));
	}

	private static WorkerEntity worker(String id, double factor) {
		WorkerEntity worker = new WorkerEntity(
				new WorkerInfo(UpstreamId.of(id), 1, "service", InetSocketAddress.createUnresolved("w", 1),
						DataCentreId.of("dc"), FakeWorker.CAPACITY, Set.of("a"), false));
		worker.ownership = WorkerEntity.Ownership.OWNED;
		for (int sample = 0; sample < 20; sample++) {
			worker.durationRatio.add(factor);
		}
		return worker;
	}

}
