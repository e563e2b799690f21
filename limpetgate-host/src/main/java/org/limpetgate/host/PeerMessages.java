package org.limpetgate.host;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.limpetgate.CallerId;
import org.limpetgate.SubmissionKey;
import org.limpetgate.config.ConfigurationSnapshot;
import org.limpetgate.host.submission.AnswerJson;
import org.limpetgate.host.submission.SubmissionJson;
import org.limpetgate.proto.CancelSubmission;
import org.limpetgate.proto.ConfigurationOffer;
import org.limpetgate.proto.ForwardSubmission;
import org.limpetgate.proto.PeerFrame;
import org.limpetgate.proto.QuerySubmission;
import org.limpetgate.proto.SubmissionReply;
import org.limpetgate.submission.Answer;
import org.limpetgate.submission.PeerRequest;
import org.limpetgate.submission.Submission;
import org.limpetgate.wire.ConfigurationCodec;

/**
 * Converts requests about submissions and configurations to and from frames.
 * <p>
 * Methods that read a frame throw {@link org.limpetgate.DispatchException} or
 * {@link IllegalArgumentException} if its content is not valid.
 */
final class PeerMessages {

	private PeerMessages() {
	}

	static PeerRequest toRequest(PeerFrame frame) {
		switch (frame.getMessageCase()) {
			case FORWARD_SUBMISSION:
				ForwardSubmission forward = frame.getForwardSubmission();
				Submission submission = SubmissionJson.read(CallerId.of(forward.getCaller()),
						forward.getBody().toByteArray());
				return new PeerRequest.Submit(submission, forward.getHops());
			case QUERY_SUBMISSION:
				QuerySubmission query = frame.getQuerySubmission();
				return new PeerRequest.Query(CallerId.of(query.getCaller()), SubmissionKey.of(query.getKey()),
						query.getHops());
			default:
				CancelSubmission cancel = frame.getCancelSubmission();
				return new PeerRequest.Cancel(CallerId.of(cancel.getCaller()), SubmissionKey.of(cancel.getKey()),
						cancel.getHops());
		}
	}

	static PeerFrame.Builder toFrame(PeerRequest request) {
		PeerFrame.Builder frame = PeerFrame.newBuilder();
		if (request instanceof PeerRequest.Submit submit) {
			return frame.setForwardSubmission(ForwardSubmission.newBuilder()
				.setCaller(request.caller().value())
				.setKey(request.key().value())
				.setBody(ByteString.copyFrom(SubmissionJson.write(submit.submission())))
				.setHops(request.hops()));
		}
		if (request instanceof PeerRequest.Query) {
			return frame.setQuerySubmission(QuerySubmission.newBuilder()
				.setCaller(request.caller().value())
				.setKey(request.key().value())
				.setHops(request.hops()));
		}
		return frame.setCancelSubmission(CancelSubmission.newBuilder()
			.setCaller(request.caller().value())
			.setKey(request.key().value())
			.setHops(request.hops()));
	}

	static PeerFrame.Builder toFrame(Answer answer) {
		return PeerFrame.newBuilder()
			.setSubmissionReply(SubmissionReply.newBuilder()
				.setHttpStatus(answer.httpStatus())
				.setOutcome(answer.outcome().text())
				.setRetryAfterNanos(answer.retryAfterNanos())
				.setBody(ByteString.copyFrom(AnswerJson.write(answer))));
	}

	static PeerFrame.Builder toFrame(Optional<ConfigurationSnapshot> snapshot) {
		ConfigurationOffer.Builder offer = ConfigurationOffer.newBuilder();
		snapshot.ifPresent((state) -> offer.setSnapshot(ConfigurationCodec.toMessage(state)));
		return PeerFrame.newBuilder().setConfigurationOffer(offer);
	}

	static Answer toAnswer(PeerFrame reply) {
		return AnswerJson.read(reply.getSubmissionReply().getBody().toByteArray());
	}

}
