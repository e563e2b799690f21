package org.limpetgate.host.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.fleet.Reach;
import org.limpetgate.host.EventLog;
import org.limpetgate.proto.JobStatus;
import org.limpetgate.scheduling.Capacity;
import org.limpetgate.scheduling.FencingToken;
import org.limpetgate.scheduling.JobOutcome;
import org.limpetgate.scheduling.JobSpec;
import org.limpetgate.scheduling.QueueTerms;
import org.limpetgate.scheduling.Scheduler;
import org.limpetgate.scheduling.SchedulerSettings;
import org.limpetgate.scheduling.SchedulingEffect;
import org.limpetgate.scheduling.StepSpec;
import org.limpetgate.scheduling.WorkerInfo;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link StoredJobKeeper} with a scheduler and a fake log.
 */
class StoredJobKeeperTests {

	private static final HostId HOST = HostId.of("10.0.0.1:1");

	private static final JobId JOB = JobId.of("a");

	private static final long MILLI = 1_000_000;

	private final FakeJobLog log = new FakeJobLog();

	private final Scheduler scheduler = Scheduler.of(SchedulerSettings.of(7, 1000, 50, 2));

	private final List<SchedulingEffect> effects = new ArrayList<>();

	private long now = TimeUnit.DAYS.toNanos(21_000);

	private final FencingToken claim = FencingToken.draw(this.now, 7, FencingToken.NONE);

	private final StoredJobKeeper keeper = new StoredJobKeeper(this.log, this.scheduler, 7, () -> this.now,
			new EventLog(), () -> {
			});

	private void schedule() {
		WorkerInfo worker = new WorkerInfo(UpstreamId.of("w1"), 1, "service",
				InetSocketAddress.createUnresolved("w", 1), DataCentreId.of("dc"), new Capacity(16_000, 32_000, 0),
				Set.of("a"), false);
		this.scheduler.workersListed(List.of(worker), true, this.now);
		this.scheduler.activate(this.claim, this.now);
	}

	private void pass(long millis, Reach reach) {
		for (long passed = 0; passed < millis; passed += 20) {
			this.now += 20 * MILLI;
			this.keeper.tick(this.claim, reach, this.now);
			tick();
		}
	}

	private void tick() {
		List<SchedulingEffect> fresh = new ArrayList<>();
		this.scheduler.tick(this.now, fresh::add);
		this.effects.addAll(fresh);
		fresh.forEach((effect) -> {
			if (effect instanceof SchedulingEffect.SaveChange change) {
				this.keeper.save(change);
			}
		});
	}

	private void submit() {
		StepSpec step = new StepSpec(1, new Capacity(500, 64, 0), 40 * MILLI, List.of(), "", "", 0);
		this.scheduler.submit(HOST,
				new JobSpec(JOB, "q", "service", new QueueTerms(0, 2, 1.6, 60 * MILLI), "", List.of(step), true), 0,
				TimeUnit.SECONDS.toNanos(5), false, this.now);
		tick();
	}

	private List<JobOutcome> outcomes() {
		return this.effects.stream()
			.filter(SchedulingEffect.JobEnded.class::isInstance)
			.map((effect) -> ((SchedulingEffect.JobEnded) effect).outcome())
			.toList();
	}

	private JobStatus.State state() {
		return this.keeper.status(JOB, this.now).getState();
	}

	private void open() {
		schedule();
		pass(20, Reach.MOST);
		this.log.answerAll();
	}

	/** Guards against a job that is acknowledged before it is stored. */
	@Example
	void aJobIsAcceptedWhenItIsStored() {
		open();
		submit();
		assertThat(outcomes()).isEmpty();
		this.log.answerAll();
		tick();
		assertThat(outcomes()).containsExactly(JobOutcome.ACCEPTED);
		assertThat(state()).isEqualTo(JobStatus.State.QUEUED);
		submit();
		assertThat(outcomes()).containsExactly(JobOutcome.ACCEPTED, JobOutcome.ACCEPTED);
		assertThat(this.log.appends).isEqualTo(1);
	}

	/** Guards against "no such job" while the stored jobs are not known. */
	@Example
	void nothingIsKnownBeforeTheJobsAreRead() {
		schedule();
		pass(20, Reach.MOST);
		assertThat(state()).isEqualTo(JobStatus.State.UNAVAILABLE);
		submit();
		assertThat(outcomes()).containsExactly(JobOutcome.REFUSED);
		this.log.answerAll();
		assertThat(state()).isEqualTo(JobStatus.State.UNKNOWN);
	}

	/** Guards against a cut-off host that takes the stored jobs from the others. */
	@Example
	void aHostThatReachesFewOthersTakesNothingOver() {
		schedule();
		pass(1000, Reach.HALF);
		assertThat(this.log.calls).isEmpty();
	}

	/** Guards against two hosts that run the tasks of the same job. */
	@Example
	void aHostThatReachesNeitherTheStoreNorTheOthersGivesTheJobsUp() {
		open();
		submit();
		this.log.answerAll();
		tick();
		pass(900, Reach.FEW);
		assertThat(this.scheduler.knowsStoredJobs()).isTrue();
		pass(300, Reach.FEW);
		assertThat(this.scheduler.knowsStoredJobs()).isFalse();
		assertThat(state()).isEqualTo(JobStatus.State.UNAVAILABLE);
	}

	/** Guards against stored jobs that stop with every outage of the store. */
	@Example
	void aHostThatReachesTheOthersGoesOnForAWhileWithoutTheStore() {
		open();
		submit();
		this.log.answerAll();
		tick();
		pass(5000, Reach.HALF);
		assertThat(this.scheduler.knowsStoredJobs()).isTrue();
		pass(1500, Reach.HALF);
		assertThat(this.scheduler.knowsStoredJobs()).isFalse();
	}

	/** Guards against a cancellation that is acknowledged and then forgotten. */
	@Example
	void aCancellationIsAnsweredWhenItIsSaved() {
		open();
		submit();
		this.log.answerAll();
		CompletableFuture<JobStatus> answer = this.keeper.cancel(JOB, this.now);
		tick();
		assertThat(answer).isNotDone();
		this.log.answerAll();
		assertThat(answer.join().getState()).isEqualTo(JobStatus.State.CANCELED);
		assertThat(state()).isEqualTo(JobStatus.State.CANCELED);
		assertThat(this.keeper.cancel(JobId.of("other"), this.now).join().getState())
			.isEqualTo(JobStatus.State.UNKNOWN);
	}

	/** Guards against a cancellation that stays without an answer. */
	@Example
	void aCancellationThatCannotBeSavedIsAnswered() {
		open();
		submit();
		this.log.answerAll();
		CompletableFuture<JobStatus> answer = this.keeper.cancel(JOB, this.now);
		tick();
		this.log.epoch = Long.MAX_VALUE;
		this.log.answerAll();
		assertThat(answer.join().getState()).isEqualTo(JobStatus.State.UNAVAILABLE);
	}

	/** Guards against jobs that are lost with the host that schedules. */
	@Example
	void theNextHostFindsTheJobs() {
		open();
		submit();
		this.log.answerAll();
		Scheduler next = Scheduler.of(SchedulerSettings.of(8, 1000, 50, 2));
		StoredJobKeeper successor = new StoredJobKeeper(this.log, next, 8, () -> this.now, new EventLog(), () -> {
		});
		next.activate(FencingToken.draw(this.now, 8, this.claim), this.now);
		successor.tick(FencingToken.draw(this.now, 8, this.claim), Reach.MOST, this.now);
		this.log.answerAll();
		assertThat(successor.status(JOB, this.now).getState()).isEqualTo(JobStatus.State.QUEUED);
	}

}
