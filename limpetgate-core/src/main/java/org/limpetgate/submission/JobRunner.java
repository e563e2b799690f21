package org.limpetgate.submission;

import java.util.List;

import org.limpetgate.ErrorKind;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;

/**
 * Starts held jobs, combines the results of their tasks and replies to their callers.
 * <p>
 * {@link #start} verifies the invariants of every start; a start that would violate one
 * does not take place. Not thread-safe.
 */
final class JobRunner {

	static final String ACCEPTED_MESSAGE = "the job is accepted; collect its result with GET /v1/submissions/";

	private final Incarnation self;

	private final ClaimTable claims;

	private final JobTable jobs;

	private final SubmissionRules rules;

	private final SubmissionAdmission admission;

	private final Replies replies;

	JobRunner(Incarnation self, ClaimTable claims, JobTable jobs, SubmissionRules rules, SubmissionAdmission admission,
			Replies replies) {
		this.self = self;
		this.claims = claims;
		this.jobs = jobs;
		this.rules = rules;
		this.admission = admission;
		this.replies = replies;
	}

	// Returns false if the task is unknown or has already ended.
	boolean taskEnded(long runNumber, int index, TaskResult result, long nowNanos) {
		Job job = this.jobs.findRunning(runNumber);
		if (job == null || index >= job.results.length || job.results[index] != null) {
			return false;
		}
		job.results[index] = result;
		job.mayHaveRun |= !this.rules.isProvenNotRun(result.outcome());
		this.jobs.addBytes(job, result.body().length);
		job.openTasks--;
		if (job.openTasks == 0) {
			finish(job, nowNanos);
		}
		else if (result.outcome() != Outcome.COMPLETE && !job.tasksCancelled) {
			cancelOpenTasks(job);
		}
		return true;
	}

	void attachToRunning(Job job, Waiter waiter) {
		if (waiter.submission().isSynchronous()) {
			job.waiters.add(waiter);
		}
		else if (this.replies.reply(waiter.request(), Answer.accepted(ACCEPTED_MESSAGE + waiter.submission().key()))) {
			this.jobs.markUncollected(job);
		}
	}

	// Replies with the state or result of a job that is not running, which marks it as
	// collected.
	void deliver(Job job, long request, Answer answer) {
		if (this.replies.reply(request, answer)) {
			this.jobs.markCollected(job);
		}
	}

	Answer finalAnswer(Job job) {
		if (job.answer != null) {
			return job.answer;
		}
		return Answer.error(Outcome.UNKNOWN, ErrorKind.UNKNOWN_SUBMISSION, "the job ended with outcome "
				+ job.outcome.text() + ", but its result is no longer retained; collect results earlier", 0, List.of());
	}

	// Starts a held job for a request, or refuses the request.
	void startHeld(Job job, Waiter waiter, long nowNanos) {
		if (this.admission.admitStart(job, waiter, nowNanos)) {
			job.waiters.add(waiter);
			start(job, nowNanos);
		}
	}

	void start(Job job, long nowNanos) {
		job.submission = job.waiters.get(0).submission();
		String violation = findViolation(job, nowNanos);
		if (violation != null) {
			this.replies.reportBrokenInvariant(violation);
			Answer internal = Answer.refusal(Outcome.UNKNOWN, ErrorKind.INTERNAL, violation, 0);
			this.jobs.finish(job, internal, nowNanos);
			this.replies.removeWaiters(job).forEach((waiter) -> deliver(job, waiter.request(), internal));
			return;
		}
		this.jobs.start(job);
		this.replies.emit(new SubmissionEffect.StartTasks(job.runNumber, job.submission));
		List<Waiter> waiters = this.replies.removeWaiters(job);
		for (Waiter waiter : waiters) {
			attachToRunning(job, waiter);
		}
	}

	// Checks the invariants of a start; returns the violated one, or null if there is
	// none.
	private String findViolation(Job job, long nowNanos) {
		if (job.state != Job.State.HELD || job.cancelled) {
			return "job " + job.key + " would start in state " + job.state;
		}
		if (job.expiryNanos <= nowNanos) {
			return "job " + job.key + " would start after its expiry";
		}
		if (job.mayHaveRun && !job.idempotent) {
			return "job " + job.key + " would start although a task may have run";
		}
		return switch (job.permission) {
			case IDEMPOTENCE -> job.idempotent ? null : "job " + job.key + " would start without a claim";
			case TICKET -> {
				boolean ticketMatches = job.ticket != null && job.ticket.toKey().equals(job.submission.key());
				yield (ticketMatches && job.ticket.issuer().equals(this.self)) ? null
						: "job " + job.key + " would start with the ticket of another incarnation";
			}
			case CLAIM -> {
				boolean holdsFirstClaim = this.claims.isHeldBy(job.key, this.self, job.generation, job.fingerprint);
				boolean mayStart = holdsFirstClaim && (job.generation == 0 || job.idempotent)
						&& !job.mayHaveMissedClaim;
				yield (mayStart || !this.rules.needsReadBack()) ? null
						: "job " + job.key + " would start without the first claim";
			}
		};
	}

	void cancelOpenTasks(Job job) {
		job.tasksCancelled = true;
		for (int i = 0; i < job.results.length; i++) {
			if (job.results[i] == null) {
				this.replies.emit(new SubmissionEffect.CancelTask(job.runNumber, i));
			}
		}
	}

	private void finish(Job job, long nowNanos) {
		Outcome outcome = job.combineOutcomes();
		if (outcome == Outcome.COMPLETE) {
			finish(job, Answer.complete(job.taskAnswers()), nowNanos);
			return;
		}
		int causeIndex = job.firstFailureIndex();
		if (this.rules.isProvenNotRun(outcome)) {
			finishNotRun(job, job.results[causeIndex], nowNanos);
			return;
		}
		ErrorKind error = job.cancelled ? ErrorKind.CANCELLED : ErrorKind.TASK_FAILED;
		TaskResult result = job.results[causeIndex];
		String message = "task '" + job.submission.tasks().get(causeIndex).id() + "' ended with outcome "
				+ result.outcome().text() + ": " + result.detail() + "; " + error.remedy();
		finish(job, Answer.error(outcome, error, message, 0, job.taskAnswers()), nowNanos);
	}

	private void finish(Job job, Answer answer, long nowNanos) {
		this.jobs.finish(job, answer, nowNanos);
		this.replies.removeWaiters(job).forEach((waiter) -> deliver(job, waiter.request(), answer));
	}

	// No task ran: this host continues to hold the key, so that a resubmission can
	// start the job.
	private void finishNotRun(Job job, TaskResult cause, long nowNanos) {
		this.jobs.returnToHeld(job);
		if (job.cancelled) {
			finishCancelled(job, nowNanos);
			return;
		}
		for (Waiter waiter : this.replies.removeWaiters(job)) {
			Answer answer = Answer.error(job.refusalOutcome(waiter), cause.error(), cause.detail(),
					cause.retryAfterNanos(), List.of());
			deliver(job, waiter.request(), answer);
		}
	}

	void finishCancelled(Job job, long nowNanos) {
		Outcome outcome = job.isExclusive() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
		Answer answer = Answer.refusal(outcome, ErrorKind.CANCELLED, "the job was cancelled before it started", 0);
		finish(job, answer, nowNanos);
	}

}
