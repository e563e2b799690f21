package org.limpetgate.submission;

import java.util.ArrayList;
import java.util.List;

import org.limpetgate.Outcome;

/**
 * A job at the host that holds it or tries to.
 * <p>
 * After its end it keeps only what is needed to recognise resubmissions.
 */
final class Job {

	/**
	 * Where a job stands.
	 */
	enum State {

		/** The claim has not been read back. */
		PENDING,

		/** This incarnation may start the job and has not, or every task was not run. */
		HELD,

		/** The tasks were handed over. */
		RUNNING,

		/** The job has ended and will not be started again. */
		DONE

	}

	/**
	 * What gives this host the right to start the job.
	 */
	enum Right {

		/** The first claim in the stream. */
		CLAIM,

		/** A ticket issued by this incarnation. */
		TICKET,

		/** All tasks are idempotent, and the claims could not be consulted. */
		IDEMPOTENCE

	}

	final KeyHash key;

	final long fingerprint;

	final long expiryNanos;

	final boolean idempotent;

	final int generation;

	/** The time until which the job is remembered at least. */
	final long keepUntilNanos;

	/**
	 * The ticket that was found genuine when the job was made, null without one and after
	 * the end. Its secret may be replaced before the job starts.
	 */
	Ticket ticket;

	Right right;

	State state;

	boolean cancelled;

	/** Whether the claim may be in the stream. */
	boolean claimSent;

	/** Whether the platform confirmed the append. */
	boolean claimStored;

	/**
	 * Whether an earlier claim may have been missed, so that the job is never started.
	 */
	boolean unproved;

	/** The present run: rises with each start, so that late results are recognised. */
	long number;

	/** Kept while the job runs. */
	Submission submission;

	/** The bytes of the submission and the results while the job runs. */
	long runningBytes;

	TaskResult[] results;

	int open;

	boolean failing;

	/** Whether a task ended without proof that it did not run. */
	boolean mayHaveRun;

	/** Null until the end, and again after the result was dropped. */
	Answer answer;

	/** What the answer said; stays after the result was dropped. */
	Outcome outcome;

	long endedNanos;

	List<Waiter> waiters = new ArrayList<>(1);

	Job(Submission submission, Right right, State state, int generation, long keepUntilNanos) {
		this.key = submission.keyHash();
		this.fingerprint = submission.fingerprint();
		this.expiryNanos = submission.expiryNanos();
		this.idempotent = submission.isIdempotent();
		this.right = right;
		this.state = state;
		this.generation = generation;
		this.keepUntilNanos = keepUntilNanos;
	}

	// Tests whether being held and unstarted here proves that no task has started
	// anywhere. An idempotent job with a claim may have run without one elsewhere.
	boolean isExclusive() {
		return this.right == Right.TICKET
				|| (this.right == Right.CLAIM && this.generation == 0 && !this.idempotent && !this.unproved);
	}

	// The outcome of a refusal of a job that this host holds and has not started.
	Outcome refusalOutcome(Waiter waiter) {
		return (waiter.provable() || isExclusive()) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
	}

	// The outcome of the job once every task has ended.
	Outcome joinOutcomes() {
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

	// The first task that is neither complete nor a victim of another's failure.
	int firstFailure() {
		int found = -1;
		for (int i = 0; i < this.results.length; i++) {
			Outcome result = this.results[i].outcome();
			if (result == Outcome.FAILED || (result == Outcome.UNKNOWN && found < 0)) {
				return i;
			}
			if (result == Outcome.NOT_RUN && found < 0) {
				found = i;
			}
		}
		return found;
	}

	List<TaskAnswer> taskAnswers() {
		List<TaskAnswer> answers = new ArrayList<>(this.results.length);
		for (int i = 0; i < this.results.length; i++) {
			answers.add(new TaskAnswer(this.submission.tasks().get(i).id(), this.results[i]));
		}
		return answers;
	}

}
