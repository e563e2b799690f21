package org.limpetgate.host;

import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;
import org.limpetgate.CallerId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.PoolName;
import org.limpetgate.Resources;
import org.limpetgate.RouteName;
import org.limpetgate.TaskId;
import org.limpetgate.dispatch.DispatchEffect;
import org.limpetgate.dispatch.TaskRequest;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.http.HttpReply;
import org.limpetgate.proto.ForwardTask;
import org.limpetgate.proto.PeerFrame;
import org.limpetgate.proto.TaskReply;

/**
 * Converts forwarded tasks and their answers to and from messages.
 */
final class TaskMessages {

	private TaskMessages() {
	}

	static ForwardTask toMessage(TaskRequest task, HttpCall call) {
		return ForwardTask.newBuilder()
			.setCaller(task.caller().value())
			.setRoute(task.route().value())
			.setPool(task.pool().value())
			.setIdempotent(task.idempotent())
			.setCores(task.resources().cores())
			.setMemoryMb(task.resources().memoryMb())
			.setAccelerators(task.resources().accelerators())
			.setMethod(call.method())
			.setTarget(call.target())
			.putAllHeaders(call.headers())
			.setBody(ByteString.copyFrom(call.body()))
			.setDeadlineNanos(task.deadlineNanos())
			.build();
	}

	static TaskRequest toRequest(ForwardTask message, TaskId id) {
		Resources resources = new Resources(message.getCores(), message.getMemoryMb(), message.getAccelerators());
		return new TaskRequest(id, CallerId.of(message.getCaller()), RouteName.of(message.getRoute()),
				PoolName.of(message.getPool()), message.getIdempotent(), resources, message.getBody().size(),
				message.getDeadlineNanos(), 0);
	}

	static HttpCall toCall(ForwardTask message) {
		return new HttpCall(message.getMethod(), message.getTarget(), message.getHeadersMap(),
				message.getBody().toByteArray());
	}

	static void complete(CompletableFuture<PeerFrame.Builder> frame, DispatchEffect.TaskEnded ended, HttpReply reply) {
		if (reply == null) {
			frame.completeExceptionally(error(ended.error(), ended.outcome(), ended.detail(), ended.retryAfterNanos()));
			return;
		}
		TaskReply.Builder message = TaskReply.newBuilder()
			.setHttpStatus(reply.status())
			.putAllHeaders(reply.headers())
			.setBody(ByteString.copyFrom(reply.body()))
			.setOutcome(ended.outcome().text());
		if (ended.error() != null) {
			message.setError(ended.error().name()).setRetryAfterNanos(ended.retryAfterNanos());
		}
		frame.complete(PeerFrame.newBuilder().setTaskReply(message));
	}

	static SpillService.ForwardedAnswer toAnswer(TaskReply message) {
		Outcome outcome = Outcome.parse(message.getOutcome());
		DispatchException error = message.getError().isEmpty() ? null : error(ErrorKind.valueOf(message.getError()),
				outcome, "reported by another data centre", message.getRetryAfterNanos());
		return new SpillService.ForwardedAnswer(outcome, error,
				new HttpReply(message.getHttpStatus(), message.getHeadersMap(), message.getBody().toByteArray()));
	}

	private static DispatchException error(ErrorKind kind, Outcome outcome, String detail, long retryAfterNanos) {
		return (retryAfterNanos > 0) ? DispatchException.withRetryAfter(kind, outcome, detail, retryAfterNanos)
				: DispatchException.of(kind, outcome, detail);
	}

}
