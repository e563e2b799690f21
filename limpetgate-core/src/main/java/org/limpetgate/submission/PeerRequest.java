package org.limpetgate.submission;

import org.limpetgate.CallerId;
import org.limpetgate.SubmissionKey;

/**
 * A request about a submission that one entry host passes to another.
 * <p>
 * The number of hops counts the hosts that have passed it on, so that hosts with
 * different views cannot pass it round in a circle.
 */
public sealed interface PeerRequest {

	/**
	 * Returns the caller.
	 * @return the caller, not null
	 */
	CallerId caller();

	/**
	 * Returns the caller's key.
	 * @return the key, not null
	 */
	SubmissionKey key();

	/**
	 * Returns the number of hosts that have passed the request on.
	 * @return the number, at least 1
	 */
	int hops();

	/**
	 * Passes a submission on.
	 *
	 * @param submission the submission
	 * @param hops the number of hosts that have passed it on
	 */
	record Submit(Submission submission, int hops) implements PeerRequest {

		@Override
		public CallerId caller() {
			return this.submission.caller();
		}

		@Override
		public SubmissionKey key() {
			return this.submission.key();
		}

	}

	/**
	 * Asks for the state of a submission.
	 *
	 * @param caller the caller
	 * @param key the caller's key
	 * @param hops the number of hosts that have passed it on
	 */
	record Query(CallerId caller, SubmissionKey key, int hops) implements PeerRequest {
	}

	/**
	 * Cancels a submission.
	 *
	 * @param caller the caller
	 * @param key the caller's key
	 * @param hops the number of hosts that have passed it on
	 */
	record Cancel(CallerId caller, SubmissionKey key, int hops) implements PeerRequest {
	}

}
