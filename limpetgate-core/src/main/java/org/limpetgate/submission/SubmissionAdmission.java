package org.limpetgate.submission;

import java.util.concurrent.TimeUnit;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;

/**
 * Decides whether this host accepts a new submission or starts a held job.
 * <p>
 * A request that is not accepted has received its refusal. The outcome "not run" is only
 * given where the request or the job proves it. Not thread-safe.
 */
final class SubmissionAdmission {

	private final SubmissionSettings settings;

	private final JobFeasibility feasibility;

	private final JobTable jobs;

	private final Replies replies;

	private boolean draining;

	SubmissionAdmission(SubmissionSettings settings, JobFeasibility feasibility, JobTable jobs, Replies replies) {
		this.settings = settings;
		this.feasibility = feasibility;
		this.jobs = jobs;
		this.replies = replies;
	}

	boolean isDraining() {
		return this.draining;
	}

	private boolean isMemoryExhausted() {
		return this.replies.openRequests().bytes() + this.jobs.runningBytes() > this.settings.maxOpenBytes();
	}

	// Stops accepting new submissions; held jobs can still start.
	void drain() {
		this.draining = true;
	}

	// Checks a submission whose job is not known here; returns false after refusing it.
	boolean admitSubmission(Waiter waiter, long nowNanos) {
		if (!admitExpiry(waiter, nowNanos)) {
			return false;
		}
		if (this.draining) {
			this.replies.refuseWithRetryAfter(waiter, ErrorKind.SHUTTING_DOWN, "this host is leaving");
			return false;
		}
		if (isMemoryExhausted()) {
			this.replies.refuseOverloaded(waiter, Replies.refusalOutcome(waiter));
			return false;
		}
		DispatchException infeasibility = this.feasibility.infeasibilityReason(waiter.submission());
		if (infeasibility != null) {
			this.replies.refuse(waiter, Replies.refusalOutcome(waiter), infeasibility);
			return false;
		}
		return true;
	}

	private boolean admitExpiry(Waiter waiter, long nowNanos) {
		// The forwarding peer has already checked the expiry, by a clock that may be
		// ahead.
		long tolerance = (waiter.hops() > 0) ? this.settings.skewNanos() : 0;
		long ahead = waiter.submission().expiryNanos() - nowNanos;
		if (ahead <= 0 || (waiter.hops() == 0 && ahead < this.settings.minExpiryAheadNanos())) {
			this.replies.refuse(waiter, ErrorKind.EXPIRED, "the expiry is not at least "
					+ TimeUnit.NANOSECONDS.toMillis(this.settings.minExpiryAheadNanos()) + " ms ahead");
			return false;
		}
		if (ahead > this.settings.maxExpiryAheadNanos() + tolerance) {
			this.replies.refuse(waiter, ErrorKind.EXPIRY_TOO_FAR, "the expiry is more than "
					+ TimeUnit.NANOSECONDS.toSeconds(this.settings.maxExpiryAheadNanos()) + " s ahead");
			return false;
		}
		return true;
	}

	// Checks whether a held job can start for a request; returns false after refusing it.
	boolean admitStart(Job job, Waiter waiter, long nowNanos) {
		DispatchException infeasibility = this.feasibility.infeasibilityReason(waiter.submission());
		Outcome outcome = job.refusalOutcome(waiter);
		if (job.expiryNanos <= nowNanos) {
			this.replies.refuseExpired(waiter, outcome);
			return false;
		}
		if (infeasibility != null) {
			this.replies.refuse(waiter, outcome, infeasibility);
			return false;
		}
		if (isMemoryExhausted()) {
			this.replies.refuseOverloaded(waiter, outcome);
			return false;
		}
		return true;
	}

}
