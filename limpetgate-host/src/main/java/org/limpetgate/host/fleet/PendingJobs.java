package org.limpetgate.host.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.Outcome;
import org.limpetgate.RequestId;
import org.limpetgate.net.http.ErrorReply;
import org.limpetgate.proto.JobResult;
import org.limpetgate.proto.SubmitJob;
import org.limpetgate.scheduling.JobOutcome;
import org.limpetgate.scheduling.JobSpec;
import org.limpetgate.scheduling.QueueTerms;
import org.limpetgate.scheduling.StepSpec;

/**
 * The jobs whose callers wait at this host.
 * <p>
 * A job is submitted to the host that schedules, and resubmitted to its successor when
 * that host is lost or stops scheduling. A job is answered as refused only if no
 * scheduler can have received it, or if the only one that did reports that no task ran. A
 * stored job is pending here only until it is stored.
 * <p>
 * Not thread-safe; used on the event loop.
 */
final class PendingJobs {

	/**
	 * How long a job waits at most until a scheduler is known before it is refused. A
	 * lost scheduler is usually replaced within this time.
	 */
	private static final long MAX_SCHEDULER_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** How long a new scheduler takes to learn what runs on the workers. */
	private static final long TAKEOVER_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final String NO_SCHEDULER = "no scheduler is currently available";

	/** The shortest retry delay of a job that is refused because no host schedules. */
	private static final int MIN_RETRY_AFTER_SECONDS = 1;

	/** The number of retry delays over which the callers that are refused are spread. */
	private static final int RETRY_AFTER_STEPS = 3;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long RESUBMIT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private final Map<JobId, PendingJob> pending = new LinkedHashMap<>();

	private final JobTransport transport;

	private final LongSupplier clock;

	private final JobEvents events;

	private HostId scheduler;

	PendingJobs(JobTransport transport, LongSupplier clock, JobEvents events) {
		this.transport = transport;
		this.clock = clock;
		this.events = events;
	}

	/**
	 * Submits a job, or joins the pending job with the same id.
	 * @param spec the job
	 * @param request the request of the caller, for the log
	 * @param remainingNanos how long the caller waits, in nanoseconds
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 * @return the answer; cancelling it withdraws the job, unless the job is stored or
	 * other callers wait for it
	 */
	CompletableFuture<JobAnswer> submit(JobSpec spec, RequestId request, long remainingNanos, long nowNanos) {
		PendingJob job = this.pending.get(spec.id());
		if (job == null) {
			job = new PendingJob(spec, nowNanos, nowNanos + remainingNanos);
			this.pending.put(spec.id(), job);
			this.events.accepted(spec, request);
		}
		else {
			this.events.joined(spec.id(), request);
		}
		CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
		job.callers.add(answer);
		PendingJob pendingJob = job;
		answer.whenComplete((result, failure) -> {
			if (answer.isCancelled()) {
				removeCaller(pendingJob, answer);
			}
		});
		submitToScheduler(job, nowNanos);
		return answer;
	}

	// A stored job is not withdrawn, since its caller may have received the answer.
	private void removeCaller(PendingJob job, CompletableFuture<JobAnswer> answer) {
		job.callers.remove(answer);
		if (job.callers.isEmpty() && !job.spec.stored()) {
			withdraw(job);
		}
	}

	/**
	 * Cancels a job that is not stored, at the request of its caller.
	 * @param id the job
	 * @return true if the job was pending here
	 */
	boolean cancel(JobId id) {
		PendingJob job = this.pending.get(id);
		if (job == null || job.spec.stored()) {
			return false;
		}
		withdraw(job);
		job.answer(new JobAnswer(JobOutcome.ABANDONED, "the job was cancelled", 0));
		return true;
	}

	private void withdraw(PendingJob job) {
		if (this.pending.remove(job.spec.id(), job)) {
			this.events.withdrawn(job.spec.id());
			if (job.submittedTo != null) {
				this.transport.withdraw(job.submittedTo, job.spec.id());
			}
		}
	}

	boolean contains(JobId id) {
		PendingJob job = this.pending.get(id);
		return job != null && !job.spec.stored();
	}

	int size() {
		return this.pending.size();
	}

	/**
	 * Sets the host that schedules, submits the jobs that wait for one to it, and ends
	 * those that have waited too long.
	 * @param host the host, null if none is known
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 */
	void tick(HostId host, long nowNanos) {
		this.scheduler = host;
		for (PendingJob job : List.copyOf(this.pending.values())) {
			if (job.submittedTo == null) {
				submitOrEnd(job, nowNanos);
			}
		}
	}

	private void submitOrEnd(PendingJob job, long nowNanos) {
		if (nowNanos >= job.deadlineNanos) {
			endWithoutScheduler(job, job.mayHaveRun ? JobOutcome.ABANDONED : JobOutcome.REFUSED);
			return;
		}
		submitToScheduler(job, nowNanos);
		boolean waitedTooLong = nowNanos - job.arrivalNanos > schedulerWaitNanos(job.spec);
		if (job.submittedTo == null && !job.mayHaveRun && waitedTooLong) {
			endWithoutScheduler(job, JobOutcome.REFUSED);
		}
	}

	// The retry delays depend on the job, so that the callers do not all return at the
	// moment at which a new scheduler starts.
	private void endWithoutScheduler(PendingJob job, JobOutcome outcome) {
		int seconds = MIN_RETRY_AFTER_SECONDS + Math.floorMod(job.spec.id().hashCode(), RETRY_AFTER_STEPS);
		end(job, new JobAnswer(outcome, NO_SCHEDULER, TimeUnit.SECONDS.toNanos(seconds)));
	}

	// Returns how long a job waits for a scheduler. Afterwards its answer would be of no
	// use to its caller, so that it is refused without further delay.
	private static long schedulerWaitNanos(JobSpec spec) {
		double workNanos = spec.longestChainNanos(StepSpec::estimatedNanos);
		if (spec.stored() || workNanos <= 0) {
			return MAX_SCHEDULER_WAIT_NANOS;
		}
		long usefulNanos = QueueTerms.USEFUL_FACTOR * spec.terms().objectiveNanos(workNanos);
		return Math.min(MAX_SCHEDULER_WAIT_NANOS, usefulNanos - (long) workNanos - TAKEOVER_NANOS);
	}

	private void submitToScheduler(PendingJob job, long nowNanos) {
		if (job.submittedTo != null || this.scheduler == null || nowNanos < job.earliestSubmitNanos) {
			return;
		}
		HostId target = this.scheduler;
		job.submittedTo = target;
		long remaining = Math.max(1, job.deadlineNanos - nowNanos);
		SubmitJob.Builder message = JobMessages.toMessage(job.spec)
			.setWaitedMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos - job.arrivalNanos))
			.setRemainingMillis(TimeUnit.NANOSECONDS.toMillis(remaining));
		if (job.mayHaveRun) {
			message.setResubmitted(true)
				.setHeldMillis(heldMillis(job, target, nowNanos))
				.setEarlierListAgeMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos - job.earlierListNanos) + 1);
		}
		this.transport.submit(target, message.build(), remaining).whenComplete((result, failure) -> {
			if (this.pending.get(job.spec.id()) == job && target.equals(job.submittedTo)) {
				handleReply(job, result, failure, this.clock.getAsLong());
			}
		});
	}

	private void handleReply(PendingJob job, JobResult result, Throwable failure, long nowNanos) {
		if (failure != null) {
			handleFailure(job, ErrorReply.toDispatchException(failure), nowNanos);
			return;
		}
		JobOutcome outcome = JobMessages.toOutcome(result);
		if (outcome == JobOutcome.MOVED) {
			scheduleResubmission(job, true, result.getReason(), nowNanos);
			return;
		}
		if (outcome == JobOutcome.REFUSED && job.mayHaveRun) {
			outcome = JobOutcome.ABANDONED;
		}
		end(job, new JobAnswer(outcome, result.getReason(),
				TimeUnit.MILLISECONDS.toNanos(result.getRetryAfterMillis())));
	}

	private void handleFailure(PendingJob job, DispatchException error, long nowNanos) {
		boolean mayHaveRun = error.outcome() != Outcome.NOT_RUN;
		if (error.kind() == ErrorKind.DEADLINE_EXCEEDED) {
			// The link is up, so the scheduler would continue to act on the job.
			this.transport.withdraw(job.submittedTo, job.spec.id());
		}
		if (mayHaveRun) {
			job.holders.put(job.submittedTo, new Holder(nowNanos, this.transport.heldUntilNanos(job.submittedTo)));
		}
		scheduleResubmission(job, mayHaveRun, error.getMessage(), nowNanos);
	}

	// Returns how much longer earlier schedulers other than the target may act on a job.
	// Rounds up, so that the time is never too short.
	private long heldMillis(PendingJob job, HostId target, long nowNanos) {
		long heldNanos = 0;
		for (Map.Entry<HostId, Holder> entry : job.holders.entrySet()) {
			Holder holder = entry.getValue();
			if (!entry.getKey().equals(target) && !this.transport.hasEndedSince(entry.getKey(), holder.lostNanos())) {
				heldNanos = Math.max(heldNanos, holder.untilNanos() - nowNanos);
			}
		}
		return (heldNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
	}

	private void scheduleResubmission(PendingJob job, boolean mayHaveRun, String reason, long nowNanos) {
		this.events.resubmissionScheduled(job.spec.id(), job.submittedTo, reason);
		if (mayHaveRun) {
			job.mayHaveRun = true;
			job.earlierListNanos = Math.min(job.earlierListNanos, this.transport.workersListedNanos(job.submittedTo));
		}
		job.submittedTo = null;
		job.earliestSubmitNanos = nowNanos + RESUBMIT_DELAY_NANOS;
	}

	private void end(PendingJob job, JobAnswer answer) {
		this.pending.remove(job.spec.id());
		this.events.ended(job.spec.id(), answer, this.clock.getAsLong() - job.arrivalNanos, job.submittedTo);
		job.answer(answer);
	}

	private static final class PendingJob {

		private final JobSpec spec;

		private final long arrivalNanos;

		private final long deadlineNanos;

		private final List<CompletableFuture<JobAnswer>> callers = new ArrayList<>();

		/** The host to which the job is submitted, null if none. */
		private HostId submittedTo;

		private boolean mayHaveRun;

		/** Earlier schedulers that may still act on the job. */
		private final Map<HostId, Holder> holders = new HashMap<>();

		private long earliestSubmitNanos;

		/**
		 * When all workers that its earlier schedulers used were listed, nanoseconds
		 * since the Unix epoch.
		 */
		private long earlierListNanos = Long.MAX_VALUE;

		PendingJob(JobSpec spec, long arrivalNanos, long deadlineNanos) {
			this.spec = spec;
			this.arrivalNanos = arrivalNanos;
			this.deadlineNanos = deadlineNanos;
		}

		void answer(JobAnswer answer) {
			List.copyOf(this.callers).forEach((caller) -> caller.complete(answer));
		}

	}

	/**
	 * An earlier scheduler of a job.
	 *
	 * @param lostNanos when the link to it was lost, nanoseconds since the Unix epoch
	 * @param untilNanos until when it may act on the job, nanoseconds since the Unix
	 * epoch
	 */
	private record Holder(long lostNanos, long untilNanos) {

	}

}
