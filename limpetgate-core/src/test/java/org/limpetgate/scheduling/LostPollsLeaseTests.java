package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that two lost polls in a row do not let the lease of a worker expire, as
 * {@link SchedulerSettings} promises, while the host of its runs is heard in time.
 */
class LostPollsLeaseTests {

	private static final HostId HOST = HostId.of("10.0.0.1:1");

	private static final HostId SLOW_HOST = HostId.of("10.0.0.2:1");

	private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

	private static final long LATENCY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	/** The time-out of an order beside the wait of a poll. */
	private static final long ORDER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	private final TreeMap<Long, List<Runnable>> events = new TreeMap<>();

	private Scheduler scheduler;

	private FakeWorker worker;

	private long nowNanos;

	private int pollsToLose;

	/** How old what the slow host has last shown is, in nanoseconds. */
	private long slowAgeNanos;

	/** Guards against leases so short that two lost polls end all runs on a worker. */
	@Example
	void twoLostPollsDoNotLetTheLeaseExpire() {
		begin();
		RunId run = submit(HOST, "job");
		advance(TimeUnit.SECONDS.toNanos(2));
		assertThat(this.worker.isRunning(run)).as("the run has started").isTrue();
		this.pollsToLose = 2;
		advance(TimeUnit.SECONDS.toNanos(3));
		assertThat(this.pollsToLose).isZero();
		assertThat(this.worker.isRunning(run)).as("the run is present").isTrue();
	}

	/**
	 * Guards against a run that ends with one lost poll because another run on its worker
	 * belongs to a host that is heard late, but within the 0.7 s that a link bears.
	 */
	@Example
	void oneLostPollDoesNotEndTheNeighbourOfARunWhoseHostIsHeardLate() {
		begin();
		RunId healthy = submit(HOST, "healthy");
		RunId late = submit(SLOW_HOST, "late");
		advance(TimeUnit.SECONDS.toNanos(1));
		this.slowAgeNanos = TimeUnit.MILLISECONDS.toNanos(660);
		advance(TimeUnit.SECONDS.toNanos(2));
		assertThat(this.worker.isRunning(healthy)).as("the run has started").isTrue();
		assertThat(this.worker.isRunning(late)).as("the other run has started").isTrue();
		this.pollsToLose = 1;
		advance(TimeUnit.SECONDS.toNanos(3));
		assertThat(this.worker.isRunning(healthy)).as("the run is present").isTrue();
	}

	/** Shows that the late host is the cause. */
	@Example
	void oneLostPollDoesNotEndARunWithoutSuchANeighbour() {
		begin();
		RunId healthy = submit(HOST, "healthy");
		advance(TimeUnit.SECONDS.toNanos(3));
		this.pollsToLose = 1;
		advance(TimeUnit.SECONDS.toNanos(3));
		assertThat(this.worker.isRunning(healthy)).as("the run is present").isTrue();
	}

	/**
	 * Guards against a job that never starts because its host is always heard later than
	 * 0.4 s, but within the 0.7 s that a link bears.
	 */
	@Example
	void jobOfAHostThatIsHeardLateStarts() {
		begin();
		this.slowAgeNanos = TimeUnit.MILLISECONDS.toNanos(450);
		RunId run = submit(SLOW_HOST, "late");
		advance(TimeUnit.SECONDS.toNanos(5));
		assertThat(this.worker.isRunning(run)).as("the run has started").isTrue();
	}

	private void begin() {
		this.events.clear();
		this.pollsToLose = 0;
		this.slowAgeNanos = 0;
		this.nowNanos = TimeUnit.DAYS.toNanos(21_000);
		this.worker = new FakeWorker("w1", this.nowNanos - TimeUnit.MINUTES.toNanos(1), 1, new IgnoringObserver());
		this.scheduler = Scheduler.of(SchedulerSettings.of(7, 1000, 50, 2));
		this.scheduler
			.setOriginHeartbeats((origin, job, now) -> now - (origin.equals(SLOW_HOST) ? this.slowAgeNanos : 0));
		this.scheduler.workersListed(List.of(this.worker.info()), true, this.nowNanos);
		this.scheduler.activate(FencingToken.create(this.nowNanos, 7, FencingToken.NONE), this.nowNanos);
		advance(TimeUnit.MILLISECONDS.toNanos(500));
	}

	private RunId submit(HostId origin, String id) {
		JobId job = JobId.of(id);
		StepSpec step = new StepSpec(1, new Capacity(1000, 64, 0), TimeUnit.SECONDS.toNanos(10), List.of(), "", "", 0);
		this.scheduler.submit(origin, new JobSpec(job, "queue", "service",
				new QueueTerms(0, 3, 3, TimeUnit.SECONDS.toNanos(1)), "", List.of(step)), 0,
				TimeUnit.SECONDS.toNanos(60), EarlierSubmission.NONE, this.nowNanos);
		return new RunId(new TaskName(job, 0, 0, 0), 1);
	}

	private void advance(long nanos) {
		long endNanos = this.nowNanos + nanos;
		while (this.nowNanos < endNanos) {
			this.nowNanos += STEP_NANOS;
			while (!this.events.isEmpty() && this.events.firstKey() <= this.nowNanos) {
				this.events.pollFirstEntry().getValue().forEach(Runnable::run);
			}
			this.worker.advance(this.nowNanos);
			List<SchedulingEffect> effects = new ArrayList<>();
			this.scheduler.tick(this.nowNanos, effects::add);
			effects.forEach(this::execute);
		}
	}

	private void execute(SchedulingEffect order) {
		if (order instanceof SchedulingEffect.StartRun start) {
			after(LATENCY_NANOS, () -> {
				StartAnswer answer = this.worker.start(start, new Capacity(1000, 64, 0), TimeUnit.SECONDS.toNanos(20),
						EndKind.DONE, this.nowNanos);
				after(LATENCY_NANOS, () -> this.scheduler.startAnswered(start, answer, this.nowNanos));
			});
		}
		else if (order instanceof SchedulingEffect.PollWorker lost && this.pollsToLose > 0) {
			this.pollsToLose--;
			after(lost.waitNanos() + ORDER_TIMEOUT_NANOS, () -> this.scheduler.pollFailed(lost.worker().id(),
					lost.sequence(), lost.token(), PollFailure.NO_ANSWER, this.nowNanos));
		}
		else if (order instanceof SchedulingEffect.PollWorker poll) {
			after(LATENCY_NANOS, () -> {
				this.worker.poll(poll, this.nowNanos);
				after(poll.waitNanos(), () -> {
					WorkerReport report = this.worker.report(this.nowNanos);
					after(LATENCY_NANOS, () -> this.scheduler.reported(poll.worker().id(), poll.sequence(),
							poll.token(), report, this.nowNanos));
				});
			});
		}
	}

	private void after(long nanos, Runnable action) {
		this.events.computeIfAbsent(this.nowNanos + nanos, (time) -> new ArrayList<>()).add(action);
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
