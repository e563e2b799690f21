package org.limpetgate.scheduling;

import java.util.Comparator;
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

	DemandOrder(double priorityFactor) {
		this.priorityFactor = priorityFactor;
	}

	@Override
	public void jobArrived(JobEntity job, double work, long nowNanos) {
		this.demands.computeIfAbsent(job.spec().queue(), (queue) -> new Demand()).add(work, nowNanos);
	}

	@Override
	public void sort(List<JobEntity> jobs, long nowNanos) {
		jobs.forEach((job) -> job.rank = rank(job, nowNanos));
		jobs.sort(Comparator.<JobEntity>comparingInt((job) -> job.rank)
			.thenComparingLong((job) -> job.latestStartNanos)
			.thenComparingLong(JobEntity::sequence));
	}

	private int rank(JobEntity job, long nowNanos) {
		Demand demand = this.demands.get(job.spec().queue());
		double weightedDemand = Math.max(1, demand.workAt(nowNanos))
				* Math.pow(this.priorityFactor, job.spec().terms().priority());
		int level = (int) Math.round(Math.log(weightedDemand) / Math.log(DEMAND_LEVEL_FACTOR));
		return (job.latestStartNanos < nowNanos) ? LATE_RANK + level : level;
	}

	private static final class Demand {

		private double decayedWork;

		private long updatedNanos;

		void add(double work, long nowNanos) {
			this.decayedWork = workAt(nowNanos) + work;
			this.updatedNanos = nowNanos;
		}

		double workAt(long nowNanos) {
			return this.decayedWork * Math.exp(-(nowNanos - this.updatedNanos) / DEMAND_DECAY_NANOS);
		}

	}

}
