package org.limpetgate.submission;

import java.util.List;

import org.limpetgate.DataCentreId;
import org.limpetgate.Incarnation;

/**
 * An action that a {@link SubmissionSystem} requests from its host.
 */
public sealed interface SubmissionEffect {

	/**
	 * Appends claims to the claims stream of this data centre as one record. The host
	 * reports the result with {@link SubmissionSystem#claimsAppended} or
	 * {@link SubmissionSystem#appendFailed}.
	 *
	 * @param append the number of the append, which the report refers to
	 * @param claims the claims; empty for a marker, which ensures that the stream
	 * contains a record within the retention time
	 */
	record AppendClaims(long append, List<Claim> claims) implements SubmissionEffect {
	}

	/**
	 * Passes the tasks of a job to the dispatcher. The host reports the end of each task,
	 * including a refusal by the dispatcher, with {@link SubmissionSystem#taskEnded}. No
	 * task may start after the expiry of the submission.
	 *
	 * @param jobRunNumber the number of the run of the job, which the reports refer to
	 * @param submission the submission with the tasks
	 */
	record StartTasks(long jobRunNumber, Submission submission) implements SubmissionEffect {
	}

	/**
	 * Cancels a task. The host still reports the end of the task.
	 *
	 * @param jobRunNumber the number of the run of the job
	 * @param index the position of the task in the submission
	 */
	record CancelTask(long jobRunNumber, int index) implements SubmissionEffect {
	}

	/**
	 * Forwards a request to an incarnation of a host. The host reports the reply with
	 * {@link SubmissionSystem#peerReplied} or {@link SubmissionSystem#peerFailed}. The
	 * request must be sent at most once. When the connection breaks or the target becomes
	 * suspect, the host reports a failure, so that the caller gets a reply without delay.
	 *
	 * @param request the number of the request, which the report refers to
	 * @param target the incarnation
	 * @param message the message
	 */
	record ForwardToHost(long request, Incarnation target, PeerRequest message) implements SubmissionEffect {
	}

	/**
	 * Forwards a request to any live host of a data centre, as {@link ForwardToHost}
	 * does. The request may be sent to another host as long as no byte of it has been
	 * sent.
	 *
	 * @param request the number of the request, which the report refers to
	 * @param target the data centre
	 * @param message the message
	 */
	record ForwardToDataCentre(long request, DataCentreId target, PeerRequest message) implements SubmissionEffect {
	}

	/**
	 * Replies to a request of a caller or a peer. Emitted at most once for each request,
	 * and not at all for an abandoned one.
	 *
	 * @param request the number of the request
	 * @param answer the answer
	 */
	record Reply(long request, Answer answer) implements SubmissionEffect {
	}

	/**
	 * Reports a violated invariant, to be logged. A start that would have violated it
	 * does not take place.
	 *
	 * @param message the invariant and the key concerned
	 */
	record InvariantBroken(String message) implements SubmissionEffect {
	}

}
