package org.limpetgate.scheduling;

import java.util.Objects;

/**
 * How a scheduler decides while capacity is short. {@link #DEFAULT} applies unless the
 * settings of the host choose otherwise.
 * <p>
 * Immutable and thread-safe.
 *
 * @param queueOrder the order in which waiting jobs are placed, not null
 * @param refusal when a job that cannot be served in time is refused, not null
 * @param workerSpeeds how the speeds of workers are estimated, not null
 * @param preemptionBudget the work of stopped runs that may be wasted to start more
 * urgent ones, in core seconds per second; 0 allows no preemption
 */
public record SchedulingPolicy(QueueOrderKind queueOrder, RefusalKind refusal, WorkerSpeedKind workerSpeeds,
		double preemptionBudget) {

	/** The policy of a host whose settings choose none. */
	public static final SchedulingPolicy DEFAULT = new SchedulingPolicy(QueueOrderKind.DEMAND, RefusalKind.LATEST_START,
			WorkerSpeedKind.AVERAGED, 0);

	public SchedulingPolicy {
		Objects.requireNonNull(queueOrder, "queueOrder");
		Objects.requireNonNull(refusal, "refusal");
		Objects.requireNonNull(workerSpeeds, "workerSpeeds");
		if (!(preemptionBudget >= 0)) {
			throw new IllegalArgumentException("the preemption budget must not be negative");
		}
	}

	/** The order in which waiting jobs are placed. */
	public enum QueueOrderKind {

		/** The queue with the lowest recent demand first. */
		DEMAND,
		/**
		 * Jobs within the fair share of their queue first, then by the cost of refusal.
		 */
		COST

	}

	/** When a job that cannot be served in time is refused. */
	public enum RefusalKind {

		/** At its arrival, or some time after its latest start. */
		LATEST_START,
		/** As soon as a projection of the capacity shows that it cannot be served. */
		PROJECTED

	}

	/** How the speeds of workers are estimated. */
	public enum WorkerSpeedKind {

		/** By the mean of the latest runs. */
		AVERAGED,
		/** By the latest runs and the progress of present ones, with sudden changes. */
		TRACKED

	}

}
