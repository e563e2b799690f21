package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how long a run lasts after its host was last known to wait, if the worker was
 * idle before, so that the reading of its slow clock is old when the run starts.
 */
class StaleClockLeaseTests {

	private static final HostId HOST = HostId.of("10.0.0.1:1");

	private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1300);

	private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

	private static final long HEARTBEAT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(390);

	private final List<SchedulingEffect> effects = new ArrayList<>();

	private Scheduler scheduler;

	private FakeWorker worker;

	private long nowNanos;

	private boolean pollsLost;

	/**
	 * Guards against a first lease that a worker, of whose slow clock the last reading is
	 * seconds old, keeps beyond the limit of the run.
	 */
	@Example
	void firstRunOnAWorkerThatWasIdleEndsBeforeItsCallerRetries() {
		assertThat(millisFromLastHeartbeat(0.98)).isLessThan(TimeUnit.NANOSECONDS.toMillis(RETRY_NANOS));
	}

	/** Shows that the drift of the clock is the cause. */
	@Example
	void firstRunEndsBeforeItsCallerRetriesIfTheClockOfTheWorkerIsExact() {
		assertThat(millisFromLastHeartbeat(1)).isLessThan(TimeUnit.NANOSECONDS.toMillis(RETRY_NANOS));
	}

	private long millisFromLastHeartbeat(double clockRate) {
		this.nowNanos = TimeUnit.DAYS.toNanos(21_000);
		this.worker = new FakeWorker("w1", this.nowNanos - TimeUnit.MINUTES.toNanos(1), clockRate,
				new IgnoringObserver());
		this.scheduler = Scheduler.of(SchedulerSettings.of(7, 1000, 50, 2));
		this.scheduler.workersListed(List.of(this.worker.info()), true, this.nowNanos);
		this.scheduler.activate(FencingToken.create(this.nowNanos, 7, FencingToken.NONE), this.nowNanos);
		step();
		advance(TimeUnit.MILLISECONDS.toNanos(9_500));
		// The host was last heard shortly before its job starts, and never again.
		long heardNanos = this.nowNanos - HEARTBEAT_AGE_NANOS;
		this.scheduler.setOriginHeartbeats((origin, job, now) -> heardNanos);
		this.pollsLost = true;
		JobId job = JobId.of("job");
		StepSpec step = new StepSpec(1, new Capacity(1000, 64, 0), TimeUnit.MILLISECONDS.toNanos(50), List.of(), "", "",
				0);
		this.scheduler.submit(HOST, new JobSpec(job, "queue", "service",
				new QueueTerms(0, 3, 3, TimeUnit.SECONDS.toNanos(1)), "", List.of(step)), 0,
				TimeUnit.SECONDS.toNanos(5), EarlierSubmission.NONE, this.nowNanos);
		RunId run = new RunId(new TaskName(job, 0, 0, 0), 1);
		step();
		assertThat(this.worker.isRunning(run)).as("the run has started").isTrue();
		while (this.worker.isRunning(run)) {
			this.nowNanos += STEP_NANOS;
			this.worker.advance(this.nowNanos);
		}
		return TimeUnit.NANOSECONDS.toMillis(this.nowNanos - heardNanos);
	}

	private void advance(long nanos) {
		long endNanos = this.nowNanos + nanos;
		while (this.nowNanos < endNanos) {
			this.nowNanos += STEP_NANOS;
			step();
		}
	}

	private void step() {
		this.scheduler.tick(this.nowNanos, this.effects::add);
		List<SchedulingEffect> orders = List.copyOf(this.effects);
		this.effects.clear();
		for (SchedulingEffect order : orders) {
			if (order instanceof SchedulingEffect.StartRun start) {
				StartAnswer answer = this.worker.start(start, new Capacity(1000, 64, 0), TimeUnit.SECONDS.toNanos(20),
						EndKind.DONE, this.nowNanos);
				this.scheduler.startAnswered(start, answer, this.nowNanos);
			}
			else if (order instanceof SchedulingEffect.PollWorker poll && !this.pollsLost) {
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
