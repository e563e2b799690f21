package org.limpetgate.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.limpetgate.Outcome;

/**
 * An accepted task that has not ended.
 */
final class TaskEntity {

	final TaskRequest request;

	final PoolEntity pool;

	final long acceptedAt;

	/** Attempts in flight; at most two, the second being a hedge. */
	final List<AttemptEntity> running = new ArrayList<>(2);

	/** Links of the {@link TaskQueue} that holds the task. */
	TaskEntity previous;

	TaskEntity next;

	TaskQueue queue;

	/** The number of attempts started. */
	int attempts;

	/** What the ended attempts together prove. */
	Outcome combinedOutcome = Outcome.NOT_RUN;

	String detail = "";

	/** The upstream of the last failed attempt, which a retry avoids. */
	UpstreamEntity avoidedUpstream;

	boolean ended;

	Timers.Timer deadlineTimer;

	Timers.Timer retryTimer;

	RouteEntity route;

	CallerEntity caller;

	JobEntity job;

	/** The time at which the task was put in its queue. */
	long queuedAt;

	/** The slot time that was expected when the task was put in its queue. */
	double queuedCost;

	/** The wait that was expected then. */
	double expectedWait;

	/** The slots, or the part of a worker, that the task takes. */
	double size = 1;

	TaskEntity(TaskRequest request, PoolEntity pool, long acceptedAt) {
		this.request = request;
		this.pool = pool;
		this.acceptedAt = acceptedAt;
	}

	/**
	 * Adds what one more ended attempt proves. An attempt that may have run outweighs one
	 * that failed, which outweighs one that did not run.
	 * @param outcome the outcome of the attempt
	 */
	void combineOutcome(Outcome outcome) {
		if (outcome == Outcome.UNKNOWN || this.combinedOutcome == Outcome.NOT_RUN) {
			this.combinedOutcome = outcome;
		}
	}

	Outcome outcomeIfAbandoned() {
		return this.running.isEmpty() ? this.combinedOutcome : Outcome.UNKNOWN;
	}

}
