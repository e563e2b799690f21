package org.limpetgate.submission;

import java.util.List;
import java.util.function.Consumer;

import org.limpetgate.ErrorKind;
import org.limpetgate.Incarnation;
import org.limpetgate.submission.ClaimWaits.ClaimWait;

/**
 * Claims the keys of jobs in the claims stream, and starts each job whose claim is the
 * first.
 * <p>
 * A job is pending from its claim until the claim has been read back. If an earlier claim
 * may have been missed, the claim never permits a start; an idempotent job then starts
 * without it. A pending job whose claim was sent is kept even if no request waits for it,
 * since the claim may be the first. Not thread-safe.
 */
final class JobClaims {

	private final Incarnation self;

	private final SubmissionSettings settings;

	private final SubmissionRules rules;

	private final ClaimTable claims;

	private final JobTable jobs;

	private final ClaimAppender appender;

	private final JobRunner runner;

	private final Replies replies;

	JobClaims(Incarnation self, SubmissionSettings settings, SubmissionRules rules, ClaimTable claims, JobTable jobs,
			JobRunner runner, Replies replies) {
		this.self = self;
		this.settings = settings;
		this.rules = rules;
		this.claims = claims;
		this.jobs = jobs;
		this.appender = new ClaimAppender(settings);
		this.runner = runner;
		this.replies = replies;
	}

	long nextWakeNanos() {
		return Math.min(this.appender.nextWakeNanos(), this.replies.claimWaits().nextDeadlineNanos());
	}

	// Claims the key of a submission that was admitted, or refuses it. An idempotent job
	// starts without a claim while the claims stream is unavailable.
	void claim(Waiter waiter, int generation, long nowNanos) {
		Submission submission = waiter.submission();
		boolean unavailable = !this.claims.isHistorySufficient(nowNanos);
		if (submission.isIdempotent() && (unavailable || this.appender.isFailing())) {
			startWithoutClaim(waiter, nowNanos);
		}
		else if (unavailable) {
			this.replies.refuseWithRetryAfter(waiter, ErrorKind.HISTORY_UNAVAILABLE,
					"this host has not read enough of the claims stream to rule out an earlier start");
		}
		else if (this.claims.size() >= this.settings.maxClaims()) {
			this.replies.refuseWithRetryAfter(waiter, ErrorKind.OVERLOADED,
					"this data centre has too many claims in memory; tickets need no claim");
		}
		else if (this.replies.claimWaits().size() >= this.settings.maxPendingClaims()) {
			this.replies.refuseWithRetryAfter(waiter, ErrorKind.OVERLOADED,
					"too many submissions are waiting for their claims");
		}
		else {
			Job job = Job.pending(submission, generation, this.settings);
			this.jobs.add(job);
			awaitClaim(job, waiter, nowNanos);
		}
	}

	private void awaitClaim(Job job, Waiter waiter, long nowNanos) {
		job.waiters.add(waiter);
		this.replies.claimWaits().add(new ClaimWait(nowNanos + this.settings.claimWaitNanos(), job, waiter));
		if (!job.claimStored && !this.appender.contains(job.key)) {
			this.appender.add(new Claim(job.key, job.fingerprint, this.self, job.expiryNanos, job.generation),
					nowNanos);
		}
	}

	// Starts a new idempotent job while the claims stream or its home is unavailable.
	void startWithoutClaim(Waiter waiter, long nowNanos) {
		Job job = Job.heldWithoutClaim(waiter.submission(), this.settings);
		this.jobs.add(job);
		this.runner.startHeld(job, waiter, nowNanos);
	}

	private void startPendingWithoutClaim(Job job, long nowNanos) {
		this.appender.remove(job.key);
		job.permission = Job.StartPermission.IDEMPOTENCE;
		job.state = Job.State.HELD;
		this.runner.start(job, nowNanos);
	}

	// Adds a request to a pending job.
	void attach(Job job, Waiter waiter, long nowNanos) {
		if (job.cancelled) {
			this.replies.refuse(waiter, ErrorKind.CANCELLED, "the job was cancelled");
		}
		else if (job.expiryNanos <= nowNanos) {
			this.replies.refuseExpired(waiter, Replies.refusalOutcome(waiter));
		}
		else if (!job.mayHaveMissedClaim) {
			awaitClaim(job, waiter, nowNanos);
		}
		else if (job.idempotent) {
			job.waiters.add(waiter);
			startPendingWithoutClaim(job, nowNanos);
		}
		else {
			refuseForMissingRecords(waiter);
		}
	}

	// Cancels a pending job. The claim is still appended: if it is the first, no other
	// host can start the job.
	void cancel(Job job, Waiter canceller) {
		job.cancelled = true;
		for (Waiter waiter : this.replies.removeWaiters(job)) {
			this.replies.refuse(waiter, ErrorKind.CANCELLED, "the job was cancelled before it started");
		}
		this.replies.refuse(canceller, ErrorKind.CANCELLED,
				"the job is cancelled unless another host has already started it");
	}

	// Removes a request whose caller has disconnected from the job that it waits for.
	void abandon(long request) {
		ClaimWait wait = this.replies.claimWaits().remove(request);
		if (wait != null) {
			wait.job().waiters.remove(wait.waiter());
		}
	}

	// Emits the append that is due, if any.
	void appendDue(long nowNanos) {
		boolean idle = this.claims.latestAppendNanos() + this.settings.markerIntervalNanos() < nowNanos;
		if (idle && this.claims.isHistorySufficient(nowNanos)) {
			this.appender.requestMarker();
		}
		SubmissionEffect.AppendClaims append = this.appender.next(nowNanos, this::isStillNeeded);
		if (append != null) {
			append.claims().forEach(this::markSent);
			this.replies.emit(append);
		}
	}

	private void markSent(Claim claim) {
		Job job = this.jobs.find(claim.key());
		if (job != null) {
			job.claimSent = true;
		}
	}

	private boolean isStillNeeded(Claim claim) {
		Job job = this.jobs.find(claim.key());
		return job != null && job.state == Job.State.PENDING && !job.mayHaveMissedClaim && !job.claimStored
				&& (job.cancelled || !job.waiters.isEmpty());
	}

	void appended(long append, long nowNanos) {
		for (Claim claim : this.appender.succeeded(append)) {
			Job job = this.jobs.find(claim.key());
			if (job != null && job.state == Job.State.PENDING) {
				job.claimStored = true;
				if (!this.rules.needsReadBack()) {
					claimWon(job, nowNanos);
				}
			}
		}
	}

	void appendFailed(long append, long nowNanos) {
		this.appender.failed(append, nowNanos, this::isStillNeeded);
	}

	// Marks the claims of all pending jobs as unreliable: the missing records may contain
	// earlier claims on their keys.
	void recordsMissed(long nowNanos) {
		for (Job job : List.copyOf(this.jobs.all())) {
			if (job.state == Job.State.PENDING) {
				abandonClaim(job, nowNanos);
			}
		}
	}

	private void abandonClaim(Job job, long nowNanos) {
		job.mayHaveMissedClaim = true;
		if (job.idempotent && !job.cancelled && !job.waiters.isEmpty() && job.expiryNanos > nowNanos) {
			startPendingWithoutClaim(job, nowNanos);
			return;
		}
		this.replies.removeWaiters(job).forEach(this::refuseForMissingRecords);
	}

	private void refuseForMissingRecords(Waiter waiter) {
		this.replies.refuseWithRetryAfter(waiter, ErrorKind.HISTORY_UNAVAILABLE,
				"records of the claims stream were trimmed before this host had read them");
	}

	// Processes a claim that was read: starts the job of the key if its own claim is the
	// first. If another claim is the first, removes the job and passes its requests to
	// the consumer, without the proof that the job was not run.
	void claimRead(KeyHash key, long nowNanos, Consumer<Waiter> losers) {
		Job job = this.jobs.find(key);
		if (job == null || job.permission != Job.StartPermission.CLAIM) {
			return;
		}
		Claim winner = this.claims.find(key);
		boolean ownClaimIsFirst = this.claims.isHeldBy(key, this.self, job.generation, job.fingerprint);
		if (job.state == Job.State.HELD && !ownClaimIsFirst) {
			this.jobs.remove(job);
		}
		if (job.state != Job.State.PENDING || job.mayHaveMissedClaim) {
			return;
		}
		if (!ownClaimIsFirst) {
			if (winner != null && winner.generation() >= job.generation) {
				claimLost(job, losers);
			}
		}
		else if (this.claims.isHistorySufficient(nowNanos)) {
			claimWon(job, nowNanos);
		}
		else {
			abandonClaim(job, nowNanos);
		}
	}

	private void claimWon(Job job, long nowNanos) {
		this.appender.remove(job.key);
		job.state = Job.State.HELD;
		if (job.cancelled) {
			this.runner.finishCancelled(job, nowNanos);
		}
		else if (job.expiryNanos <= nowNanos) {
			for (Waiter waiter : this.replies.removeWaiters(job)) {
				this.replies.refuseExpired(waiter, job.refusalOutcome(waiter));
			}
		}
		else if (!job.waiters.isEmpty()) {
			this.runner.start(job, nowNanos);
		}
	}

	private void claimLost(Job job, Consumer<Waiter> losers) {
		this.appender.remove(job.key);
		this.jobs.remove(job);
		for (Waiter waiter : this.replies.removeWaiters(job)) {
			losers.accept(waiter.withoutNotRunProof());
		}
	}

	// Ends the waits whose claims were not read back in time.
	void endOverdueWaits(long nowNanos) {
		ClaimWait wait = this.replies.claimWaits().removeDue(nowNanos);
		for (; wait != null; wait = this.replies.claimWaits().removeDue(nowNanos)) {
			Job job = wait.job();
			if (job.state != Job.State.PENDING || !job.waiters.contains(wait.waiter())) {
				continue;
			}
			if (job.idempotent && job.expiryNanos > nowNanos) {
				startPendingWithoutClaim(job, nowNanos);
				continue;
			}
			job.waiters.remove(wait.waiter());
			this.replies.refuseWithRetryAfter(wait.waiter(), ErrorKind.HISTORY_UNAVAILABLE,
					"the claim could not be read back in time");
			removeUnsent(job);
		}
	}

	private void removeUnsent(Job job) {
		if (job.waiters.isEmpty() && !job.cancelled && !job.claimSent) {
			this.appender.remove(job.key);
			this.jobs.remove(job);
		}
	}

}
