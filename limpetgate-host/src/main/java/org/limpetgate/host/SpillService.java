package org.limpetgate.host;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

import org.limpetgate.DataCentreId;
import org.limpetgate.DispatchException;
import org.limpetgate.Outcome;
import org.limpetgate.TaskId;
import org.limpetgate.dispatch.Admission;
import org.limpetgate.dispatch.DispatchEffect;
import org.limpetgate.dispatch.Dispatcher;
import org.limpetgate.dispatch.RemotePoolState;
import org.limpetgate.dispatch.SpillPolicy;
import org.limpetgate.dispatch.TaskRequest;
import org.limpetgate.net.http.ErrorReply;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.http.HttpReply;

/**
 * Runs tasks in this data centre, or in another one where they are expected to end
 * sooner.
 * <p>
 * A task is forwarded at most once, and runs in this data centre afterwards only if it
 * provably did not run in the other one. A forwarded task cannot be cancelled. Not
 * thread-safe: confined to the control thread.
 */
final class SpillService implements TaskService {

	/** Represents the wait of a task that this data centre refuses. */
	private static final long REFUSED_WAIT_NANOS = Long.MAX_VALUE / 4;

	private final TaskExecutor taskExecutor;

	private final Dispatcher dispatcher;

	private final SpillPolicy policy;

	private final RemoteDataCentres remoteDataCentres;

	private final Executor control;

	private final LongSupplier clock;

	private final EventLog events;

	private int forwardedTasks;

	SpillService(TaskExecutor taskExecutor, Dispatcher dispatcher, SpillPolicy policy,
			RemoteDataCentres remoteDataCentres, Executor control, LongSupplier clock, EventLog events) {
		this.taskExecutor = taskExecutor;
		this.dispatcher = dispatcher;
		this.policy = policy;
		this.remoteDataCentres = remoteDataCentres;
		this.control = control;
		this.clock = clock;
		this.events = events;
	}

	@Override
	public TaskId nextTaskId() {
		return this.taskExecutor.nextTaskId();
	}

	@Override
	public Admission offer(TaskRequest request, HttpCall call, TaskListener listener, long nowNanos) {
		long wait = this.dispatcher.expectedWaitNanos(request.pool(), nowNanos);
		Optional<DataCentreId> remoteDestination = destination(request, wait, nowNanos);
		if (remoteDestination.isPresent()) {
			return forward(remoteDestination.get(), request, call, listener, nowNanos);
		}
		Admission admission = this.taskExecutor.offer(request, call, listener, nowNanos);
		if (!admission.isAccepted()) {
			remoteDestination = destinationAfterRefusal(request, admission, nowNanos);
		}
		return remoteDestination.isPresent() ? forward(remoteDestination.get(), request, call, listener, nowNanos)
				: admission;
	}

	private Optional<DataCentreId> destinationAfterRefusal(TaskRequest request, Admission refusal, long nowNanos) {
		return switch (refusal.error()) {
			case OVERLOADED, NO_UPSTREAM -> destination(request, REFUSED_WAIT_NANOS, nowNanos);
			default -> Optional.empty();
		};
	}

	private Optional<DataCentreId> destination(TaskRequest request, long waitNanos, long nowNanos) {
		if (waitNanos <= 0) {
			return Optional.empty();
		}
		List<RemotePoolState> remotePools = new ArrayList<>();
		for (DataCentreId other : this.remoteDataCentres.dataCentres()) {
			this.remoteDataCentres.remotePool(other, request.pool()).ifPresent(remotePools::add);
		}
		return this.policy.destination(request, 0, waitNanos, remotePools, nowNanos);
	}

	private Admission forward(DataCentreId target, TaskRequest request, HttpCall call, TaskListener listener,
			long nowNanos) {
		this.forwardedTasks++;
		this.events.write(LogEvent.FORWARDED, request.id().value(), request.pool(), target);
		this.remoteDataCentres.forwardTask(target, request, call, nowNanos)
			.whenComplete((answer, failure) -> this.control.execute(() -> {
				this.forwardedTasks--;
				forwardEnded(request, call, listener, answer, failure);
			}));
		return Admission.accepted();
	}

	private void forwardEnded(TaskRequest request, HttpCall call, TaskListener listener, ForwardedAnswer answer,
			Throwable failure) {
		long now = this.clock.getAsLong();
		if (failure == null) {
			listener.taskEnded(toTaskEnded(request, answer.outcome(), answer.error()), answer.reply(), now);
			return;
		}
		DispatchException error = ErrorReply.toDispatchException(failure);
		if (error.outcome() == Outcome.NOT_RUN) {
			offerLocally(request, call, listener, now);
		}
		else {
			listener.taskEnded(toTaskEnded(request, error.outcome(), error), null, now);
		}
	}

	private void offerLocally(TaskRequest request, HttpCall call, TaskListener listener, long nowNanos) {
		Admission admission = this.taskExecutor.offer(request, call, listener, nowNanos);
		if (!admission.isAccepted()) {
			listener.taskEnded(new DispatchEffect.TaskEnded(request.id(), Outcome.NOT_RUN, admission.error(),
					admission.detail(), admission.retryAfterNanos(), null), null, nowNanos);
		}
	}

	private static DispatchEffect.TaskEnded toTaskEnded(TaskRequest request, Outcome outcome, DispatchException error) {
		return (error != null)
				? new DispatchEffect.TaskEnded(request.id(), outcome, error.kind(), error.getMessage(),
						error.retryAfterNanos(), null)
				: new DispatchEffect.TaskEnded(request.id(), outcome, null, "", 0, null);
	}

	@Override
	public boolean cancel(TaskId task, long nowNanos) {
		return this.taskExecutor.cancel(task, nowNanos);
	}

	/**
	 * Returns the number of forwarded tasks that have not ended.
	 * @return the number, at least 0
	 */
	int unfinishedTasks() {
		return this.forwardedTasks;
	}

	/**
	 * The answer to a forwarded task.
	 *
	 * @param outcome what is known about the execution
	 * @param error the reason, null if complete
	 * @param reply the upstream's complete answer
	 */
	record ForwardedAnswer(Outcome outcome, DispatchException error, HttpReply reply) {
	}

}
