package org.limpetgate.submission;

import java.util.List;

import org.limpetgate.DataCentreId;
import org.limpetgate.Incarnation;

/**
 * What a {@link SubmissionSystem} asks its host to do.
 */
public sealed interface SubmissionEffect {

	/**
	 * Appends claims to the claims stream of this data centre as one record. The host
	 * reports the end with {@link SubmissionSystem#claimsAppended} or
	 * {@link SubmissionSystem#appendFailed}.
	 *
	 * @param append the number of the append, to be given back
	 * @param claims the claims; empty for a marker, which keeps a record within retention
	 */
	record AppendClaims(long append, List<Claim> claims) implements SubmissionEffect {
	}

	/**
	 * Offers the tasks of a job to the dispatcher. The host reports each end, including a
	 * refusal by the dispatcher, with {@link SubmissionSystem#taskEnded}. No task may
	 * start after the expiry of the submission.
	 *
	 * @param job the number of the job, to be given back
	 * @param submission the submission with the tasks
	 */
	record StartTasks(long job, Submission submission) implements SubmissionEffect {
	}

	/**
	 * Cancels a task. The host still reports its end.
	 *
	 * @param job the number of the job
	 * @param index the position of the task in the submission
	 */
	record CancelTask(long job, int index) implements SubmissionEffect {
	}

	/**
	 * Passes a request to an incarnation of a host. The host reports the answer with
	 * {@link SubmissionSystem#peerReplied} or {@link SubmissionSystem#peerFailed}. It is
	 * to be sent at most once. When the connection breaks or the target becomes suspect,
	 * the host reports a failure, so that the caller is answered at once.
	 *
	 * @param request the number of the request, to be given back
	 * @param target the incarnation
	 * @param message the message
	 */
	record ForwardToHost(long request, Incarnation target, PeerRequest message) implements SubmissionEffect {
	}

	/**
	 * Passes a request to any live host of a data centre, as {@link ForwardToHost} does.
	 * Another host may be tried as long as no byte has been sent.
	 *
	 * @param request the number of the request, to be given back
	 * @param target the data centre
	 * @param message the message
	 */
	record ForwardToDataCentre(long request, DataCentreId target, PeerRequest message) implements SubmissionEffect {
	}

	/**
	 * Answers a request of a caller or a peer. Emitted exactly once for each request.
	 *
	 * @param request the number of the request
	 * @param answer the answer
	 */
	record Reply(long request, Answer answer) implements SubmissionEffect {
	}

	/**
	 * Reports a broken invariant, to be logged. The start that would have broken it does
	 * not take place.
	 *
	 * @param message which invariant and which key
	 */
	record InvariantBroken(String message) implements SubmissionEffect {
	}

}
