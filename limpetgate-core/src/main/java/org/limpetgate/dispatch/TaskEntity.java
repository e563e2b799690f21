package org.limpetgate.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.limpetgate.Outcome;

/**
 * An accepted task that has not ended. Times are in nanoseconds.
 */
final class TaskEntity {

	final TaskRequest request;

	final PoolEntity pool;

	final long acceptedAt;

	/** Attempts in flight; at most two, the second one a hedge. */
	final List<AttemptEntity> running = new ArrayList<>(2);

	/** The neighbours in the {@link TaskQueue} that contains the task. */
	TaskEntity previous;

	TaskEntity next;

	TaskQueue queue;

	/** The number of attempts started. */
	int attempts;

	/** The combined outcome of the ended attempts. */
	Outcome combinedOutcome = Outcome.NOT_RUN;

	String detail = "";

	/** The upstream of the last failed attempt, avoided by a retry; null for none. */
	UpstreamEntity avoidedUpstream;

	boolean ended;

	Timers.Timer deadlineTimer;

	Timers.Timer retryTimer;

	RouteEntity route;

	CallerEntity caller;

	JobEntity job;

	/** When the task was last queued. */
	long queuedAt;

	/** The expected slot time when the task was queued. */
	double queuedCost;

	/** The expected wait when the task was first queued. */
	double expectedWait;

	/** The number of slots, or the fraction of a worker, that the task uses. */
	double size = 1;

	TaskEntity(TaskRequest request, PoolEntity pool, long acceptedAt) {
		this.request = request;
		this.pool = pool;
		this.acceptedAt = acceptedAt;
	}

	/**
	 * Combines the outcome of one more ended attempt with that of the earlier ones.
	 * {@code UNKNOWN} takes precedence over {@code FAILED}, and both over
	 * {@code NOT_RUN}.
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
