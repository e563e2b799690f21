package org.limpetgate.submission;

/**
 * A request that is waiting for a reply about a submission.
 *
 * @param request the number of the request
 * @param submission the submission, null for a cancellation or query
 * @param hops the number of hosts that have forwarded the request
 * @param provablyNotRun whether it is known that no earlier request with this key exists
 * and that this one was not forwarded; only then can a refusal without a claim have the
 * outcome "not run"
 */
record Waiter(long request, Submission submission, int hops, boolean provablyNotRun) {

	static Waiter of(long request, Submission submission, int hops) {
		return new Waiter(request, submission, hops, submission.isFirstAttempt());
	}

	Waiter withoutNotRunProof() {
		return new Waiter(this.request, this.submission, this.hops, false);
	}

	boolean isCancellation() {
		return this.submission == null;
	}

}
