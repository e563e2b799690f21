package org.limpetgate.submission;

import java.util.ArrayList;
import java.util.List;

import org.limpetgate.Outcome;

/**
 * A job on the host that holds its key or is claiming it.
 * <p>
 * After it has ended, only the fields that identify resubmissions are retained.
 */
final class Job {

	/**
	 * The state of a job on this host.
	 */
	enum State {

		/** The claim has not been read back from the claims stream yet. */
		PENDING,

		/** This incarnation may start the job; no task has run so far. */
		HELD,

		/** The tasks have been passed to the dispatcher. */
		RUNNING,

		/** The job has ended and is never started again. */
		DONE

	}

	/**
	 * What permits this host to start the job.
	 */
	enum StartPermission {

		/** This incarnation has the first claim of the key in the claims stream. */
		CLAIM,

		/** The key is a ticket that this incarnation issued. */
		TICKET,

		/** All tasks are idempotent, and the claims stream was unavailable. */
		IDEMPOTENCE

	}

	final KeyHash key;

	final long fingerprint;

	final long expiryNanos;

	final boolean idempotent;

	final int generation;

	/**
	 * The earliest time at which the job may be removed, in nanoseconds since the Unix
	 * epoch.
	 */
	final long retainUntilNanos;

	/**
	 * The ticket, verified when the job was created, since its secret may be replaced
	 * before the job starts; null if the key is not a ticket or the job has ended.
	 */
	Ticket ticket;

	StartPermission permission;

	State state;

	boolean cancelled;

	/**
	 * Whether an append of the claim was sent, so that the claim may be in the stream.
	 */
	boolean claimSent;

	/** Whether the platform confirmed the append of the claim. */
	boolean claimStored;

	/**
	 * Whether this host may have missed an earlier claim of the key; the claim then no
	 * longer permits a start.
	 */
	boolean mayHaveMissedClaim;

	/**
	 * The number of the current run, new with each start, so that late results of earlier
	 * runs are detected.
	 */
	long runNumber;

	/** Null unless the job is running. */
	Submission submission;

	/** The bytes of the submission and of the results while the job is running. */
	long runningBytes;

	TaskResult[] results;

	int openTasks;

	boolean tasksCancelled;

	/** Whether a task has ended without proof that it did not run. */
	boolean mayHaveRun;

	/** Null until the job has ended, and again after the result was evicted. */
	Answer answer;

	/** The outcome of the answer, retained after the result was evicted. */
	Outcome outcome;

	long endedNanos;

	List<Waiter> waiters = new ArrayList<>(1);

	private Job(Submission submission, StartPermission permission, State state, int generation, long retainUntilNanos) {
		this.key = submission.keyHash();
		this.fingerprint = submission.fingerprint();
		this.expiryNanos = submission.expiryNanos();
		this.idempotent = submission.isIdempotent();
		this.permission = permission;
		this.state = state;
		this.generation = generation;
		this.retainUntilNanos = retainUntilNanos;
	}

	// A job whose claim has to be read back before it may start.
	static Job pending(Submission submission, int generation, SubmissionSettings settings) {
		return new Job(submission, StartPermission.CLAIM, State.PENDING, generation,
				retainUntilNanos(submission, settings));
	}

	static Job heldByTicket(Submission submission, Ticket ticket, SubmissionSettings settings) {
		long retainUntilNanos = Math.max(ticket.expiryNanos(), retainUntilNanos(submission, settings));
		Job job = new Job(submission, StartPermission.TICKET, State.HELD, 0, retainUntilNanos);
		job.ticket = ticket;
		return job;
	}

	// An idempotent job that may start although the claims stream is unavailable.
	static Job heldWithoutClaim(Submission submission, SubmissionSettings settings) {
		return new Job(submission, StartPermission.IDEMPOTENCE, State.HELD, 0, retainUntilNanos(submission, settings));
	}

	private static long retainUntilNanos(Submission submission, SubmissionSettings settings) {
		return submission.expiryNanos() + settings.skewNanos();
	}

	// Tests whether no other host can have started the job while this host holds it. An
	// idempotent job with a claim may have been started without a claim by another
	// host.
	boolean isExclusive() {
		return this.permission == StartPermission.TICKET || (this.permission == StartPermission.CLAIM
				&& this.generation == 0 && !this.idempotent && !this.mayHaveMissedClaim);
	}

	// Returns the outcome of a refusal of a job that this host holds and has not started.
	Outcome refusalOutcome(Waiter waiter) {
		return (waiter.provablyNotRun() || isExclusive()) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
	}

	// Returns the outcome of the job after every task has ended.
	Outcome combineOutcomes() {
		int complete = 0;
		int notRun = 0;
		boolean failed = false;
		for (TaskResult result : this.results) {
			complete += (result.outcome() == Outcome.COMPLETE) ? 1 : 0;
			notRun += (result.outcome() == Outcome.NOT_RUN) ? 1 : 0;
			failed |= result.outcome() == Outcome.FAILED;
		}
		if (complete == this.results.length) {
			return Outcome.COMPLETE;
		}
		if (notRun == this.results.length) {
			return Outcome.NOT_RUN;
		}
		return (failed || complete + notRun == this.results.length) ? Outcome.FAILED : Outcome.UNKNOWN;
	}

	// Returns the index of the first task that is not complete, or -1. If that task was
	// not run, the first failed task takes precedence, because its failure may have
	// caused the cancellation of the other.
	int firstFailureIndex() {
		int firstNotRun = -1;
		for (int i = 0; i < this.results.length; i++) {
			Outcome result = this.results[i].outcome();
			if (result == Outcome.FAILED || (result == Outcome.UNKNOWN && firstNotRun < 0)) {
				return i;
			}
			if (result == Outcome.NOT_RUN && firstNotRun < 0) {
				firstNotRun = i;
			}
		}
		return firstNotRun;
	}

	List<TaskAnswer> taskAnswers() {
		List<TaskAnswer> answers = new ArrayList<>(this.results.length);
		for (int i = 0; i < this.results.length; i++) {
			answers.add(new TaskAnswer(this.submission.tasks().get(i).id(), this.results[i]));
		}
		return answers;
	}

}
