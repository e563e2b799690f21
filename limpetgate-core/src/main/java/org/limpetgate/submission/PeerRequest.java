package org.limpetgate.submission;

import org.limpetgate.CallerId;
import org.limpetgate.SubmissionKey;

/**
 * A request about a submission that one entry host forwards to another.
 * <p>
 * The number of hops is limited, so that hosts with inconsistent views cannot forward a
 * request in a loop.
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
	 * Returns the number of hosts that have forwarded the request.
	 * @return the number, at least 1
	 */
	int hops();

	/**
	 * Forwards a submission.
	 *
	 * @param submission the submission
	 * @param hops the number of hosts that have forwarded it
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
	 * Requests the state of a submission.
	 *
	 * @param caller the caller
	 * @param key the caller's key
	 * @param hops the number of hosts that have forwarded it
	 */
	record Query(CallerId caller, SubmissionKey key, int hops) implements PeerRequest {
	}

	/**
	 * Cancels a submission.
	 *
	 * @param caller the caller
	 * @param key the caller's key
	 * @param hops the number of hosts that have forwarded it
	 */
	record Cancel(CallerId caller, SubmissionKey key, int hops) implements PeerRequest {
	}

}
