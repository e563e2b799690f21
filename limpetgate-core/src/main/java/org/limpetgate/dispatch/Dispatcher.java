package org.limpetgate.dispatch;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.limpetgate.AttemptId;
import org.limpetgate.PoolName;
import org.limpetgate.Resources;
import org.limpetgate.TaskId;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.Configuration;

/**
 * Admits, queues, places and retries the tasks of one entry host.
 * <p>
 * A dispatcher does no I/O. Its host reports events to it and executes the effects that
 * {@link #tick} emits. All times are in nanoseconds since the Unix epoch and must not
 * decrease from call to call.
 * <p>
 * Not thread-safe; it is called only from the host's control thread.
 */
public interface Dispatcher {

	/**
	 * Replaces the configuration. Attempts in flight continue; an upstream that is no
	 * longer listed gets no new attempts.
	 * @param configuration the tables, not null
	 * @param nowNanos the current time
	 */
	void configure(Configuration configuration, long nowNanos);

	/**
	 * Replaces the loads of all live peers.
	 * @param peers the loads, not null
	 * @param nowNanos the current time
	 */
	void updatePeerLoads(List<PeerLoad> peers, long nowNanos);

	/**
	 * Marks an upstream as leaving: it gets no new attempts.
	 * @param upstream the upstream, not null
	 * @param nowNanos the current time
	 */
	void upstreamLeaving(UpstreamId upstream, long nowNanos);

	/**
	 * Removes the mark set by {@link #upstreamLeaving}. The mark is also removed when the
	 * configuration lists the upstream with a changed row.
	 * @param upstream the upstream, not null
	 * @param nowNanos the current time
	 */
	default void upstreamReturned(UpstreamId upstream, long nowNanos) {
	}

	/**
	 * Reports the resource usage of a worker.
	 * @param upstream the worker, not null
	 * @param used the resources that all its tasks use, not null
	 * @param sampledNanos the time at which the usage was measured
	 * @param nowNanos the current time
	 */
	default void usageReported(UpstreamId upstream, Resources used, long sampledNanos, long nowNanos) {
	}

	/**
	 * Accepts or refuses a task.
	 * @param task the task, not null
	 * @param nowNanos the current time
	 * @return the admission, not null
	 */
	Admission offer(TaskRequest task, long nowNanos);

	/**
	 * Reports the end of an attempt. Reports of attempts that are not in flight are
	 * ignored.
	 * @param attempt the attempt, not null
	 * @param result its result, not null
	 * @param nowNanos the current time
	 */
	void attemptEnded(AttemptId attempt, AttemptResult result, long nowNanos);

	/**
	 * Cancels a task in O(1). The task ends with {@link org.limpetgate.Outcome#NOT_RUN}
	 * if no attempt was started.
	 * @param task the task, not null
	 * @param nowNanos the current time
	 * @return false if the task is unknown or has ended
	 */
	boolean cancel(TaskId task, long nowNanos);

	/**
	 * Runs the timers that are due, starts attempts and emits the resulting effects.
	 * @param nowNanos the current time
	 * @param effects receives each effect, not null
	 */
	void tick(long nowNanos, Consumer<? super DispatchEffect> effects);

	/**
	 * Returns when the next tick is due if there are no other calls. After an offer, a
	 * cancellation or the end of an attempt, a tick is due immediately.
	 * @return the time, {@link Long#MAX_VALUE} for none
	 */
	long nextWakeNanos();

	/**
	 * Returns the demand by pool, for the heartbeats. It must be sent to the peers, since
	 * hosts divide the upstreams by the demand that they have published to each other.
	 * @return the demand, not null
	 */
	Map<PoolName, PeerLoad.Demand> demand();

	/**
	 * Returns the expected wait of a task in a pool, for the digests to other data
	 * centres and for {@link SpillPolicy}.
	 * @param pool the pool, not null
	 * @param nowNanos the current time
	 * @return the time in nanoseconds, 0 if unknown
	 */
	default long expectedWaitNanos(PoolName pool, long nowNanos) {
		return 0;
	}

	/**
	 * Returns the state of all pools, for operators.
	 * @param nowNanos the current time
	 * @return the state, not null
	 */
	default List<PoolStatus> status(long nowNanos) {
		return List.of();
	}

}
