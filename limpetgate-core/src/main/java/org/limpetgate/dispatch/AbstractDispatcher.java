package org.limpetgate.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

import org.limpetgate.AttemptId;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.PoolName;
import org.limpetgate.TaskId;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.Configuration;
import org.limpetgate.config.Pool;

/**
 * The lifecycle of tasks and attempts, which is the same under every policy.
 * <p>
 * Only this class decides when a task ends and whether it may be retried; subclasses
 * decide on queue order, admission and the choice of upstream. A task that is not
 * idempotent is retried only if its attempt is proved not to have run.
 */
abstract class AbstractDispatcher implements Dispatcher {

	/** Attempts after which a task is considered at fault, not its upstreams. */
	static final int MAX_ATTEMPTS = 4;

	final DispatchSettings settings;

	final Timers timers = new Timers();

	final Map<PoolName, PoolEntity> pools = new LinkedHashMap<>();

	List<PeerLoad> peers = List.of();

	private final Map<TaskId, TaskEntity> tasks = new HashMap<>();

	private final Map<AttemptId, AttemptEntity> attempts = new HashMap<>();

	private final List<DispatchEffect> effects = new ArrayList<>();

	private long lastAttemptId;

	AbstractDispatcher(DispatchSettings settings) {
		this.settings = Objects.requireNonNull(settings, "settings");
	}

	@Override
	public void configure(Configuration configuration, long nowNanos) {
		this.pools.values().forEach((pool) -> pool.configured = false);
		for (Pool row : configuration.pools()) {
			PoolEntity pool = this.pools.computeIfAbsent(row.name(), (name) -> new PoolEntity(row));
			pool.configured = true;
			pool.configure(row, this.settings);
			pool.configureLimits(configuration.routes());
		}
		for (PoolEntity pool : this.pools.values()) {
			if (!pool.configured) {
				pool.removeUpstreams();
			}
		}
		endTasksOfRemovedPools();
		this.pools.values().removeIf((pool) -> !pool.configured && pool.inFlight == 0 && pool.queuedTasks == 0);
		sharesChanged(nowNanos);
	}

	private void endTasksOfRemovedPools() {
		for (TaskEntity task : List.copyOf(this.tasks.values())) {
			if (!task.pool.configured && task.running.isEmpty()) {
				end(task, task.combinedOutcome, ErrorKind.NO_UPSTREAM,
						"pool '" + task.pool.row.name() + "' was removed", 0, null);
			}
		}
	}

	@Override
	public void updatePeerLoads(List<PeerLoad> newPeers, long nowNanos) {
		this.peers = newPeers.stream()
			.filter((peer) -> !peer.host().equals(this.settings.host()))
			.sorted((left, right) -> left.host().compareTo(right.host()))
			.toList();
		sharesChanged(nowNanos);
	}

	@Override
	public void upstreamLeaving(UpstreamId id, long nowNanos) {
		for (PoolEntity pool : this.pools.values()) {
			UpstreamEntity upstream = pool.upstreamsById.get(id);
			if (upstream != null) {
				upstream.leaving = true;
				upstreamChanged(pool, upstream, nowNanos);
			}
		}
	}

	@Override
	public void upstreamReturned(UpstreamId id, long nowNanos) {
		for (PoolEntity pool : this.pools.values()) {
			UpstreamEntity upstream = pool.upstreamsById.get(id);
			if (upstream != null) {
				upstream.leaving = false;
				upstreamChanged(pool, upstream, nowNanos);
			}
		}
	}

	@Override
	public Admission offer(TaskRequest request, long nowNanos) {
		PoolEntity pool = this.pools.get(request.pool());
		if (pool == null || !pool.configured) {
			return Admission.refused(ErrorKind.NO_UPSTREAM, "pool '" + request.pool() + "' is not configured", 0);
		}
		if (request.deadlineNanos() <= nowNanos) {
			return Admission.refused(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed before the task arrived", 0);
		}
		if (this.tasks.containsKey(request.id())) {
			return Admission.refused(ErrorKind.INTERNAL, "task id " + request.id().value() + " is in use", 0);
		}
		TaskEntity task = new TaskEntity(request, pool, nowNanos);
		Admission admission = admit(task, nowNanos);
		if (admission.isAccepted()) {
			this.tasks.put(request.id(), task);
			task.deadlineTimer = this.timers.schedule(latestStartNanos(task), (now) -> latestStartReached(task, now));
			addToQueue(task, nowNanos);
		}
		return admission;
	}

	@Override
	public void attemptEnded(AttemptId id, AttemptResult result, long nowNanos) {
		AttemptEntity attempt = this.attempts.remove(id);
		if (attempt == null) {
			return;
		}
		TaskEntity task = attempt.task;
		this.timers.cancel(attempt.overdueTimer);
		attempt.upstream.inFlight--;
		task.pool.inFlight--;
		task.running.remove(attempt);
		released(attempt, result, nowNanos);
		if (result.leaving()) {
			upstreamLeaving(attempt.upstream.id, nowNanos);
		}
		else {
			upstreamChanged(task.pool, attempt.upstream, nowNanos);
		}
		if (!task.ended) {
			endOrRetry(attempt, result, nowNanos);
		}
		removeUnlisted(task.pool, attempt.upstream);
	}

	private void removeUnlisted(PoolEntity pool, UpstreamEntity upstream) {
		if (!upstream.listed && upstream.inFlight == 0) {
			pool.upstreamsById.remove(upstream.id, upstream);
		}
	}

	private void endOrRetry(AttemptEntity attempt, AttemptResult result, long nowNanos) {
		TaskEntity task = attempt.task;
		if (result.outcome() == Outcome.COMPLETE) {
			end(task, Outcome.COMPLETE, null, "", 0, attempt.id);
			return;
		}
		task.combineOutcome(result.outcome());
		task.detail = "attempt " + task.attempts + " at '" + attempt.upstream.id + "': " + result.detail();
		task.avoidedUpstream = attempt.upstream;
		if (!task.running.isEmpty()) {
			return;
		}
		long delay = mayRetry(task) ? retryDelay(task, result, nowNanos) : -1;
		if (delay < 0 || nowNanos + delay >= task.request.deadlineNanos()) {
			end(task, task.combinedOutcome, ErrorKind.UPSTREAM_FAILED, task.detail, 0, null);
		}
		else if (delay == 0) {
			addToQueue(task, nowNanos);
		}
		else {
			task.retryTimer = this.timers.schedule(nowNanos + delay, (now) -> addToQueue(task, now));
		}
	}

	private static boolean mayRetry(TaskEntity task) {
		return task.pool.configured && task.combinedOutcome.isRetryable(task.request.idempotent())
				&& task.attempts < MAX_ATTEMPTS;
	}

	@Override
	public boolean cancel(TaskId id, long nowNanos) {
		TaskEntity task = this.tasks.get(id);
		if (task == null) {
			return false;
		}
		end(task, task.outcomeIfAbandoned(), ErrorKind.CANCELLED, "the task was cancelled", 0, null);
		return true;
	}

	@Override
	public void tick(long nowNanos, Consumer<? super DispatchEffect> sink) {
		this.timers.run(nowNanos);
		dispatch(nowNanos);
		while (!this.effects.isEmpty()) {
			List<DispatchEffect> batch = List.copyOf(this.effects);
			this.effects.clear();
			batch.forEach(sink);
		}
	}

	@Override
	public long nextWakeNanos() {
		return this.effects.isEmpty() ? this.timers.nextDueNanos() : Long.MIN_VALUE;
	}

	@Override
	public Map<PoolName, PeerLoad.Demand> demand() {
		Map<PoolName, PeerLoad.Demand> demand = new HashMap<>();
		this.pools.forEach((name, pool) -> demand.put(name, new PeerLoad.Demand(pool.queuedTasks, pool.inFlight)));
		return demand;
	}

	private void latestStartReached(TaskEntity task, long nowNanos) {
		long deadline = task.request.deadlineNanos();
		if (nowNanos < deadline && task.queue == null) {
			task.deadlineTimer = this.timers.schedule(deadline, (now) -> expire(task));
		}
		else {
			expire(task);
		}
	}

	private void expire(TaskEntity task) {
		String phase = task.running.isEmpty() ? "while the task waited"
				: "while the task ran at '" + task.running.get(0).upstream.id + "'";
		end(task, task.outcomeIfAbandoned(), ErrorKind.DEADLINE_EXCEEDED,
				"the deadline passed or could not be met " + phase, 0, null);
	}

	final void end(TaskEntity task, Outcome outcome, ErrorKind error, String detail, long retryAfterNanos,
			AttemptId completedAttempt) {
		task.ended = true;
		this.tasks.remove(task.request.id());
		this.timers.cancel(task.deadlineTimer);
		this.timers.cancel(task.retryTimer);
		removeFromQueue(task);
		for (AttemptEntity attempt : task.running) {
			this.timers.cancel(attempt.overdueTimer);
			this.effects.add(new DispatchEffect.CancelAttempt(attempt.id));
		}
		ended(task);
		this.effects.add(new DispatchEffect.TaskEnded(task.request.id(), outcome, error, detail, retryAfterNanos,
				completedAttempt));
	}

	final AttemptEntity start(TaskEntity task, UpstreamEntity upstream, boolean hedge, String reason, long nowNanos) {
		removeFromQueue(task);
		AttemptEntity attempt = new AttemptEntity(AttemptId.of(++this.lastAttemptId), task, upstream, nowNanos, hedge);
		this.attempts.put(attempt.id, attempt);
		task.attempts++;
		task.running.add(attempt);
		if (task.attempts == 1) {
			task.pool.budget.deposit(task.pool.row.retryPercent());
		}
		upstream.inFlight++;
		task.pool.inFlight++;
		this.effects
			.add(new DispatchEffect.StartAttempt(attempt.id, task.request.id(), upstream.id, task.attempts, reason));
		return attempt;
	}

	private void addToQueue(TaskEntity task, long nowNanos) {
		task.pool.queuedTasks++;
		task.pool.queuedBytes += task.request.bytes();
		task.queuedAt = nowNanos;
		enqueue(task, nowNanos);
	}

	private void removeFromQueue(TaskEntity task) {
		if (task.queue != null) {
			task.pool.queuedTasks--;
			task.pool.queuedBytes -= task.request.bytes();
			beforeDequeue(task);
			task.queue.remove(task);
		}
	}

	final Admission refusalByQueueLimits(TaskEntity task, long retryAfterNanos) {
		Pool row = task.pool.row;
		if (task.pool.queuedTasks >= row.queueTasks()) {
			return Admission.refused(ErrorKind.OVERLOADED,
					"pool '" + row.name() + "' has " + row.queueTasks() + " queued tasks", retryAfterNanos);
		}
		if (task.pool.queuedBytes + task.request.bytes() > row.queueBytes()) {
			return Admission.refused(ErrorKind.OVERLOADED,
					"pool '" + row.name() + "' has " + task.pool.queuedBytes + " queued bytes", retryAfterNanos);
		}
		return null;
	}

	/**
	 * Returns the time after which a queued task can no longer finish by its deadline and
	 * expires.
	 * @param task the task
	 * @return the time, at most the deadline
	 */
	long latestStartNanos(TaskEntity task) {
		return task.request.deadlineNanos();
	}

	/**
	 * Decides whether to accept a task, and prepares an accepted task for its queue.
	 * @param task the task
	 * @param nowNanos the current time
	 * @return the admission
	 */
	abstract Admission admit(TaskEntity task, long nowNanos);

	/**
	 * Adds a task to the policy's queue.
	 * @param task the task
	 * @param nowNanos the current time
	 */
	abstract void enqueue(TaskEntity task, long nowNanos);

	/**
	 * Called before a task is removed from its queue.
	 * @param task the task
	 */
	void beforeDequeue(TaskEntity task) {
	}

	/**
	 * Called when an accepted task has ended.
	 * @param task the task
	 */
	void ended(TaskEntity task) {
	}

	/**
	 * Starts attempts of queued tasks for which an upstream is available.
	 * @param nowNanos the current time
	 */
	abstract void dispatch(long nowNanos);

	/**
	 * Decides whether to retry a task whose outcome so far permits a retry.
	 * @param task the task
	 * @param result the result of its last attempt
	 * @param nowNanos the current time
	 * @return the delay before the retry in nanoseconds, negative for no retry
	 */
	abstract long retryDelay(TaskEntity task, AttemptResult result, long nowNanos);

	/**
	 * Called when an attempt has ended and no longer uses its upstream.
	 * @param attempt the attempt
	 * @param result its result
	 * @param nowNanos the current time
	 */
	void released(AttemptEntity attempt, AttemptResult result, long nowNanos) {
	}

	/**
	 * Called when the load of an upstream or its leaving mark has changed.
	 * @param pool the pool
	 * @param upstream the upstream
	 * @param nowNanos the current time
	 */
	void upstreamChanged(PoolEntity pool, UpstreamEntity upstream, long nowNanos) {
	}

	/**
	 * Recomputes the limits of this host at each upstream, after the configuration or the
	 * loads of the peers have changed.
	 * @param nowNanos the current time
	 */
	abstract void sharesChanged(long nowNanos);

}
