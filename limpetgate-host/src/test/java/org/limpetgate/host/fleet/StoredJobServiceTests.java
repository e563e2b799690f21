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
import org.limpetgate.fleet.Reachability;
import org.limpetgate.host.EventLog;
import org.limpetgate.proto.JobStatus;
import org.limpetgate.scheduling.Capacity;
import org.limpetgate.scheduling.EarlierSubmission;
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
 * Tests of {@link StoredJobService} with a scheduler and a fake log.
 */
class StoredJobServiceTests {

	private static final HostId HOST = HostId.of("10.0.0.1:1");

	private static final JobId JOB = JobId.of("a");

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final FakeJobLog log = new FakeJobLog();

	private final Scheduler scheduler = Scheduler.of(SchedulerSettings.of(7, 1000, 50, 2));

	private final List<SchedulingEffect> effects = new ArrayList<>();

	private long now = TimeUnit.DAYS.toNanos(21_000);

	private final FencingToken schedulerToken = FencingToken.create(this.now, 7, FencingToken.NONE);

	private final StoredJobService service = new StoredJobService(this.log, this.scheduler, 7, () -> this.now,
			new EventLog(), () -> {
			});

	private void startScheduling() {
		WorkerInfo worker = new WorkerInfo(UpstreamId.of("w1"), 1, "service",
				InetSocketAddress.createUnresolved("w", 1), DataCentreId.of("dc"), new Capacity(16_000, 32_000, 0),
				Set.of("a"), false);
		this.scheduler.workersListed(List.of(worker), true, this.now);
		this.scheduler.activate(this.schedulerToken, this.now);
	}

	private void advance(long millis, Reachability reachability) {
		for (long passed = 0; passed < millis; passed += 20) {
			this.now += 20 * NANOS_PER_MILLI;
			this.service.tick(this.schedulerToken, reachability, this.now);
			tick();
		}
	}

	private void tick() {
		List<SchedulingEffect> newEffects = new ArrayList<>();
		this.scheduler.tick(this.now, newEffects::add);
		this.effects.addAll(newEffects);
		newEffects.forEach((effect) -> {
			if (effect instanceof SchedulingEffect.SaveChange change) {
				this.service.save(change);
			}
		});
	}

	private void submit() {
		StepSpec step = new StepSpec(1, new Capacity(500, 64, 0), 40 * NANOS_PER_MILLI, List.of(), "", "", 0);
		this.scheduler.submit(HOST, new JobSpec(JOB, "q", "service", new QueueTerms(0, 2, 1.6, 60 * NANOS_PER_MILLI),
				"", List.of(step), true), 0, TimeUnit.SECONDS.toNanos(5), EarlierSubmission.NONE, this.now);
		tick();
	}

	private List<JobOutcome> outcomes() {
		return this.effects.stream()
			.filter(SchedulingEffect.JobEnded.class::isInstance)
			.map((effect) -> ((SchedulingEffect.JobEnded) effect).outcome())
			.toList();
	}

	private JobStatus.State state() {
		return this.service.status(JOB, this.now).getState();
	}

	private void open() {
		startScheduling();
		advance(20, Reachability.MAJORITY);
		this.log.answerAll();
	}

	/** Guards against acknowledging a job before it is stored. */
	@Example
	void jobIsAcceptedOnceItIsStored() {
		open();
		submit();
		assertThat(outcomes()).isEmpty();
		this.log.answerAll();
		tick();
		assertThat(outcomes()).containsExactly(JobOutcome.ACCEPTED);
		assertThat(state()).isEqualTo(JobStatus.State.QUEUED);
		submit();
		assertThat(outcomes()).containsExactly(JobOutcome.ACCEPTED, JobOutcome.ACCEPTED);
		assertThat(this.log.appendCount).isEqualTo(1);
	}

	/** Guards against reporting a job as unknown before the stored jobs are read. */
	@Example
	void jobsAreUnavailableUntilTheyAreRead() {
		startScheduling();
		advance(20, Reachability.MAJORITY);
		assertThat(state()).isEqualTo(JobStatus.State.UNAVAILABLE);
		submit();
		assertThat(outcomes()).containsExactly(JobOutcome.REFUSED);
		this.log.answerAll();
		assertThat(state()).isEqualTo(JobStatus.State.UNKNOWN);
	}

	/** Guards against a partitioned host that takes over the stored jobs. */
	@Example
	void hostWithoutMajorityDoesNotTakeOver() {
		startScheduling();
		advance(1000, Reachability.HALF);
		assertThat(this.log.calls).isEmpty();
	}

	/** Guards against two hosts that run the tasks of the same stored job. */
	@Example
	void hostWithoutStoreAndPeersReleasesTheJobs() {
		open();
		submit();
		this.log.answerAll();
		tick();
		advance(900, Reachability.MINORITY);
		assertThat(this.scheduler.hasLoadedStoredJobs()).isTrue();
		advance(300, Reachability.MINORITY);
		assertThat(this.scheduler.hasLoadedStoredJobs()).isFalse();
		assertThat(state()).isEqualTo(JobStatus.State.UNAVAILABLE);
	}

	/** Guards against stopping the stored jobs with every short outage of the store. */
	@Example
	void hostWithPeersToleratesAShortStoreOutage() {
		open();
		submit();
		this.log.answerAll();
		tick();
		advance(5000, Reachability.HALF);
		assertThat(this.scheduler.hasLoadedStoredJobs()).isTrue();
		advance(1500, Reachability.HALF);
		assertThat(this.scheduler.hasLoadedStoredJobs()).isFalse();
	}

	/** Guards against acknowledging a cancellation that is then lost. */
	@Example
	void cancellationIsAnsweredOnceItIsSaved() {
		open();
		submit();
		this.log.answerAll();
		CompletableFuture<JobStatus> answer = this.service.cancel(JOB, this.now);
		tick();
		assertThat(answer).isNotDone();
		this.log.answerAll();
		assertThat(answer.join().getState()).isEqualTo(JobStatus.State.CANCELED);
		assertThat(state()).isEqualTo(JobStatus.State.CANCELED);
		assertThat(this.service.cancel(JobId.of("other"), this.now).join().getState())
			.isEqualTo(JobStatus.State.UNKNOWN);
	}

	/** Guards against a cancellation that is never answered. */
	@Example
	void cancellationThatCannotBeSavedIsAnswered() {
		open();
		submit();
		this.log.answerAll();
		CompletableFuture<JobStatus> answer = this.service.cancel(JOB, this.now);
		tick();
		this.log.epoch = Long.MAX_VALUE;
		this.log.answerAll();
		assertThat(answer.join().getState()).isEqualTo(JobStatus.State.UNAVAILABLE);
	}

	/** Guards against losing stored jobs when the host that schedules is lost. */
	@Example
	void successorReadsTheStoredJobs() {
		open();
		submit();
		this.log.answerAll();
		Scheduler successorScheduler = Scheduler.of(SchedulerSettings.of(8, 1000, 50, 2));
		StoredJobService successor = new StoredJobService(this.log, successorScheduler, 8, () -> this.now,
				new EventLog(), () -> {
				});
		successorScheduler.activate(FencingToken.create(this.now, 8, this.schedulerToken), this.now);
		successor.tick(FencingToken.create(this.now, 8, this.schedulerToken), Reachability.MAJORITY, this.now);
		this.log.answerAll();
		assertThat(successor.status(JOB, this.now).getState()).isEqualTo(JobStatus.State.QUEUED);
	}

}
