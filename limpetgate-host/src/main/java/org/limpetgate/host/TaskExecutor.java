package org.limpetgate.host;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;
import org.limpetgate.AttemptId;
import org.limpetgate.DispatchException;
import org.limpetgate.Outcome;
import org.limpetgate.PoolName;
import org.limpetgate.TaskId;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.Configuration;
import org.limpetgate.config.Pool;
import org.limpetgate.config.PoolKind;
import org.limpetgate.config.Upstream;
import org.limpetgate.dispatch.Admission;
import org.limpetgate.dispatch.AttemptResult;
import org.limpetgate.dispatch.DispatchEffect;
import org.limpetgate.dispatch.Dispatcher;
import org.limpetgate.dispatch.TaskRequest;
import org.limpetgate.membership.DataCentreDigest;
import org.limpetgate.net.http.ErrorReply;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.http.HttpReply;

/**
 * Runs tasks: executes the effects of the {@link Dispatcher} through the gateways and
 * reports the results of attempts back.
 * <p>
 * Each accepted task ends with exactly one call of its listener. A second start of a task
 * that is not idempotent, without proof that the first did not run, is an internal error
 * and is suppressed. Not thread-safe: confined to the control thread.
 */
public final class TaskExecutor implements TickedComponent, TaskService {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int MIN_SERVER_ERROR_STATUS = 500;

	private final Dispatcher dispatcher;

	private final Map<PoolKind, UpstreamGateway> gateways;

	private final Executor control;

	private final LongSupplier clock;

	private final EventLog events;

	private final HostMetrics metrics;

	private final Map<TaskId, RunningTask> tasks = new HashMap<>();

	private final Map<AttemptId, RunningAttempt> attempts = new HashMap<>();

	private final Map<UpstreamId, ConfiguredUpstream> upstreams = new HashMap<>();

	private final PoolRates rates = new PoolRates();

	private LeavingListener leavingListener = (upstream) -> {
	};

	private long lastTaskNumber;

	/**
	 * Creates an executor without a configuration.
	 * @param dispatcher makes the decisions, not null
	 * @param gateways a gateway for each kind of pool, not null
	 * @param control runs messages on the control thread, not null
	 * @param clock returns the current time in nanoseconds since the Unix epoch, not null
	 * @param events receives an event for each decision, not null
	 * @param metrics records tasks and attempts, not null
	 */
	public TaskExecutor(Dispatcher dispatcher, Map<PoolKind, UpstreamGateway> gateways, Executor control,
			LongSupplier clock, EventLog events, HostMetrics metrics) {
		this.dispatcher = dispatcher;
		this.gateways = Map.copyOf(gateways);
		this.control = control;
		this.clock = clock;
		this.events = events;
		this.metrics = metrics;
	}

	/**
	 * Sets the listener for upstreams that announce that they are leaving.
	 * @param listener the listener, not null
	 */
	public void setLeavingListener(LeavingListener listener) {
		this.leavingListener = listener;
	}

	/**
	 * Applies a configuration. Attempts in flight continue, even at upstreams that it no
	 * longer contains.
	 * @param configuration the configuration, not null
	 * @param nowNanos the current time
	 */
	public void configure(Configuration configuration, long nowNanos) {
		this.upstreams.clear();
		for (Pool pool : configuration.pools()) {
			pool.upstreams()
				.forEach(
						(upstream) -> this.upstreams.put(upstream.id(), new ConfiguredUpstream(upstream, pool.kind())));
		}
		this.dispatcher.configure(configuration, nowNanos);
	}

	@Override
	public TaskId nextTaskId() {
		return TaskId.of(++this.lastTaskNumber);
	}

	@Override
	public Admission offer(TaskRequest request, HttpCall call, TaskListener listener, long nowNanos) {
		Admission admission = this.dispatcher.offer(request, nowNanos);
		if (admission.isAccepted()) {
			this.tasks.put(request.id(), new RunningTask(request, call, listener, nowNanos));
		}
		else {
			this.metrics.taskRefused(request.pool());
			this.events.write(LogEvent.REFUSED, request.id().value(), request.pool(), admission.error(),
					admission.detail());
		}
		return admission;
	}

	@Override
	public boolean cancel(TaskId task, long nowNanos) {
		return this.dispatcher.cancel(task, nowNanos);
	}

	/**
	 * Returns the number of tasks that have not ended.
	 * @return the number, at least 0
	 */
	public int unfinishedTasks() {
		return this.tasks.size();
	}

	/**
	 * Returns the expected wait and the task rate of each pool, for the digests to other
	 * data centres.
	 * @param nowNanos the current time
	 * @return the states, not null
	 */
	public Map<PoolName, DataCentreDigest.PoolState> poolStates(long nowNanos) {
		return this.rates.states(this.dispatcher, nowNanos);
	}

	/**
	 * Returns the workers that run tasks of this host.
	 * @return the workers, not null
	 */
	public Collection<UpstreamId> busyWorkers() {
		Set<UpstreamId> busy = new TreeSet<>();
		for (RunningAttempt attempt : this.attempts.values()) {
			ConfiguredUpstream configured = this.upstreams.get(attempt.upstream());
			if (configured != null && configured.kind() == PoolKind.WORKERS) {
				busy.add(attempt.upstream());
			}
		}
		return busy;
	}

	@Override
	public void tick(long nowNanos) {
		this.dispatcher.tick(nowNanos, (effect) -> apply(effect, nowNanos));
	}

	@Override
	public long nextWakeNanos() {
		return this.dispatcher.nextWakeNanos();
	}

	private void apply(DispatchEffect effect, long nowNanos) {
		if (effect instanceof DispatchEffect.StartAttempt start) {
			startAttempt(start, nowNanos);
		}
		else if (effect instanceof DispatchEffect.CancelAttempt cancel) {
			cancelAttempt(cancel.attempt());
		}
		else if (effect instanceof DispatchEffect.TaskEnded ended) {
			endTask(ended, nowNanos);
		}
	}

	private void startAttempt(DispatchEffect.StartAttempt start, long nowNanos) {
		RunningTask task = this.tasks.get(start.task());
		ConfiguredUpstream configured = this.upstreams.get(start.upstream());
		if (task == null || configured == null) {
			reportAttemptEnd(start.attempt(), Outcome.NOT_RUN, "upstream is no longer configured");
			return;
		}
		if (!task.mayStart()) {
			logger.atSevere()
				.log("%s second start of task %s suppressed; it is not idempotent and may have run",
						LogEvent.INTERNAL_FAULT.prefix(), start.task().value());
			reportAttemptEnd(start.attempt(), Outcome.UNKNOWN, "second start suppressed");
			return;
		}
		task.startedAttempts++;
		this.metrics.attemptStarted(task.request.pool());
		LogEvent event = (configured.kind() == PoolKind.RUNNERS) ? LogEvent.RUNNER_CHOSEN : LogEvent.WORKER_CHOSEN;
		this.events.write(event, start.attempt().value(), start.task().value(), start.number(), start.upstream(),
				start.reason());
		long timeout = Math.max(1, task.request.deadlineNanos() - nowNanos);
		UpstreamGateway.Exchange exchange = this.gateways.get(configured.kind())
			.start(configured.upstream(),
					new UpstreamGateway.AttemptRequest(start.attempt(), task.request, task.call, timeout));
		this.attempts.put(start.attempt(), new RunningAttempt(task, start.upstream(), exchange, nowNanos));
		exchange.answer()
			.whenComplete(
					(reply, failure) -> this.control.execute(() -> attemptEnded(start.attempt(), reply, failure)));
	}

	private void reportAttemptEnd(AttemptId attempt, Outcome outcome, String detail) {
		this.control.execute(() -> this.dispatcher.attemptEnded(attempt, new AttemptResult(outcome, 0, false, detail),
				this.clock.getAsLong()));
	}

	private void cancelAttempt(AttemptId id) {
		RunningAttempt attempt = this.attempts.get(id);
		if (attempt != null) {
			attempt.exchange().cancel();
		}
	}

	private void attemptEnded(AttemptId id, HttpReply reply, Throwable failure) {
		long now = this.clock.getAsLong();
		RunningAttempt attempt = this.attempts.remove(id);
		long runNanos = now - attempt.startNanos();
		boolean leaving = attempt.exchange().isUpstreamLeaving();
		AttemptResult result = (failure != null) ? failureResult(failure, runNanos, leaving)
				: replyResult(reply, runNanos, leaving);
		attempt.task().attemptEnded(id, result.outcome(), reply);
		if (leaving) {
			this.leavingListener.upstreamLeaving(attempt.upstream());
		}
		if (result.outcome() == Outcome.COMPLETE) {
			this.rates.add(attempt.task().request.pool(), runNanos);
		}
		this.dispatcher.attemptEnded(id, result, now);
	}

	private static AttemptResult replyResult(HttpReply reply, long runNanos, boolean leaving) {
		if (reply.status() < MIN_SERVER_ERROR_STATUS) {
			return new AttemptResult(Outcome.COMPLETE, runNanos, leaving, "");
		}
		String detail = "upstream answered with status " + reply.status();
		return new AttemptResult(Outcome.FAILED, runNanos, leaving, detail);
	}

	private static AttemptResult failureResult(Throwable failure, long runNanos, boolean leaving) {
		DispatchException error = ErrorReply.toDispatchException(failure);
		return new AttemptResult(error.outcome(), runNanos, leaving, error.getMessage());
	}

	private void endTask(DispatchEffect.TaskEnded ended, long nowNanos) {
		RunningTask task = this.tasks.remove(ended.task());
		if (task == null) {
			throw new IllegalStateException("task " + ended.task().value() + " ended twice");
		}
		if (ended.outcome() != Outcome.COMPLETE) {
			this.events.write(LogEvent.TASK_NOT_COMPLETE, ended.task().value(), ended.outcome(), ended.error(),
					ended.detail());
		}
		this.metrics.taskEnded(task.request.pool(), ended.outcome(), nowNanos - task.acceptedNanos);
		task.listener.taskEnded(ended, task.reply(ended), nowNanos);
	}

	/**
	 * Receives the upstreams that announce that they are leaving.
	 */
	@FunctionalInterface
	public interface LeavingListener {

		/**
		 * Called when an upstream has announced that it is leaving.
		 * @param upstream the upstream, not null
		 */
		void upstreamLeaving(UpstreamId upstream);

	}

	private record ConfiguredUpstream(Upstream upstream, PoolKind kind) {
	}

	private record RunningAttempt(RunningTask task, UpstreamId upstream, UpstreamGateway.Exchange exchange,
			long startNanos) {
	}

	private static final class RunningTask {

		private final TaskRequest request;

		private final HttpCall call;

		private final TaskListener listener;

		private final long acceptedNanos;

		private final Map<AttemptId, HttpReply> replies = new HashMap<>();

		private int startedAttempts;

		private int notRunAttempts;

		private HttpReply lastReply;

		RunningTask(TaskRequest request, HttpCall call, TaskListener listener, long acceptedNanos) {
			this.request = request;
			this.call = call;
			this.listener = listener;
			this.acceptedNanos = acceptedNanos;
		}

		boolean mayStart() {
			return this.request.idempotent() || this.startedAttempts == this.notRunAttempts;
		}

		void attemptEnded(AttemptId id, Outcome outcome, HttpReply reply) {
			if (outcome == Outcome.NOT_RUN) {
				this.notRunAttempts++;
			}
			if (reply != null) {
				this.replies.put(id, reply);
				this.lastReply = reply;
			}
		}

		HttpReply reply(DispatchEffect.TaskEnded ended) {
			if (ended.completedAttempt() != null) {
				return this.replies.get(ended.completedAttempt());
			}
			return (ended.outcome() == Outcome.FAILED) ? this.lastReply : null;
		}

	}

}
