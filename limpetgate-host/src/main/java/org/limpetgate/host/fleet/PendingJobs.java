package org.limpetgate.host.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.limpetgate.DispatchException;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.Outcome;
import org.limpetgate.net.http.ErrorReply;
import org.limpetgate.proto.JobResult;
import org.limpetgate.scheduling.JobOutcome;
import org.limpetgate.scheduling.JobSpec;

/**
 * The jobs whose callers wait at this host.
 * <p>
 * A job is submitted to the host that schedules, and resubmitted to the next one when
 * that host is lost or gives up its work. A job is answered as refused only if no
 * scheduler can have received it, or the only one that did declares that nothing ran. A
 * stored job waits here only until it is stored.
 * <p>
 * Not thread-safe; used on the event loop.
 */
final class PendingJobs {

	/** How long a job waits for a scheduler to be known before it is refused. */
	private static final long NO_SCHEDULER_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	private static final long RETRY_AFTER_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long MIN_RESUBMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

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
	 * Takes a job.
	 * @param spec the job
	 * @param remainingNanos how long the caller waits
	 * @param nowNanos the present time
	 * @return the answer; the one of the job in progress if it is known; cancelling it
	 * withdraws the job once no caller waits
	 */
	CompletableFuture<JobAnswer> submit(JobSpec spec, long remainingNanos, long nowNanos) {
		PendingJob job = this.pending.get(spec.id());
		if (job == null) {
			job = new PendingJob(spec, nowNanos, nowNanos + remainingNanos);
			this.pending.put(spec.id(), job);
			this.events.accepted(spec);
		}
		CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
		job.callers.add(answer);
		PendingJob waiting = job;
		answer.whenComplete((result, failure) -> {
			if (answer.isCancelled()) {
				abandoned(waiting, answer);
			}
		});
		submitToScheduler(job, nowNanos);
		return answer;
	}

	// A stored job is not withdrawn, since its caller may have got the answer.
	private void abandoned(PendingJob job, CompletableFuture<JobAnswer> answer) {
		job.callers.remove(answer);
		if (job.callers.isEmpty() && !job.spec.stored()) {
			withdraw(job);
		}
	}

	/**
	 * Withdraws a job that is not stored at the wish of its caller.
	 * @param id the job
	 * @return true if the job was waiting here
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
	 * Sets the host that schedules and submits what waits to it.
	 * @param host the host, null if none is known
	 * @param nowNanos the present time
	 */
	void tick(HostId host, long nowNanos) {
		this.scheduler = host;
		for (PendingJob job : List.copyOf(this.pending.values())) {
			if (job.submittedTo == null) {
				submitToScheduler(job, nowNanos);
				giveUp(job, nowNanos);
			}
		}
	}

	private void submitToScheduler(PendingJob job, long nowNanos) {
		if (job.submittedTo != null || this.scheduler == null || nowNanos < job.notBeforeNanos) {
			return;
		}
		HostId target = this.scheduler;
		job.submittedTo = target;
		long remaining = Math.max(1, job.deadlineNanos - nowNanos);
		this.transport
			.submit(target,
					JobMessages.toMessage(job.spec)
						.setWaitedMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos - job.arrivalNanos))
						.setRemainingMillis(TimeUnit.NANOSECONDS.toMillis(remaining))
						.setResubmitted(job.mayHaveRun)
						.build(),
					remaining)
			.whenComplete((result, failure) -> {
				if (this.pending.get(job.spec.id()) == job && target.equals(job.submittedTo)) {
					replied(job, result, failure, this.clock.getAsLong());
				}
			});
	}

	private void replied(PendingJob job, JobResult result, Throwable failure, long nowNanos) {
		if (failure != null) {
			DispatchException error = ErrorReply.toDispatchException(failure);
			detach(job, error.outcome() != Outcome.NOT_RUN, error.getMessage(), nowNanos);
			return;
		}
		JobOutcome outcome = JobMessages.toOutcome(result);
		if (outcome == JobOutcome.MOVED) {
			detach(job, true, result.getReason(), nowNanos);
			return;
		}
		if (outcome == JobOutcome.REFUSED && job.mayHaveRun) {
			outcome = JobOutcome.ABANDONED;
		}
		end(job, new JobAnswer(outcome, result.getReason(),
				TimeUnit.MILLISECONDS.toNanos(result.getRetryAfterMillis())));
	}

	private void detach(PendingJob job, boolean mayHaveRun, String reason, long nowNanos) {
		this.events.takenBack(job.spec.id(), job.submittedTo, reason);
		job.mayHaveRun |= mayHaveRun;
		job.submittedTo = null;
		job.notBeforeNanos = nowNanos + MIN_RESUBMIT_NANOS;
	}

	private void giveUp(PendingJob job, long nowNanos) {
		if (job.submittedTo != null) {
			return;
		}
		if (nowNanos >= job.deadlineNanos) {
			end(job, new JobAnswer(job.mayHaveRun ? JobOutcome.ABANDONED : JobOutcome.REFUSED,
					"no host schedules at present", RETRY_AFTER_NANOS));
		}
		else if (!job.mayHaveRun && nowNanos - job.arrivalNanos > NO_SCHEDULER_NANOS) {
			end(job, new JobAnswer(JobOutcome.REFUSED, "no host schedules at present", RETRY_AFTER_NANOS));
		}
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

		/** The host that has the job, null while none has. */
		private HostId submittedTo;

		private boolean mayHaveRun;

		private long notBeforeNanos;

		PendingJob(JobSpec spec, long arrivalNanos, long deadlineNanos) {
			this.spec = spec;
			this.arrivalNanos = arrivalNanos;
			this.deadlineNanos = deadlineNanos;
		}

		void answer(JobAnswer answer) {
			List.copyOf(this.callers).forEach((caller) -> caller.complete(answer));
		}

	}

}
