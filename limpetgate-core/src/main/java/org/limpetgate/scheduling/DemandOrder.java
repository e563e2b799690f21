package org.limpetgate.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Orders jobs that can still be on time before late ones, then by the demand of their
 * queue, lowest first, and among equal demands by the earliest latest start.
 * <p>
 * All queues count equally, whatever their demand. Under overload, a core second
 * therefore has most effect in the queue with the lowest demand. Sorting by the latest
 * start alone would delay every queue until nearly all of its jobs are late. The priority
 * of a queue is a weight on its demand. Not thread-safe.
 */
final class DemandOrder implements QueueOrder {

	/** The time constant of the exponential decay of a queue's demand. */
	private static final double DEMAND_DECAY_NANOS = TimeUnit.SECONDS.toNanos(8);

	/** Demands within this factor count as equal, so that the latest start decides. */
	private static final double DEMAND_LEVEL_FACTOR = 1.5;

	/** Exceeds the level of any demand. */
	private static final int LATE_RANK = 1000;

	private final double priorityFactor;

	private final Map<String, Demand> demands = new HashMap<>();

	private String latestQueue;

	private Demand latestDemand;

	DemandOrder(double priorityFactor) {
		this.priorityFactor = priorityFactor;
	}

	@Override
	public void jobArrived(JobEntity job, double work, long nowNanos) {
		this.demands.computeIfAbsent(job.spec().queue(), (queue) -> new Demand()).add(work, nowNanos);
	}

	@Override
	public void sort(List<JobEntity> jobs, long nowNanos) {
		for (JobEntity job : jobs) {
			job.rank = rank(job, nowNanos);
		}
		jobs.sort(DemandOrder::compare);
	}

	private static int compare(JobEntity one, JobEntity other) {
		if (one.rank != other.rank) {
			return Integer.compare(one.rank, other.rank);
		}
		if (one.latestStartNanos != other.latestStartNanos) {
			return Long.compare(one.latestStartNanos, other.latestStartNanos);
		}
		return Long.compare(one.sequence(), other.sequence());
	}

	private int rank(JobEntity job, long nowNanos) {
		// Neighbours in a list that was sorted before are mostly of the same queue.
		String queue = job.spec().queue();
		if (!queue.equals(this.latestQueue)) {
			this.latestQueue = queue;
			this.latestDemand = this.demands.get(queue);
		}
		Demand demand = this.latestDemand;
		int level = demand.level(job.spec().terms().priority(), this.priorityFactor, nowNanos);
		return (job.latestStartNanos < nowNanos) ? LATE_RANK + level : level;
	}

	private static final class Demand {

		private double decayedWork;

		private long updatedNanos;

		/** The level for levelPriority, as computed at levelNanos; 0 if outdated. */
		private int level;

		private int levelPriority;

		private long levelNanos;

		void add(double work, long nowNanos) {
			this.decayedWork = workAt(nowNanos) + work;
			this.updatedNanos = nowNanos;
			this.levelNanos = 0;
		}

		int level(int priority, double priorityFactor, long nowNanos) {
			if (nowNanos != this.levelNanos || priority != this.levelPriority) {
				double weightedWork = Math.max(1, workAt(nowNanos)) * Math.pow(priorityFactor, priority);
				this.level = (int) Math.round(Math.log(weightedWork) / Math.log(DEMAND_LEVEL_FACTOR));
				this.levelPriority = priority;
				this.levelNanos = nowNanos;
			}
			return this.level;
		}

		double workAt(long nowNanos) {
			return this.decayedWork * Math.exp(-(nowNanos - this.updatedNanos) / DEMAND_DECAY_NANOS);
		}

	}

}
