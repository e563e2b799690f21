package org.limpetgate.host.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.Outcome;
import org.limpetgate.RequestId;
import org.limpetgate.host.EventLog;
import org.limpetgate.host.HostMetrics;
import org.limpetgate.proto.JobResult;
import org.limpetgate.proto.SubmitJob;
import org.limpetgate.scheduling.Capacity;
import org.limpetgate.scheduling.EarlierSubmission;
import org.limpetgate.scheduling.JobOutcome;
import org.limpetgate.scheduling.JobSpec;
import org.limpetgate.scheduling.QueueTerms;
import org.limpetgate.scheduling.StepSpec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PendingJobs} over a fake transport.
 */
class PendingJobsTests {

	private static final HostId FIRST = HostId.of("10.0.0.1:1");

	private static final HostId SECOND = HostId.of("10.0.0.2:1");

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final FakeTransport transport = new FakeTransport();

	private long now = TimeUnit.DAYS.toNanos(21_000);

	private final PendingJobs pendingJobs = new PendingJobs(this.transport, () -> this.now,
			new JobEvents(new EventLog(), new HostMetrics()));

	/** Guards against a job that stays unanswered while no host schedules. */
	@Example
	void jobIsRefusedWhenNoHostSchedules() {
		CompletableFuture<JobAnswer> answer = submit("1");
		this.now += 500 * NANOS_PER_MILLI;
		this.pendingJobs.tick(null, this.now);
		assertThat(answer.join().outcome()).isEqualTo(JobOutcome.REFUSED);
		assertThat(answer.join().retryAfterNanos()).isPositive();
	}

	/**
	 * Guards against refusing the jobs that arrive while a lost scheduler is replaced,
	 * although their answers would still be of use.
	 */
	@Example
	void jobWaitsForASchedulerWhileItsAnswerIsOfUse() {
		CompletableFuture<JobAnswer> shortJob = submit("1", 20);
		CompletableFuture<JobAnswer> longJob = submit("2", 760);
		this.now += 300 * NANOS_PER_MILLI;
		this.pendingJobs.tick(null, this.now);
		assertThat(shortJob).isCompletedWithValueMatching((answer) -> answer.outcome() == JobOutcome.REFUSED);
		this.now += 650 * NANOS_PER_MILLI;
		this.pendingJobs.tick(null, this.now);
		assertThat(longJob).isNotDone();
		this.pendingJobs.tick(FIRST, this.now);
		assertThat(this.transport.jobs).extracting(SubmitJob::getJobId).containsExactly("2");
	}

	/**
	 * Guards against callers that all return at the same moment after the jobs that they
	 * sent while no host scheduled were refused.
	 */
	@Example
	void refusedCallersReturnAtDifferentTimes() {
		List<CompletableFuture<JobAnswer>> answers = IntStream.range(0, 300)
			.mapToObj((number) -> submit("job" + number))
			.toList();
		this.now += 500 * NANOS_PER_MILLI;
		this.pendingJobs.tick(null, this.now);
		Map<Long, Long> callersByDelay = answers.stream()
			.collect(Collectors.groupingBy((answer) -> answer.join().retryAfterNanos(), Collectors.counting()));
		assertThat(callersByDelay).hasSizeGreaterThan(1);
		assertThat(callersByDelay.values()).allSatisfy((callers) -> assertThat(callers).isLessThan(150));
	}

	/** Guards against losing a job when the host that schedules is lost. */
	@Example
	void jobIsResubmittedToTheNextScheduler() {
		this.pendingJobs.tick(FIRST, this.now);
		CompletableFuture<JobAnswer> answer = submit("1");
		this.transport.fail(0, Outcome.UNKNOWN);
		this.now += 50 * NANOS_PER_MILLI;
		this.pendingJobs.tick(SECOND, this.now);
		assertThat(this.transport.targets).containsExactly(FIRST, SECOND);
		assertThat(this.transport.jobs.get(1).getResubmitted()).isTrue();
		this.transport.complete(1, JobResult.State.COMPLETED);
		assertThat(answer.join().outcome()).isEqualTo(JobOutcome.COMPLETED);
	}

	/**
	 * Guards against a scheduler that does not learn that an earlier one used workers of
	 * an outdated list, although a later one that had a new list has had the job since.
	 */
	@Example
	void resubmissionTellsTheOldestListOfItsEarlierSchedulers() {
		this.transport.workersListedNanos.put(FIRST, this.now - 9_000 * NANOS_PER_MILLI);
		this.transport.workersListedNanos.put(SECOND, this.now);
		this.pendingJobs.tick(FIRST, this.now);
		submit("1");
		this.transport.complete(0, JobResult.State.MOVED);
		this.now += 50 * NANOS_PER_MILLI;
		this.pendingJobs.tick(SECOND, this.now);
		this.transport.fail(1, Outcome.UNKNOWN);
		this.now += 50 * NANOS_PER_MILLI;
		this.pendingJobs.tick(SECOND, this.now);
		assertThat(this.transport.jobs).hasSize(3);
		assertThat(this.transport.jobs.get(0).hasEarlierListAgeMillis()).isFalse();
		assertThat(this.transport.jobs.get(2).getEarlierListAgeMillis()).isBetween(9_100L, 9_101L);
	}

	/**
	 * Guards against a list of which nothing is known that counts as new, since its
	 * scheduler is of an earlier version.
	 */
	@Example
	void submissionWithoutTheAgeOfAListTellsThatItIsUnknown() {
		EarlierSubmission earlier = JobMessages.earlierSubmission(SubmitJob.newBuilder().setResubmitted(true).build());
		assertThat(earlier.listAgeNanos()).isEqualTo(EarlierSubmission.UNKNOWN_AGE);
	}

	/**
	 * Guards against a scheduler that continues to run a job after its caller was
	 * answered; the caller may send the job again at another host.
	 */
	@Example
	void jobWithoutAnAnswerInTimeIsWithdrawnFromTheScheduler() {
		this.pendingJobs.tick(FIRST, this.now);
		submit("1");
		this.transport.fail(0, ErrorKind.DEADLINE_EXCEEDED, Outcome.UNKNOWN);
		assertThat(this.transport.withdrawn).containsExactly(JobId.of("1"));
	}

	/**
	 * Guards against a second run while the scheduler that lost its link to this host
	 * still acts on the job.
	 */
	@Example
	void resubmissionTellsHowLongTheEarlierSchedulerMayHoldTheJob() {
		this.pendingJobs.tick(FIRST, this.now);
		submit("1");
		this.transport.heldUntilNanos = this.now + 500 * NANOS_PER_MILLI;
		this.transport.fail(0, Outcome.UNKNOWN);
		this.now += 50 * NANOS_PER_MILLI;
		this.pendingJobs.tick(SECOND, this.now);
		assertThat(this.transport.jobs.get(1).getHeldMillis()).isEqualTo(450);
	}

	/** Guards against a needless wait after the process of the scheduler has ended. */
	@Example
	void schedulerThatHasEndedHoldsNoJob() {
		this.pendingJobs.tick(FIRST, this.now);
		submit("1");
		this.transport.heldUntilNanos = this.now + 500 * NANOS_PER_MILLI;
		this.transport.fail(0, Outcome.UNKNOWN);
		this.transport.endedNanos.put(FIRST, this.now);
		this.now += 50 * NANOS_PER_MILLI;
		this.pendingJobs.tick(SECOND, this.now);
		assertThat(this.transport.jobs.get(1).getResubmitted()).isTrue();
		assertThat(this.transport.jobs.get(1).getHeldMillis()).isZero();
	}

	/**
	 * Guards against a second run because an earlier incarnation of the scheduler has
	 * ended, while the one that took the job may still act on it.
	 */
	@Example
	void endOfAnEarlierIncarnationReleasesNoJob() {
		this.transport.endedNanos.put(FIRST, this.now);
		this.now += 50 * NANOS_PER_MILLI;
		this.pendingJobs.tick(FIRST, this.now);
		submit("1");
		this.transport.heldUntilNanos = this.now + 500 * NANOS_PER_MILLI;
		this.transport.fail(0, Outcome.UNKNOWN);
		this.now += 50 * NANOS_PER_MILLI;
		this.pendingJobs.tick(SECOND, this.now);
		assertThat(this.transport.jobs.get(1).getHeldMillis()).isEqualTo(450);
	}

	/**
	 * Guards against a second run of a job that is moved twice while its first scheduler
	 * still acts on it.
	 */
	@Example
	void resubmissionCountsAllEarlierSchedulersButTheTarget() {
		this.pendingJobs.tick(FIRST, this.now);
		submit("1");
		this.transport.heldUntilNanos = this.now + 500 * NANOS_PER_MILLI;
		this.transport.fail(0, Outcome.UNKNOWN);
		this.now += 50 * NANOS_PER_MILLI;
		this.pendingJobs.tick(SECOND, this.now);
		this.transport.heldUntilNanos = this.now + 600 * NANOS_PER_MILLI;
		this.transport.fail(1, Outcome.UNKNOWN);
		this.now += 50 * NANOS_PER_MILLI;
		this.pendingJobs.tick(SECOND, this.now);
		assertThat(this.transport.jobs.get(2).getHeldMillis()).isEqualTo(400);
	}

	/** Guards against a job that is submitted after its caller stopped waiting. */
	@Example
	void jobPastItsDeadlineIsNotSubmittedAgain() {
		this.pendingJobs.tick(FIRST, this.now);
		CompletableFuture<JobAnswer> answer = submit("1");
		this.transport.fail(0, ErrorKind.DEADLINE_EXCEEDED, Outcome.UNKNOWN);
		this.now += TimeUnit.SECONDS.toNanos(60);
		this.pendingJobs.tick(SECOND, this.now);
		assertThat(this.transport.targets).containsExactly(FIRST);
		assertThat(answer.join().outcome()).isEqualTo(JobOutcome.ABANDONED);
	}

	/**
	 * Guards against the delay for possible duplicates when no scheduler can have
	 * received the job.
	 */
	@Example
	void unsentJobIsNotMarkedAsResubmitted() {
		this.pendingJobs.tick(FIRST, this.now);
		submit("1");
		this.transport.fail(0, Outcome.NOT_RUN);
		this.now += 50 * NANOS_PER_MILLI;
		this.pendingJobs.tick(SECOND, this.now);
		assertThat(this.transport.jobs.get(1).getResubmitted()).isFalse();
	}

	/** Guards against a refusal, which says that nothing ran, when tasks may have run. */
	@Example
	void jobThatMayHaveRunIsNotRefused() {
		this.pendingJobs.tick(FIRST, this.now);
		CompletableFuture<JobAnswer> answer = submit("1");
		this.transport.complete(0, JobResult.State.MOVED);
		this.now += 50 * NANOS_PER_MILLI;
		this.pendingJobs.tick(SECOND, this.now);
		this.transport.complete(1, JobResult.State.REFUSED);
		assertThat(answer.join().outcome()).isEqualTo(JobOutcome.ABANDONED);
	}

	/**
	 * Guards against a late reply of the previous scheduler that ends the job after it
	 * was submitted to the next one.
	 */
	@Example
	void replyOfPreviousSchedulerIsIgnored() {
		this.pendingJobs.tick(FIRST, this.now);
		CompletableFuture<JobAnswer> answer = submit("1");
		this.transport.complete(0, JobResult.State.MOVED);
		this.now += 50 * NANOS_PER_MILLI;
		this.pendingJobs.tick(SECOND, this.now);
		this.transport.replies.get(0).obtrudeValue(JobResult.getDefaultInstance());
		assertThat(answer).isNotDone();
	}

	/** Guards against running a job twice when its caller sends it twice. */
	@Example
	void duplicateSubmissionSharesTheAnswer() {
		this.pendingJobs.tick(FIRST, this.now);
		CompletableFuture<JobAnswer> first = submit("1");
		CompletableFuture<JobAnswer> second = submit("1");
		assertThat(this.transport.jobs).hasSize(1);
		first.cancel(false);
		assertThat(this.transport.withdrawn).isEmpty();
		this.transport.complete(0, JobResult.State.COMPLETED);
		assertThat(second.join().outcome()).isEqualTo(JobOutcome.COMPLETED);
	}

	/** Guards against runs that continue after their caller has disconnected. */
	@Example
	void jobIsWithdrawnWhenNoCallerIsLeft() {
		this.pendingJobs.tick(FIRST, this.now);
		submit("1").cancel(false);
		assertThat(this.transport.withdrawn).containsExactly(JobId.of("1"));
		assertThat(this.pendingJobs.size()).isZero();
	}

	private CompletableFuture<JobAnswer> submit(String id) {
		return submit(id, 100);
	}

	private CompletableFuture<JobAnswer> submit(String id, long estimatedMillis) {
		JobSpec spec = new JobSpec(JobId.of(id), "q", "service", new QueueTerms(0, 2, 1.6, 60 * NANOS_PER_MILLI),
				"payload", List.of(new StepSpec(1, new Capacity(1000, 64, 0), estimatedMillis * NANOS_PER_MILLI,
						List.of(), "", "", 0)));
		return this.pendingJobs.submit(spec, RequestId.NONE, TimeUnit.SECONDS.toNanos(3), this.now);
	}

	private static final class FakeTransport implements JobTransport {

		private final List<HostId> targets = new ArrayList<>();

		private final List<SubmitJob> jobs = new ArrayList<>();

		private final List<CompletableFuture<JobResult>> replies = new ArrayList<>();

		private final List<JobId> withdrawn = new ArrayList<>();

		/** When an incarnation of a host was last found to have ended. */
		private final Map<HostId, Long> endedNanos = new HashMap<>();

		private final Map<HostId, Long> workersListedNanos = new HashMap<>();

		private long heldUntilNanos;

		@Override
		public CompletableFuture<JobResult> submit(HostId scheduler, SubmitJob job, long timeoutNanos) {
			this.targets.add(scheduler);
			this.jobs.add(job);
			CompletableFuture<JobResult> reply = new CompletableFuture<>();
			this.replies.add(reply);
			return reply;
		}

		@Override
		public void withdraw(HostId scheduler, JobId job) {
			this.withdrawn.add(job);
		}

		@Override
		public long heldUntilNanos(HostId scheduler) {
			return this.heldUntilNanos;
		}

		@Override
		public long workersListedNanos(HostId scheduler) {
			return this.workersListedNanos.getOrDefault(scheduler, 0L);
		}

		@Override
		public boolean hasEndedSince(HostId scheduler, long sinceNanos) {
			return this.endedNanos.getOrDefault(scheduler, 0L) >= sinceNanos;
		}

		void complete(int number, JobResult.State state) {
			this.replies.get(number).complete(JobResult.newBuilder().setState(state).build());
		}

		void fail(int number, Outcome outcome) {
			fail(number, ErrorKind.HOLDER_UNREACHABLE, outcome);
		}

		void fail(int number, ErrorKind kind, Outcome outcome) {
			this.replies.get(number).completeExceptionally(DispatchException.of(kind, outcome, "lost"));
		}

	}

}
