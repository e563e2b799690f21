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
 * Tests of how long a run stays present after its job was withdrawn, on a worker that
 * receives starts and polls but no stops.
 */
class WithdrawnRunTests {

	private static final HostId HOST = HostId.of("10.0.0.1:1");

	/** The time after which a caller whose connection broke sends its job again. */
	private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1300);

	private static final long LONG_RUN_NANOS = TimeUnit.SECONDS.toNanos(20);

	private static final long OTHER_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	private static final long OTHER_JOB_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

	private static final long CALLER_WAIT_NANOS = TimeUnit.SECONDS.toNanos(5);

	private static final JobId WITHDRAWN_JOB = JobId.of("withdrawn");

	/** The slowest clock that a worker may have. */
	private static final double CLOCK_RATE = 0.98;

	private final List<SchedulingEffect> effects = new ArrayList<>();

	private Scheduler scheduler;

	private FakeWorker worker;

	private long nowNanos;

	private int otherJobs;

	@BeforeTry
	void reset() {
		this.effects.clear();
		this.otherJobs = 0;
		this.nowNanos = TimeUnit.DAYS.toNanos(21_000);
		this.worker = new FakeWorker("w1", this.nowNanos - TimeUnit.MINUTES.toNanos(1), CLOCK_RATE,
				new IgnoringObserver());
		this.scheduler = Scheduler.of(SchedulerSettings.of(7, 1000, 50, 2));
		this.scheduler.workersListed(List.of(this.worker.info()), true, this.nowNanos);
		this.scheduler.activate(FencingToken.create(this.nowNanos, 7, FencingToken.NONE), this.nowNanos);
		step();
	}

	/**
	 * Guards against a run that outlives its withdrawal because starts of other jobs
	 * prolong the lease of its worker, so that the retry of its caller runs beside it.
	 */
	@Example
	void startsOfOtherJobsDoNotKeepAWithdrawnRunBeyondTheRetryOfItsCaller() {
		assertThat(millisUntilWithdrawnRunEnds(true)).isLessThan(TimeUnit.NANOSECONDS.toMillis(RETRY_NANOS));
	}

	/**
	 * Guards against a run that outlives its withdrawal because polls renew the lease of
	 * its worker, whose stops are lost.
	 */
	@Example
	void pollsDoNotKeepAWithdrawnRunBeyondTheRetryOfItsCaller() {
		assertThat(millisUntilWithdrawnRunEnds(false)).isLessThan(TimeUnit.NANOSECONDS.toMillis(RETRY_NANOS));
	}

	/**
	 * Guards against a job that starts although its host is not known to wait for it.
	 */
	@Example
	void jobOfAHostThatIsNotKnownToWaitDoesNotStart() {
		this.scheduler.setOriginHeartbeats((origin, job, now) -> 0);
		submit(WITHDRAWN_JOB);
		advance(CALLER_WAIT_NANOS, false);
		assertThat(this.worker.used()).isEqualTo(Capacity.NONE);
	}

	private long millisUntilWithdrawnRunEnds(boolean withOtherJobs) {
		submit(WITHDRAWN_JOB);
		advance(TimeUnit.SECONDS.toNanos(3), withOtherJobs);
		RunId run = new RunId(new TaskName(WITHDRAWN_JOB, 0, 0, 0), 1);
		assertThat(this.worker.isRunning(run)).as("the run has started").isTrue();
		long withdrawnNanos = this.nowNanos;
		this.scheduler.withdraw(HOST, WITHDRAWN_JOB, this.nowNanos);
		while (this.worker.isRunning(run) && this.nowNanos - withdrawnNanos < 2 * RETRY_NANOS) {
			advance(STEP_NANOS, withOtherJobs);
		}
		return TimeUnit.NANOSECONDS.toMillis(this.nowNanos - withdrawnNanos);
	}

	private void advance(long nanos, boolean withOtherJobs) {
		long endNanos = this.nowNanos + nanos;
		while (this.nowNanos < endNanos) {
			this.nowNanos += STEP_NANOS;
			if (withOtherJobs && this.nowNanos % OTHER_JOB_INTERVAL_NANOS < STEP_NANOS) {
				submit(JobId.of("other" + this.otherJobs++));
			}
			step();
		}
	}

	private void submit(JobId id) {
		StepSpec step = new StepSpec(1, new Capacity(1000, 64, 0), OTHER_RUN_NANOS, List.of(), "", "", 0);
		JobSpec spec = new JobSpec(id, "queue", "service", new QueueTerms(0, 3, 3, TimeUnit.SECONDS.toNanos(1)), "",
				List.of(step));
		this.scheduler.submit(HOST, spec, 0, CALLER_WAIT_NANOS, EarlierSubmission.NONE, this.nowNanos);
	}

	// Carries out the orders of the scheduler, apart from stops, which are lost.
	private void step() {
		this.scheduler.tick(this.nowNanos, this.effects::add);
		List<SchedulingEffect> orders = List.copyOf(this.effects);
		this.effects.clear();
		for (SchedulingEffect order : orders) {
			if (order instanceof SchedulingEffect.StartRun start) {
				boolean withdrawn = start.run().task().job().equals(WITHDRAWN_JOB);
				StartAnswer answer = this.worker.start(start, new Capacity(1000, 64, 0),
						withdrawn ? LONG_RUN_NANOS : OTHER_RUN_NANOS, EndKind.DONE, this.nowNanos);
				this.scheduler.startAnswered(start, answer, this.nowNanos);
			}
			else if (order instanceof SchedulingEffect.PollWorker poll) {
				WorkerReport report = this.worker.poll(poll, this.nowNanos);
				this.scheduler.reported(poll.worker().id(), poll.sequence(), poll.token(), report, this.nowNanos);
			}
		}
	}

	private static final class IgnoringObserver implements FakeWorker.RunObserver {

		@Override
		public void started(FakeWorker worker, RunId run, long nowNanos) {
		}

		@Override
		public void ended(FakeWorker worker, RunId run, EndKind kind) {
		}

		@Override
		public void acknowledged(FakeWorker worker, RunId run) {
		}

	}

}
