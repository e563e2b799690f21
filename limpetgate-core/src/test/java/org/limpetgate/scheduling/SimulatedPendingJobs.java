package org.limpetgate.scheduling;

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
import org.limpetgate.scheduling.FleetMessage.JobResult;
import org.limpetgate.scheduling.FleetMessage.SubmitJob;

/**
 * The jobs whose callers wait at a host of {@link FleetSimulation}. Follows
 * {@code org.limpetgate.host.fleet.PendingJobs}, which this module cannot use, with the
 * same names. Not thread-safe.
 */
final class SimulatedPendingJobs {

	private static final long MAX_SCHEDULER_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	private static final String NO_SCHEDULER = "no scheduler is currently available";

	private static final long RESUBMIT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private final Map<JobId, PendingJob> pending = new LinkedHashMap<>();

	private final Transport transport;

	private final LongSupplier clock;

	private final FleetTrace.Writer trace;

	private HostId scheduler;

	SimulatedPendingJobs(Transport transport, LongSupplier clock, FleetTrace.Writer trace) {
		this.transport = transport;
		this.clock = clock;
		this.trace = trace;
	}

	// Cancelling the answer withdraws the job unless other callers wait for it.
	CompletableFuture<JobResult> submit(JobSpec spec, long remainingNanos, long nowNanos) {
		PendingJob job = this.pending.get(spec.id());
		if (job == null) {
			job = new PendingJob(spec, nowNanos, nowNanos + remainingNanos);
			this.pending.put(spec.id(), job);
			this.trace.job(spec.id(), "JOB_ACCEPTED");
		}
		CompletableFuture<JobResult> answer = new CompletableFuture<>();
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

	private void removeCaller(PendingJob job, CompletableFuture<JobResult> answer) {
		job.callers.remove(answer);
		if (job.callers.isEmpty()) {
			withdraw(job);
		}
	}

	private void withdraw(PendingJob job) {
		if (this.pending.remove(job.spec.id(), job)) {
			this.trace.job(job.spec.id(), "JOB_WITHDRAWN at " + job.submittedTo);
			if (job.submittedTo != null) {
				this.transport.withdraw(job.submittedTo, job.spec.id());
			}
		}
	}

	int size() {
		return this.pending.size();
	}

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
			end(job, new JobResult(job.mayHaveRun ? JobOutcome.ABANDONED : JobOutcome.REFUSED, NO_SCHEDULER));
			return;
		}
		submitToScheduler(job, nowNanos);
		boolean waitedTooLong = nowNanos - job.arrivalNanos > MAX_SCHEDULER_WAIT_NANOS;
		if (job.submittedTo == null && !job.mayHaveRun && waitedTooLong) {
			end(job, new JobResult(JobOutcome.REFUSED, NO_SCHEDULER));
		}
	}

	private void submitToScheduler(PendingJob job, long nowNanos) {
		if (job.submittedTo != null || this.scheduler == null || nowNanos < job.earliestSubmitNanos) {
			return;
		}
		HostId target = this.scheduler;
		job.submittedTo = target;
		long remaining = Math.max(1, job.deadlineNanos - nowNanos);
		long held = job.heldNanos(target, nowNanos);
		this.trace.job(job.spec.id(), "submits to " + target + ", resubmitted " + job.mayHaveRun + ", held " + held);
		this.transport
			.submit(target,
					new SubmitJob(job.spec, nowNanos - job.arrivalNanos, remaining, job.mayHaveRun, held,
							Math.max(0, nowNanos - job.earlierListNanos)),
					remaining)
			.whenComplete((result, failure) -> {
				if (this.pending.get(job.spec.id()) == job && target.equals(job.submittedTo)) {
					handleReply(job, result, failure, this.clock.getAsLong());
				}
			});
	}

	private void handleReply(PendingJob job, JobResult result, Throwable failure, long nowNanos) {
		if (failure instanceof DispatchException error) {
			boolean mayHaveRun = error.outcome() != Outcome.NOT_RUN;
			if (mayHaveRun) {
				job.heldUntilNanos.put(job.submittedTo, nowNanos + this.transport.heldNanos(job.submittedTo, nowNanos));
			}
			if (error.kind() == ErrorKind.DEADLINE_EXCEEDED && this.transport.withdrawsOverdueJobs()) {
				this.transport.withdraw(job.submittedTo, job.spec.id());
			}
			scheduleResubmission(job, mayHaveRun, error.getMessage(), nowNanos);
			return;
		}
		JobOutcome outcome = result.outcome();
		if (outcome == JobOutcome.MOVED) {
			scheduleResubmission(job, true, result.reason(), nowNanos);
			return;
		}
		if (outcome == JobOutcome.REFUSED && job.mayHaveRun) {
			outcome = JobOutcome.ABANDONED;
		}
		end(job, new JobResult(outcome, result.reason()));
	}

	private void scheduleResubmission(PendingJob job, boolean mayHaveRun, String reason, long nowNanos) {
		this.trace.job(job.spec.id(), "JOB_TAKEN_BACK from " + job.submittedTo + ": " + reason);
		if (mayHaveRun) {
			job.mayHaveRun = true;
			job.earlierListNanos = Math.min(job.earlierListNanos, this.transport.workersListedNanos(job.submittedTo));
		}
		job.submittedTo = null;
		job.earliestSubmitNanos = nowNanos + RESUBMIT_DELAY_NANOS;
	}

	private void end(PendingJob job, JobResult answer) {
		this.pending.remove(job.spec.id());
		this.trace.job(job.spec.id(), "JOB_ENDED " + answer);
		List.copyOf(job.callers).forEach((caller) -> caller.complete(answer));
	}

	/** Carries jobs to the scheduler of this host or of a peer. */
	interface Transport {

		// Fails with a DispatchException.
		CompletableFuture<JobResult> submit(HostId scheduler, SubmitJob job, long timeoutNanos);

		void withdraw(HostId scheduler, JobId job);

		// Tests whether a job is withdrawn when its caller has stopped waiting without an
		// answer of the scheduler.
		boolean withdrawsOverdueJobs();

		// Returns how much longer a scheduler that was lost may act on the jobs that were
		// submitted to it.
		long heldNanos(HostId scheduler, long nowNanos);

		// Returns when all workers that a host used last were listed, 0 if nothing is
		// known.
		long workersListedNanos(HostId scheduler);

	}

	private static final class PendingJob {

		private final JobSpec spec;

		private final long arrivalNanos;

		private final long deadlineNanos;

		private final List<CompletableFuture<JobResult>> callers = new ArrayList<>();

		/** The host to which the job is submitted, null if none. */
		private HostId submittedTo;

		private boolean mayHaveRun;

		private long earliestSubmitNanos;

		/** When all workers that its earlier schedulers used were listed. */
		private long earlierListNanos = Long.MAX_VALUE;

		/** Until when each earlier scheduler may act on the job. */
		private final Map<HostId, Long> heldUntilNanos = new HashMap<>();

		PendingJob(JobSpec spec, long arrivalNanos, long deadlineNanos) {
			this.spec = spec;
			this.arrivalNanos = arrivalNanos;
			this.deadlineNanos = deadlineNanos;
		}

		// Returns how much longer earlier schedulers other than the target may act on
		// this job.
		long heldNanos(HostId target, long nowNanos) {
			return this.heldUntilNanos.entrySet()
				.stream()
				.filter((entry) -> !entry.getKey().equals(target))
				.mapToLong((entry) -> Math.max(0, entry.getValue() - nowNanos))
				.max()
				.orElse(0);
		}

	}

}
