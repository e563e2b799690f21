package org.limpetgate.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.limpetgate.DataCentreId;

/**
 * Orders jobs by the cost of their delay, with fair shares.
 * <p>
 * Jobs within the share of their flow come first, by the latest start: together they fit
 * into the capacity, so this order serves all of them. Jobs beyond the share compete for
 * the rest of the capacity by the cost of their refusal per core second. Jobs that cannot
 * be on time any more come last, with two exceptions while their answer can be of use:
 * jobs within the share come before the surplus, so that a burst cannot take a share away
 * by making its jobs late, and started jobs compete with the surplus, since their work
 * would be lost. Ranks are computed once per pass. Not thread-safe.
 */
final class CostOrder implements QueueOrder {

	/**
	 * The part of the capacity that is guaranteed. Jobs that arrive at random at the rate
	 * of the whole capacity would form an ever longer queue and all become late. The rest
	 * goes to the jobs beyond the shares.
	 */
	static final double GUARANTEED_CAPACITY_SHARE = 0.85;

	private static final int WITHIN_SHARE_RANK = 0;

	private static final int LATE_WITHIN_SHARE_RANK = 1;

	private static final int SURPLUS_RANK = 2;

	private static final int LATE_RANK = 3;

	private final SchedulerTables tables;

	/** The workers of a service run its jobs only. */
	private final Map<String, Service> services = new HashMap<>();

	CostOrder(SchedulerTables tables) {
		this.tables = tables;
	}

	@Override
	public void jobArrived(JobEntity job, double work, long nowNanos) {
		Service service = this.services.computeIfAbsent(job.spec().service(), (key) -> new Service());
		if (service.shares.isRefreshDue(nowNanos)) {
			refresh(service, job.spec().service(), nowNanos);
		}
		Optional<DataCentreId> dataCentre = job.origins.stream()
			.findFirst()
			.flatMap(this.tables.hostDataCentres::dataCentreOf);
		job.withinShare = service.shares.jobArrived(new FairShares.FlowId(job.spec().queue(), dataCentre),
				job.cost.work(), job.latestStartNanos - nowNanos, nowNanos);
	}

	private void refresh(Service service, String name, long nowNanos) {
		boolean waiting = this.tables.waitingJobs.stream().anyMatch((job) -> job.spec().service().equals(name));
		double nominal = this.tables.usableCpuMillis(name, nowNanos) / 1000;
		double served = this.tables.servedWork.getOrDefault(name, 0.0);
		double capacity = service.capacity.observe(nominal, served, waiting, nowNanos);
		service.shares.refresh(GUARANTEED_CAPACITY_SHARE * capacity, nowNanos);
	}

	@Override
	public void sort(List<JobEntity> jobs, long nowNanos) {
		for (JobEntity job : jobs) {
			rank(job, nowNanos);
		}
		jobs.sort(CostOrder::compare);
	}

	// Compares in one method, since a pass compares thousands of jobs.
	private static int compare(JobEntity first, JobEntity second) {
		if (first.rank != second.rank) {
			return Integer.compare(first.rank, second.rank);
		}
		int byKey = Double.compare(first.rankKey, second.rankKey);
		if (byKey != 0) {
			return byKey;
		}
		int byStart = Long.compare(first.nextStartNanos, second.nextStartNanos);
		return (byStart != 0) ? byStart : Long.compare(first.sequence(), second.sequence());
	}

	private void rank(JobEntity job, long nowNanos) {
		updateNextStart(job);
		job.rankKey = 0;
		if (job.nextStartNanos >= nowNanos) {
			job.rank = job.withinShare ? WITHIN_SHARE_RANK : SURPLUS_RANK;
			if (!job.withinShare) {
				job.rankKey = -remainingDensity(job);
			}
		}
		else if ((job.mayHaveBegun() || job.withinShare) && canBeUseful(job, nowNanos)) {
			job.rank = job.withinShare ? LATE_WITHIN_SHARE_RANK : SURPLUS_RANK;
			job.rankKey = -(1 - JobCost.LATE_LOSS_SHARE) * remainingDensity(job);
		}
		else {
			job.rank = LATE_RANK;
			job.rankKey = -remainingDensity(job);
		}
	}

	private static boolean canBeUseful(JobEntity job, long nowNanos) {
		return nowNanos <= job.nextStartNanos + job.cost.usefulEndNanos() - job.cost.objectiveEndNanos();
	}

	// Returns the cost of a refusal for each core second that the waiting tasks need. The
	// work of the other tasks is lost if the job is not completed.
	private static double remainingDensity(JobEntity job) {
		double density = job.cost.density();
		return job.mayHaveBegun() ? density * job.spec().taskCount() / Math.max(1, job.waitingTasks) : density;
	}

	// The next step may start later than the job had to if earlier steps are done.
	private void updateNextStart(JobEntity job) {
		if (job.doneSteps == 0) {
			job.nextStartNanos = job.latestStartNanos;
		}
		else if (job.nextStartDoneSteps != job.doneSteps) {
			job.nextStartDoneSteps = job.doneSteps;
			double doneShare = 1 - Math.min(1, remainingChainNanos(job) / Math.max(1, job.workNanos));
			long latestEndNanos = job.objectiveEndNanos - SchedulerSettings.OVERHEAD_NANOS;
			job.nextStartNanos = job.latestStartNanos + (long) (doneShare * (latestEndNanos - job.latestStartNanos));
		}
	}

	private double remainingChainNanos(JobEntity job) {
		return job.spec()
			.longestChainNanos((step) -> this.tables.runTimeModel.taskNanos(job.spec().queue(), step), job::isStepDone);
	}

	private static final class Service {

		private final FairShares shares = new FairShares(Map.of());

		private final ServedCapacity capacity = new ServedCapacity();

	}

}
