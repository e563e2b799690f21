package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.limpetgate.scheduling.SchedulingEffect.JobRefused;

/**
 * Refuses a waiting job as soon as a projection of the capacity shows that its last task
 * will start too late.
 * <p>
 * Jobs are projected in queue order. A job that is refused takes no capacity, so that the
 * jobs behind it are not refused for its sake. A job is not refused while a worker has
 * enough free capacity for one of its tasks. While no worker of a service is usable,
 * nothing is known about its capacity, and only the limits of {@link Admission} apply.
 * Not thread-safe.
 */
final class ProjectedRefusal implements RefusalRule {

	/**
	 * The shortest time between two projections. A refusal is due within 10 ms, which
	 * leaves half of that for messages.
	 */
	static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

	/**
	 * The factor by which the projected delay of a job must exceed the time that it can
	 * wait before it is refused. Estimates are too high by this factor in one case of
	 * six. A margin on the latest start itself would keep jobs that cannot be on time.
	 */
	static final double DELAY_MARGIN = 1.5;

	/** The time constant of the exponential decay of the demand. */
	private static final double DEMAND_DECAY_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final SchedulerTables tables;

	private final QueueOrder order;

	private final Map<String, ServiceState> services = new HashMap<>();

	private long lastProjectionNanos;

	ProjectedRefusal(SchedulerTables tables, QueueOrder order) {
		this.tables = tables;
		this.order = order;
	}

	@Override
	public Refusal onSubmission(JobEntity job, long nowNanos) {
		job.servableNanos = nowNanos;
		job.delayed = job.latestStartNanos < nowNanos;
		ServiceState service = service(job);
		double work = JobDemand.ofWaiting(job, this.tables.runTimeModel, nowNanos).work();
		if (job.delayed && job.refusalNanos < nowNanos) {
			return refuse(job, JobRefused.Reason.OF_NO_USE, nowNanos, work, service, 0, nowNanos);
		}
		service.addDemand(work, nowNanos);
		return null;
	}

	@Override
	public Refusal onLateness(JobEntity job, long nowNanos) {
		boolean useless = job.delayed && nowNanos > job.refusalNanos;
		if (!Admission.shouldRefuse(job, nowNanos)
				|| (!useless && FreeWorkers.fits(job, this.tables.workers.values(), nowNanos))) {
			return null;
		}
		double work = JobDemand.ofWaiting(job, this.tables.runTimeModel, nowNanos).work();
		JobRefused.Reason reason = useless ? JobRefused.Reason.OF_NO_USE : JobRefused.Reason.WAITED_TOO_LONG;
		return refuse(job, reason, nowNanos, work, service(job), 0, nowNanos);
	}

	@Override
	public List<Refusal> afterPlacement(long nowNanos) {
		if (nowNanos - this.lastProjectionNanos < MIN_INTERVAL_NANOS) {
			return List.of();
		}
		this.lastProjectionNanos = nowNanos;
		if (this.tables.waitingJobs.stream().noneMatch(ProjectedRefusal::isRefusable)) {
			return List.of();
		}
		List<JobEntity> ordered = this.tables.waitingJobs.sort(this.order, nowNanos);
		Map<String, List<JobDemand>> demands = new HashMap<>();
		for (JobEntity job : ordered) {
			JobDemand demand = JobDemand.ofWaiting(job, this.tables.runTimeModel, nowNanos);
			if (demand.tasks() > 0) {
				demands.computeIfAbsent(job.spec().service(), (key) -> new ArrayList<>()).add(demand);
			}
		}
		List<Refusal> refusals = new ArrayList<>();
		demands.forEach((service, jobs) -> project(service, jobs, nowNanos, refusals));
		return refusals;
	}

	private void project(String service, List<JobDemand> jobs, long nowNanos, List<Refusal> refusals) {
		ServiceCapacity capacity = ServiceCapacity.of(service, jobs, this.tables, nowNanos);
		if (capacity.throughput() <= 0) {
			return;
		}
		CapacityProjection projection = capacity.projection();
		ServiceState state = this.services.computeIfAbsent(service, (key) -> new ServiceState());
		state.throughput = capacity.throughput();
		for (JobDemand demand : jobs) {
			JobEntity job = demand.job();
			double durationNanos = demand.durationNanos() * capacity.durationFactor();
			if (isRefusable(job)) {
				long startNanos = projection.lastStartNanos(demand.cpuMillis(), demand.tasks(), durationNanos);
				if (startsTooLate(job, startNanos, nowNanos)
						&& !FreeWorkers.fits(job, this.tables.workers.values(), nowNanos)) {
					JobRefused.Reason reason = job.projected ? JobRefused.Reason.DISPLACED
							: JobRefused.Reason.AT_ARRIVAL;
					refusals
						.add(refuse(job, reason, startNanos, demand.work(), state, projection.workTaken(), nowNanos));
					continue;
				}
				job.projected = true;
				job.servableNanos = nowNanos;
			}
			projection.take(demand.cpuMillis(), demand.tasks(), durationNanos);
		}
	}

	private static boolean isRefusable(JobEntity job) {
		return !job.mayHaveBegun() && !job.resubmitted && !job.spec().stored();
	}

	// Returns the latest start with which a job is not refused. A job that was late when
	// it was submitted waits as long as its answer may be of use.
	private static long limitNanos(JobEntity job) {
		return job.delayed ? job.refusalNanos : job.latestStartNanos;
	}

	private static boolean startsTooLate(JobEntity job, long startNanos, long nowNanos) {
		return nowNanos + (startNanos - nowNanos) / DELAY_MARGIN > limitNanos(job);
	}

	private Refusal refuse(JobEntity job, JobRefused.Reason reason, long startNanos, double work, ServiceState service,
			double workAhead, long nowNanos) {
		long limitNanos = limitNanos(job);
		long earliestNanos = nowNanos + Math.max(0, startNanos - limitNanos);
		long returnNanos = service.retryPlan.plan(earliestNanos, work, service.spareCapacity(nowNanos), nowNanos);
		long retryAfterNanos = RetryPlan.delayNanos(returnNanos, nowNanos);
		this.tables.emit(new JobRefused(job.id(), job.spec().queue(), reason, startNanos - nowNanos,
				limitNanos - nowNanos, (long) (workAhead / 1e9), this.tables.waitingJobs.size(),
				nowNanos - job.servableNanos, retryAfterNanos));
		return new Refusal(job, LatestStartRefusal.MESSAGE, retryAfterNanos);
	}

	private ServiceState service(JobEntity job) {
		return this.services.computeIfAbsent(job.spec().service(), (key) -> new ServiceState());
	}

	@Override
	public long nextCheckNanos() {
		return this.tables.waitingJobs.stream().anyMatch(ProjectedRefusal::isRefusable)
				? this.lastProjectionNanos + MIN_INTERVAL_NANOS : Long.MAX_VALUE;
	}

	/** What is remembered of one service between projections. */
	private static final class ServiceState {

		private final RetryPlan retryPlan = new RetryPlan();

		/** The usable capacity at the last projection, in thousandths of a core. */
		private double throughput = 1;

		private double decayedDemand;

		private long demandNanos;

		void addDemand(double work, long nowNanos) {
			this.decayedDemand = decayedDemand(nowNanos) + work / DEMAND_DECAY_NANOS;
			this.demandNanos = nowNanos;
		}

		private double decayedDemand(long nowNanos) {
			return this.decayedDemand * Math.exp(-(nowNanos - this.demandNanos) / DEMAND_DECAY_NANOS);
		}

		double spareCapacity(long nowNanos) {
			return RetryPlan.spareCapacity(this.throughput, decayedDemand(nowNanos));
		}

	}

}
