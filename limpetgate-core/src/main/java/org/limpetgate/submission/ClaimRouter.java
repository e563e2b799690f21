package org.limpetgate.submission;

import org.limpetgate.DataCentreId;
import org.limpetgate.ErrorKind;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;

/**
 * Claims the keys of submissions, or forwards the submissions to the home data centre of
 * the key or to the holder of its claim.
 * <p>
 * A key is claimed only in its home data centre. A key with a claim is claimed again only
 * if all tasks are idempotent and the holder is dead. Not thread-safe.
 */
final class ClaimRouter {

	private final Incarnation self;

	private final DataCentres dataCentres;

	private final ClaimTable claims;

	private final DeadIncarnations deadIncarnations;

	private final SubmissionAdmission admission;

	private final JobClaims jobClaims;

	private final RequestForwarder forwarder;

	private final Replies replies;

	ClaimRouter(Incarnation self, DataCentres dataCentres, ClaimTable claims, DeadIncarnations deadIncarnations,
			SubmissionAdmission admission, JobClaims jobClaims, RequestForwarder forwarder, Replies replies) {
		this.self = self;
		this.dataCentres = dataCentres;
		this.claims = claims;
		this.deadIncarnations = deadIncarnations;
		this.admission = admission;
		this.jobClaims = jobClaims;
		this.forwarder = forwarder;
		this.replies = replies;
	}

	// Routes a submission whose job is not known here and whose key is not a ticket.
	void route(Waiter waiter, long nowNanos) {
		DataCentreId home = this.dataCentres.homeOf(waiter.submission().keyHash());
		if (home.equals(this.dataCentres.local())) {
			routeByClaim(waiter, nowNanos);
		}
		else if (waiter.hops() > 0) {
			this.replies.refuseWithRetryAfter(waiter, ErrorKind.HISTORY_UNAVAILABLE,
					"the hosts have different home data centres for the key; check their data centre settings");
		}
		else if (this.admission.admitSubmission(waiter, nowNanos)) {
			this.forwarder.submitToHome(waiter, home, nowNanos);
		}
	}

	private void routeByClaim(Waiter waiter, long nowNanos) {
		Submission submission = waiter.submission();
		Claim claim = this.claims.find(submission.keyHash());
		if (claim == null) {
			claim(waiter, 0, nowNanos);
		}
		else if (claim.fingerprint() != submission.fingerprint()) {
			this.replies.refuseReusedKey(waiter, Outcome.UNKNOWN);
		}
		else if (claim.holder().equals(this.self)) {
			refuseExpiredKey(waiter, nowNanos);
		}
		else if (!this.deadIncarnations.contains(claim.holder())) {
			this.forwarder.submitToHolder(waiter.withoutNotRunProof(), claim.holder(), nowNanos);
		}
		else if (submission.isIdempotent()) {
			claim(waiter.withoutNotRunProof(), claim.generation() + 1, nowNanos);
		}
		else {
			this.replies.refuse(waiter, Outcome.UNKNOWN, ErrorKind.HOLDER_LOST,
					"the holder " + claim.holder() + " has terminated");
		}
	}

	private void claim(Waiter waiter, int generation, long nowNanos) {
		if (this.admission.admitSubmission(waiter, nowNanos)) {
			this.jobClaims.claim(waiter, generation, nowNanos);
		}
	}

	// This incarnation holds the claim, but has removed the job after its expiry.
	private void refuseExpiredKey(Waiter waiter, long nowNanos) {
		if (waiter.submission().expiryNanos() > nowNanos) {
			this.replies.reportBrokenInvariant("the job of key " + waiter.submission().key()
					+ ", which this host holds, was removed before its expiry");
		}
		this.replies.refuseExpired(waiter, Outcome.UNKNOWN);
	}

}
