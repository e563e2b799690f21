package org.limpetgate.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Serves the queues that ask for the least work first, jobs that can still be on time
 * before late ones, and among equals the job with the earliest latest start.
 * <p>
 * Answers the crest of a load that exceeds the room: each queue counts the same to its
 * users, so that a core second earns most in the queue that needs the fewest of them.
 * Sorting by the latest start alone lets every queue wait until nearly all of its jobs
 * are late. The priority that operators give a queue weighs its demand. Not thread-safe.
 */
final class DemandOrder implements QueueOrder {

	/** The demand of a queue is a mean over about this time. */
	private static final double DEMAND_DECAY_NANOS = TimeUnit.SECONDS.toNanos(8);

	/** Demands within this factor count as equal, so that the slack decides. */
	private static final double DEMAND_LEVEL_FACTOR = 1.5;

	/** Above the level of any demand. */
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
