package org.limpetgate.submission;

/**
 * A request that waits for an answer about a submission.
 *
 * @param request the number of the request
 * @param submission what was submitted, null for a cancellation
 * @param hops the number of hosts that have passed the request on
 * @param provable whether it is known that no earlier request of this key exists and that
 * this one was not passed on; only then can a refusal without a claim be "not run"
 */
record Waiter(long request, Submission submission, int hops, boolean provable) {

	static Waiter of(long request, Submission submission, int hops) {
		return new Waiter(request, submission, hops, submission.isFirstAttempt());
	}

	Waiter withoutProof() {
		return new Waiter(this.request, this.submission, this.hops, false);
	}

	boolean isCancellation() {
		return this.submission == null;
	}

}
