package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.SchedulingEffect.JobRefused;
import org.limpetgate.scheduling.SchedulingPolicy.RefusalKind;
import org.limpetgate.scheduling.WorkerReport.EndKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ProjectedRefusal} with workers of two slots whose orders and reports
 * take 1 ms.
 */
class ProjectedRefusalTests {

	private static final HostId HOST = HostId.of("10.0.0.1:1");

	private static final long MILLI = 1_000_000;

	private static final long START = TimeUnit.DAYS.toNanos(21_000);

	private static final Capacity TASK = new Capacity(8_000, 64, 0);

	/** The time within which a refusal is sent once the projection shows it. */
	private static final long REFUSAL_NANOS = 10 * MILLI;

	private long nowNanos = START;

	private final Map<UpstreamId, FakeWorker> workers = new HashMap<>();

	private final Set<UpstreamId> lostWorkers = new HashSet<>();

	/** The processor capacity in use, as far as the scheduler knows. */
	private final Map<UpstreamId, Integer> usedSlots = new HashMap<>();

	private final Map<UpstreamId, Long> suspectUntilNanos = new HashMap<>();

	private final Map<UpstreamId, SchedulingEffect.PollWorker> polls = new HashMap<>();

	private final Map<JobId, Long> durations = new HashMap<>();

	private final Set<JobId> started = new HashSet<>();

	private final List<JobRefused> refusals = new ArrayList<>();

	private final Map<JobId, JobOutcome> outcomes = new HashMap<>();

	private Scheduler scheduler;

	// --- refusal of single jobs

	/** Guards against a job that waits in vain until some time after its latest start. */
	@Example
	void jobThatCannotBeServedInTimeIsRefusedAtOnce() {
		activate(1, RefusalKind.PROJECTED);
		submit("long", 2, 2_000, 2_000);
		advance(20);
		submit("1", 1, 100, 100);
		advance(REFUSAL_NANOS / MILLI);
		assertThat(this.outcomes).containsEntry(JobId.of("1"), JobOutcome.REFUSED);
		JobRefused refused = this.refusals.get(0);
		assertThat(refused.reason()).isEqualTo(JobRefused.Reason.AT_ARRIVAL);
		assertThat(refused.projectedDelayNanos()).isGreaterThan(refused.limitNanos());
		assertThat(refused.retryAfterNanos()).isGreaterThanOrEqualTo(TimeUnit.SECONDS.toNanos(1));
	}

	/** Guards against a change of behaviour of deployments that do not choose it. */
	@Example
	void nothingIsProjectedByDefault() {
		activate(1, RefusalKind.LATEST_START);
		submit("long", 2, 2_000, 2_000);
		advance(20);
		submit("1", 1, 100, 100);
		advance(100);
		assertThat(this.outcomes).isEmpty();
		advance(400);
		assertThat(this.outcomes).containsEntry(JobId.of("1"), JobOutcome.REFUSED);
		assertThat(this.refusals).isEmpty();
		assertThat(this.scheduler.nextCheckNanos()).isEqualTo(Long.MAX_VALUE);
	}

	/** Guards against a refusal of a job for which capacity is released in time. */
	@Example
	void jobWaitsForARunThatEndsInTime() {
		activate(1, RefusalKind.PROJECTED);
		submit("first", 2, 80, 80);
		advance(5);
		submit("1", 1, 100, 100);
		advance(300);
		assertThat(this.outcomes).containsEntry(JobId.of("1"), JobOutcome.COMPLETED);
	}

	/** Guards against a displaced job that learns only later that it was displaced. */
	@Example
	void displacedJobIsRefusedAtOnce() {
		activate(1, RefusalKind.PROJECTED);
		submit("first", 2, 80, 80);
		advance(5);
		submit("1", 2, 100, 100);
		advance(20);
		assertThat(this.outcomes).isEmpty();
		for (int number = 0; number < 4; number++) {
			submit("urgent" + number, 2, 60, 60);
		}
		advance(REFUSAL_NANOS / MILLI);
		assertThat(this.outcomes).containsEntry(JobId.of("1"), JobOutcome.REFUSED);
		assertThat(this.refusals).filteredOn((refused) -> refused.job().value().equals("1"))
			.extracting(JobRefused::reason)
			.containsExactly(JobRefused.Reason.DISPLACED);
	}

	/**
	 * Guards against a refusal of callers that were delayed and would take any answer.
	 */
	@Example
	void jobThatWasDelayedBeforeItsSubmissionWaitsWhileALateAnswerIsOfUse() {
		activate(1, RefusalKind.PROJECTED);
		submit("first", 2, 150, 150);
		advance(5);
		submit("1", 1, 100, 100, 300, EarlierSubmission.NONE);
		advance(400);
		assertThat(this.outcomes).containsEntry(JobId.of("1"), JobOutcome.COMPLETED);
	}

	/** Guards against a delayed job that waits although no answer can be of use. */
	@Example
	void jobThatWasDelayedIsRefusedAtOnceIfNotEvenALateAnswerIsPossible() {
		activate(1, RefusalKind.PROJECTED);
		submit("first", 2, 2_000, 2_000);
		advance(5);
		submit("1", 1, 100, 100, 300, EarlierSubmission.NONE);
		advance(REFUSAL_NANOS / MILLI);
		assertThat(this.outcomes).containsEntry(JobId.of("1"), JobOutcome.REFUSED);
	}

	/** Guards against a refusal of a job that may have run. */
	@Example
	void resubmittedJobIsNotRefused() {
		activate(1, RefusalKind.PROJECTED);
		submit("first", 2, 2_000, 2_000);
		advance(20);
		submit("1", 1, 100, 100, 0, EarlierSubmission.heldFor(0));
		advance(1_000);
		assertThat(this.outcomes).doesNotContainEntry(JobId.of("1"), JobOutcome.REFUSED);
	}

	/**
	 * Guards against refusals while the capacity is not known, right after the start of a
	 * scheduler.
	 */
	@Example
	void nothingIsRefusedBeforeTheWorkersAreTakenOver() {
		activate(0, RefusalKind.PROJECTED);
		this.workers.putAll(newWorkers(4));
		this.lostWorkers.addAll(this.workers.keySet());
		listWorkers(this.workers.values().stream().map(FakeWorker::info).toList());
		for (int number = 0; number < 20; number++) {
			submit("j" + number, 1, 100, 100);
		}
		advance(40);
		assertThat(this.outcomes).isEmpty();
	}

	// --- failures

	/** Guards against jobs that wait in vain after a part of the capacity was lost. */
	@Example
	void lostWorkersLeadToRefusalsAtOnceAndReturnedOnesToNone() {
		activate(6, RefusalKind.PROJECTED);
		submit("first", 12, 100, 100);
		advance(10);
		for (int number = 0; number < 12; number++) {
			submit("j" + number, 1, 1_000, 1_000);
		}
		advance(20);
		assertThat(this.outcomes).isEmpty();
		loseWorkers(2);
		advance(REFUSAL_NANOS / MILLI);
		assertThat(this.refusals).hasSize(4).extracting(JobRefused::reason).containsOnly(JobRefused.Reason.DISPLACED);
		advance(1_250);
		assertThat(this.refusals).hasSize(4);
		assertThat(this.outcomes.keySet()
			.stream()
			.filter((job) -> this.outcomes.get(job) == JobOutcome.COMPLETED && job.value().startsWith("j"))).hasSize(8);
		advance(1_200);
		returnWorkers();
		advance(50);
		this.refusals.clear();
		submit("again", 12, 100, 100);
		advance(300);
		assertThat(this.outcomes).containsEntry(JobId.of("again"), JobOutcome.COMPLETED);
		assertThat(this.refusals).isEmpty();
	}

	/**
	 * Guards against runs that outlast their estimate and count as free at once, or as
	 * lost.
	 */
	@Example
	void jobBehindOverdueRunsIsRefusedOnlyOnceItsLimitIsNear() {
		activate(1, RefusalKind.PROJECTED);
		submit("first", 2, 100, 1_500);
		advance(100);
		submit("1", 1, 400, 400);
		advance(60);
		assertThat(this.outcomes).isEmpty();
		advance(600);
		assertThat(this.outcomes).containsEntry(JobId.of("1"), JobOutcome.REFUSED);
		assertThat(this.refusals.get(0).limitNanos()).isPositive();
	}

	// --- properties

	/**
	 * Guards against a refused job that has started or starts later, and against a
	 * refusal while a worker has enough free capacity.
	 */
	@Property(seed = "1", tries = 30)
	void refusedJobsNeverStartAndNoWorkerWasFreeForThem(@ForAll int seed) {
		Random random = new Random(seed);
		activate(1 + random.nextInt(6), RefusalKind.PROJECTED);
		double errorFactor = Math.exp(random.nextGaussian());
		for (int number = 0; number < 150; number++) {
			int millis = 20 + random.nextInt(200);
			submit("j" + number, 1 + random.nextInt(4), millis,
					(long) (millis * errorFactor * Math.exp(0.4 * random.nextGaussian())),
					(random.nextInt(8) == 0) ? 300 : 0, EarlierSubmission.NONE);
			advance(random.nextInt(25));
			if (number == 60) {
				loseWorkers(this.workers.size() / 3);
			}
			else if (number == 100) {
				returnWorkers();
			}
		}
		advance(3_000);
		this.refusals.forEach((refused) -> assertThat(this.started).doesNotContain(refused.job()));
		assertThat(this.outcomes).hasSize(150);
	}

	// --- driver

	private Map<UpstreamId, FakeWorker> newWorkers(int count) {
		Map<UpstreamId, FakeWorker> created = new HashMap<>();
		IntStream.range(0, count).forEach((number) -> {
			FakeWorker worker = new FakeWorker("w" + number, this.nowNanos - 60_000 * MILLI, 1, new NoObserver());
			created.put(worker.id(), worker);
		});
		return created;
	}

	private void activate(int count, RefusalKind refusal) {
		SchedulingPolicy policy = new SchedulingPolicy(SchedulingPolicy.DEFAULT.queueOrder(), refusal,
				SchedulingPolicy.DEFAULT.workerSpeeds(), 0);
		this.nowNanos = START;
		this.workers.clear();
		this.lostWorkers.clear();
		this.usedSlots.clear();
		this.suspectUntilNanos.clear();
		this.polls.clear();
		this.started.clear();
		this.refusals.clear();
		this.outcomes.clear();
		this.scheduler = Scheduler.of(SchedulerSettings.of(7, 1000, 50, 2).withPolicy(policy));
		this.workers.putAll(newWorkers(count));
		this.scheduler.workersListed(this.workers.values().stream().map(FakeWorker::info).toList(), true,
				this.nowNanos);
		this.scheduler.activate(FencingToken.create(this.nowNanos, 7, FencingToken.NONE), this.nowNanos);
		advance(10);
	}

	private void submit(String id, int tasks, long estimateMillis, long millis) {
		submit(id, tasks, estimateMillis, millis, 0, EarlierSubmission.NONE);
	}

	private void submit(String id, int tasks, long estimateMillis, long millis, long waitedMillis,
			EarlierSubmission earlier) {
		StepSpec step = new StepSpec(tasks, TASK, estimateMillis * MILLI, List.of(), "", "", 0);
		this.durations.put(JobId.of(id), millis * MILLI);
		// Durations are learned by queue, so jobs of other durations need another queue.
		String queue = id.startsWith("j") ? "j" : "q";
		this.scheduler.submit(HOST,
				new JobSpec(JobId.of(id), queue, "service", new QueueTerms(0, 2, 1.6, 60 * MILLI), "", List.of(step)),
				waitedMillis * MILLI, TimeUnit.SECONDS.toNanos(2), earlier, this.nowNanos);
		tick();
	}

	private void listWorkers(List<WorkerInfo> infos) {
		this.scheduler.workersListed(infos, true, this.nowNanos);
		tick();
	}

	private void loseWorkers(int count) {
		this.workers.keySet().stream().sorted().limit(count).forEach(this.lostWorkers::add);
		listPresentWorkers();
	}

	private void returnWorkers() {
		for (UpstreamId id : this.lostWorkers) {
			this.workers.get(id).restart(this.nowNanos);
			this.usedSlots.remove(id);
		}
		this.polls.keySet().removeAll(this.lostWorkers);
		this.lostWorkers.clear();
		listPresentWorkers();
	}

	private void listPresentWorkers() {
		listWorkers(this.workers.values()
			.stream()
			.filter((worker) -> !this.lostWorkers.contains(worker.id()))
			.map(FakeWorker::info)
			.toList());
	}

	private void advance(long millis) {
		for (long passed = 0; passed < millis; passed++) {
			this.nowNanos += MILLI;
			for (SchedulingEffect.PollWorker poll : List.copyOf(this.polls.values())) {
				answer(poll);
			}
			tick();
		}
	}

	private void answer(SchedulingEffect.PollWorker poll) {
		UpstreamId id = poll.worker().id();
		if (this.lostWorkers.contains(id)) {
			return;
		}
		WorkerReport report = this.workers.get(id).poll(poll, this.nowNanos);
		this.polls.remove(id);
		this.usedSlots.put(id, report.running().size());
		this.scheduler.reported(id, poll.sequence(), poll.token(), report, this.nowNanos);
	}

	private void tick() {
		List<SchedulingEffect> effects = new ArrayList<>();
		this.scheduler.tick(this.nowNanos, effects::add);
		effects.forEach(this::carryOut);
	}

	private void carryOut(SchedulingEffect effect) {
		if (effect instanceof SchedulingEffect.StartRun start) {
			JobId job = start.run().task().job();
			this.started.add(job);
			this.usedSlots.merge(start.worker().id(), 1, Integer::sum);
			if (!this.lostWorkers.contains(start.worker().id())) {
				StartAnswer answer = this.workers.get(start.worker().id())
					.start(start, TASK, this.durations.get(job), EndKind.DONE, this.nowNanos);
				this.scheduler.startAnswered(start, answer, this.nowNanos);
			}
		}
		else if (effect instanceof SchedulingEffect.StopRun stop) {
			if (stop.reason() == SchedulingEffect.StopRun.Reason.HANGING) {
				this.suspectUntilNanos.put(stop.worker().id(), this.nowNanos + TimeUnit.SECONDS.toNanos(3));
			}
			if (!this.lostWorkers.contains(stop.worker().id())) {
				boolean confirmed = this.workers.get(stop.worker().id()).stop(stop, this.nowNanos);
				this.scheduler.stopAnswered(stop.worker().id(), stop.run(), confirmed, this.nowNanos);
			}
		}
		else if (effect instanceof SchedulingEffect.PollWorker poll) {
			this.polls.put(poll.worker().id(), poll);
		}
		else if (effect instanceof JobRefused refused) {
			this.refusals.add(refused);
			assertThat(refused.sinceServableNanos()).isLessThanOrEqualTo(REFUSAL_NANOS);
			assertNoWorkerIsFree(refused);
		}
		else if (effect instanceof SchedulingEffect.JobEnded ended) {
			this.outcomes.put(ended.job(), ended.outcome());
		}
	}

	// A worker at which a run did not make progress takes further runs only while it is
	// idle, for some time.
	private boolean isSuspect(FakeWorker worker) {
		return this.nowNanos < this.suspectUntilNanos.getOrDefault(worker.id(), 0L);
	}

	private void assertNoWorkerIsFree(JobRefused refused) {
		if (refused.reason() == JobRefused.Reason.OF_NO_USE) {
			return;
		}
		for (FakeWorker worker : this.workers.values()) {
			if (!this.lostWorkers.contains(worker.id()) && this.usedSlots.containsKey(worker.id())) {
				assertThat(this.usedSlots.get(worker.id())).as("%s while %s", worker.id(), refused)
					.isGreaterThanOrEqualTo(isSuspect(worker) ? 1 : 2);
			}
		}
	}

	private static final class NoObserver implements FakeWorker.RunObserver {

		@Override
		public void started(FakeWorker worker, RunId run, long nowNanos) {
		}

		@Override
		public void ended(FakeWorker worker, RunId run, EndKind kind) {
		}

		@Override
		public void acknowledged(FakeWorker worker, RunId run) {
			// These tests do not check acknowledgements.
		}

	}

}
