package org.limpetgate.submission;

import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.SubmissionKey;

/**
 * Handles requests about jobs that this host knows, according to the state of the job.
 * <p>
 * Each request is either answered or attached to the job, which answers it when it ends.
 * Not thread-safe.
 */
final class JobRequests {

	private final JobClaims claims;

	private final JobRunner runner;

	private final Replies replies;

	JobRequests(JobClaims claims, JobRunner runner, Replies replies) {
		this.claims = claims;
		this.runner = runner;
		this.replies = replies;
	}

	// Attaches a submission to the job of its key.
	void attach(Job job, Waiter waiter, long nowNanos) {
		if (job.fingerprint != waiter.submission().fingerprint()) {
			boolean provablyUnstarted = job.state == Job.State.HELD && job.isExclusive();
			this.replies.refuseReusedKey(waiter, provablyUnstarted ? Outcome.NOT_RUN : Outcome.UNKNOWN);
			return;
		}
		switch (job.state) {
			case PENDING -> this.claims.attach(job, waiter, nowNanos);
			case HELD -> this.runner.startHeld(job, waiter, nowNanos);
			case RUNNING -> this.runner.attachToRunning(job, waiter);
			case DONE -> this.runner.deliver(job, waiter.request(), this.runner.finalAnswer(job));
		}
	}

	void cancel(Job job, Waiter canceller, long nowNanos) {
		switch (job.state) {
			case PENDING -> this.claims.cancel(job, canceller);
			case HELD -> {
				job.cancelled = true;
				job.waiters.add(canceller);
				this.runner.finishCancelled(job, nowNanos);
			}
			case RUNNING -> {
				job.cancelled = true;
				job.waiters.add(canceller);
				if (!job.tasksCancelled) {
					this.runner.cancelOpenTasks(job);
				}
			}
			case DONE -> this.runner.deliver(job, canceller.request(), this.runner.finalAnswer(job));
		}
	}

	void query(Job job, long request, SubmissionKey key) {
		switch (job.state) {
			case RUNNING -> this.replies.reply(request, Answer.accepted(JobRunner.ACCEPTED_MESSAGE + key));
			case PENDING -> this.replies.reply(request, Answer.refusal(Outcome.UNKNOWN, ErrorKind.UNKNOWN_SUBMISSION,
					"the job is waiting for its claim and has not been started on this host", 0));
			case HELD ->
				this.runner.deliver(job, request, Answer.refusal(job.isExclusive() ? Outcome.NOT_RUN : Outcome.UNKNOWN,
						ErrorKind.UNKNOWN_SUBMISSION, "the job has not been started", 0));
			case DONE -> this.runner.deliver(job, request, this.runner.finalAnswer(job));
		}
	}

}
