package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.BeforeTry;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of orders for a worker that starts again under its id. The next incarnation
 * carries out what reaches it before the scheduler knows of it.
 */
class ReusedWorkerIdTests {

	private static final HostId HOST = HostId.of("10.0.0.1:1");

	private static final long MILLI = 1_000_000;

	private static final long RUN_MILLIS = 100;

	private static final long STEP_MILLIS = 1;

	/** One task needs a whole worker. */
	private static final Capacity DEMAND = FakeWorker.CAPACITY;

	private final List<FakeWorker> workers = new ArrayList<>();

	private final List<SchedulingEffect.StartRun> starts = new ArrayList<>();

	private final List<JobOutcome> outcomes = new ArrayList<>();

	private final List<String> violations = new ArrayList<>();

	private Scheduler scheduler;

	private JobSpec lastJob;

	private int longJobs;

	private long nowNanos;

	/** Whether the answers of starts are lost. */
	private boolean startAnswersLost;

	/** Whether starts are lost. */
	private boolean startsLost;

	/** Whether polls are not answered. */
	private boolean pollsLost;

	@BeforeTry
	void reset() {
		this.workers.clear();
		this.starts.clear();
		this.outcomes.clear();
		this.violations.clear();
		this.longJobs = 0;
		this.startAnswersLost = false;
		this.startsLost = false;
		this.pollsLost = false;
		this.nowNanos = TimeUnit.DAYS.toNanos(21_000);
		RunChecks checks = new RunChecks(this.workers, (job, text) -> this.violations.add(text));
		for (String id : List.of("w1", "w2")) {
			this.workers.add(new FakeWorker(id, this.nowNanos - TimeUnit.MINUTES.toNanos(1), 1, checks));
		}
		this.scheduler = Scheduler.of(SchedulerSettings.of(7, 1000, 50, 2));
		listWorkers();
		this.scheduler.activate(FencingToken.create(this.nowNanos, 7, FencingToken.NONE), this.nowNanos);
		advance(10);
	}

	/**
	 * Guards against a task that starts again although the next incarnation of its worker
	 * runs it, as in the incident of docs/incidents/twice-new-incarnation.md.
	 */
	@Example
	void runThatTheNextIncarnationStartedIsNotStartedElsewhere() {
		FakeWorker worker = startOnNextIncarnation();
		listWorkers();
		advance(RUN_MILLIS / 2);
		assertThat(worker.used()).isEqualTo(DEMAND);
		advance(RUN_MILLIS);
		assertThat(this.violations).isEmpty();
		assertThat(this.starts).hasSize(1);
		assertThat(this.outcomes).containsExactly(JobOutcome.COMPLETED);
	}

	/**
	 * Guards against a task that starts again while a start whose answer is lost runs on
	 * the next incarnation of its worker.
	 */
	@Example
	void unansweredStartOnTheNextIncarnationIsNotRunElsewhere() {
		FakeWorker worker = restartIdleWorker();
		this.startAnswersLost = true;
		submit();
		advance(2);
		this.startAnswersLost = false;
		assertThat(workerOfLastStart()).isSameAs(worker);
		listWorkers();
		advance(2 * RUN_MILLIS);
		assertThat(this.violations).isEmpty();
		assertThat(this.outcomes).containsExactly(JobOutcome.COMPLETED);
	}

	/**
	 * Guards against a report of the next incarnation that is thrown away with the end
	 * that it lists.
	 */
	@Example
	void endOnTheNextIncarnationCountsAlthoughThatIsNotListedYet() {
		startOnNextIncarnation();
		advance(2 * RUN_MILLIS);
		assertThat(this.violations).isEmpty();
		assertThat(this.starts).hasSize(1);
		assertThat(this.outcomes).containsExactly(JobOutcome.COMPLETED);
	}

	/**
	 * Guards against ends of the next incarnation that are acknowledged, and so
	 * discarded, before the scheduler has seen them.
	 */
	@Example
	void endOnTheNextIncarnationIsNotAcknowledgedUnseen() {
		startOnNextIncarnation();
		this.pollsLost = true;
		advance(RUN_MILLIS + 50);
		this.pollsLost = false;
		advance(2 * RUN_MILLIS);
		assertThat(this.violations).isEmpty();
		assertThat(this.starts).hasSize(1);
		assertThat(this.outcomes).containsExactly(JobOutcome.COMPLETED);
	}

	/**
	 * Guards against a task that waits for the lease of the former incarnation although
	 * the next one, under a later token, shows that the order was not carried out.
	 */
	@Example
	void orderThatNoIncarnationCarriedOutIsSettledByTheReportOfTheNextOne() {
		this.startsLost = true;
		submit();
		advance(2);
		this.startsLost = false;
		FakeWorker worker = workerOfLastStart();
		worker.restart(this.nowNanos);
		listWorkers();
		advance(10);
		assertThat(this.starts).hasSize(2);
		advance(2 * RUN_MILLIS);
		assertThat(this.violations).isEmpty();
		assertThat(this.outcomes).containsExactly(JobOutcome.COMPLETED);
	}

	/**
	 * Guards against a run that is kept although it ended with the incarnation that
	 * reported it.
	 */
	@Example
	void runThatTheFormerIncarnationReportedStartsAgainAtOnce() {
		submitLong();
		advance(500);
		FakeWorker worker = workerOfLastStart();
		int before = this.starts.size();
		worker.restart(this.nowNanos);
		listWorkers();
		advance(2);
		assertThat(this.starts).hasSize(before + 1);
		assertThat(this.violations).isEmpty();
	}

	/**
	 * Guards against a scheduler whose list of workers is older than the incarnation that
	 * it takes over.
	 */
	@Example
	void runOnAnIncarnationThatIsNotListedYetIsAdoptedByANewScheduler() {
		List<WorkerInfo> oldList = this.workers.stream().map(FakeWorker::info).toList();
		FakeWorker worker = startOnNextIncarnation();
		this.scheduler = Scheduler.of(SchedulerSettings.of(8, 1000, 50, 2));
		this.scheduler.workersListed(oldList, true, this.nowNanos);
		this.scheduler.activate(FencingToken.create(this.nowNanos, 8, FencingToken.NONE), this.nowNanos);
		this.scheduler.submit(HOST, this.lastJob, 0, TimeUnit.SECONDS.toNanos(5), EarlierSubmission.heldFor(0),
				this.nowNanos);
		advance(RUN_MILLIS / 2);
		this.scheduler.workersListed(oldList, true, this.nowNanos);
		advance(2 * RUN_MILLIS);
		assertThat(worker.used()).isEqualTo(Capacity.NONE);
		assertThat(this.violations).isEmpty();
		assertThat(this.starts).hasSize(1);
		assertThat(this.outcomes).containsExactly(JobOutcome.COMPLETED);
	}

	/**
	 * Guards against runs that are placed by the capacity of a former incarnation, which
	 * may have been of another kind.
	 */
	@Example
	void nothingStartsOnANextIncarnationThatIsNotListedYet() {
		FakeWorker worker = startOnNextIncarnation();
		advance(2 * RUN_MILLIS);
		submitLong();
		submitLong();
		advance(100);
		assertThat(this.starts).hasSize(2);
		assertThat(workerOfLastStart()).isNotSameAs(worker);
		listWorkers();
		advance(10);
		assertThat(this.starts).hasSize(3);
		assertThat(this.violations).isEmpty();
	}

	// Begins the next incarnation of a worker that has run a task, whose end was
	// acknowledged, and has been idle since.
	private FakeWorker restartIdleWorker() {
		submit();
		advance(2 * RUN_MILLIS);
		assertThat(this.outcomes).containsExactly(JobOutcome.COMPLETED);
		FakeWorker worker = workerOfLastStart();
		this.outcomes.clear();
		this.starts.clear();
		worker.restart(this.nowNanos);
		advance(50);
		return worker;
	}

	private FakeWorker startOnNextIncarnation() {
		FakeWorker worker = restartIdleWorker();
		submit();
		advance(2);
		assertThat(this.starts).hasSize(1);
		assertThat(workerOfLastStart()).isSameAs(worker);
		return worker;
	}

	private FakeWorker workerOfLastStart() {
		return worker(this.starts.get(this.starts.size() - 1).worker());
	}

	private FakeWorker worker(WorkerInfo info) {
		return this.workers.stream().filter((worker) -> worker.id().equals(info.id())).findFirst().orElseThrow();
	}

	private void listWorkers() {
		this.scheduler.workersListed(this.workers.stream().map(FakeWorker::info).toList(), true, this.nowNanos);
	}

	private void submit() {
		submit(job(Long.toString(this.nowNanos), RUN_MILLIS));
	}

	private void submitLong() {
		submit(job("long" + this.longJobs++, TimeUnit.SECONDS.toMillis(10)));
	}

	private void submit(JobSpec job) {
		this.lastJob = job;
		this.scheduler.submit(HOST, job, 0, TimeUnit.SECONDS.toNanos(30), EarlierSubmission.NONE, this.nowNanos);
	}

	private static JobSpec job(String id, long runMillis) {
		StepSpec step = new StepSpec(1, DEMAND, runMillis * MILLI, List.of(), "", "", 0);
		return new JobSpec(JobId.of(id), "queue", "service", new QueueTerms(0, 3, 3, TimeUnit.SECONDS.toNanos(30)), "",
				List.of(step));
	}

	private void advance(long millis) {
		for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
			this.nowNanos += STEP_MILLIS * MILLI;
			List<SchedulingEffect> effects = new ArrayList<>();
			this.scheduler.tick(this.nowNanos, effects::add);
			effects.forEach(this::execute);
		}
	}

	private void execute(SchedulingEffect effect) {
		if (effect instanceof SchedulingEffect.StartRun start) {
			start(start);
		}
		else if (effect instanceof SchedulingEffect.StopRun stop) {
			boolean confirmed = worker(stop.worker()).stop(stop, this.nowNanos);
			this.scheduler.stopAnswered(stop.worker().id(), stop.run(), confirmed, this.nowNanos);
		}
		else if (effect instanceof SchedulingEffect.PollWorker poll) {
			poll(poll);
		}
		else if (effect instanceof SchedulingEffect.JobEnded ended) {
			this.outcomes.add(ended.outcome());
		}
	}

	private void start(SchedulingEffect.StartRun start) {
		this.starts.add(start);
		StartAnswer answer = this.startsLost ? StartAnswer.UNKNOWN
				: worker(start.worker()).start(start, DEMAND, durationNanos(start), EndKind.DONE, this.nowNanos);
		this.scheduler.startAnswered(start.worker().id(), start.run(),
				this.startAnswersLost ? StartAnswer.UNKNOWN : answer, this.nowNanos);
	}

	private static long durationNanos(SchedulingEffect.StartRun start) {
		boolean isLong = start.run().task().job().value().startsWith("long");
		return isLong ? TimeUnit.SECONDS.toNanos(10) : RUN_MILLIS * MILLI;
	}

	private void poll(SchedulingEffect.PollWorker poll) {
		WorkerReport report = worker(poll.worker()).poll(poll, this.nowNanos);
		if (this.pollsLost || report == null) {
			this.scheduler.pollFailed(poll.worker().id(), poll.sequence(), poll.token(),
					this.pollsLost ? PollFailure.NO_ANSWER : PollFailure.FENCED, this.nowNanos);
			return;
		}
		this.scheduler.reported(poll.worker().id(), poll.sequence(), poll.token(), report, this.nowNanos);
	}

}
