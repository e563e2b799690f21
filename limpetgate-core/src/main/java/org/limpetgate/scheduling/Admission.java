package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Decides whether a job can be completed in time, at its arrival and while it waits.
 * <p>
 * Sheds load under overload: a job that cannot be on time is refused on arrival, and a
 * waiting job that has passed its latest start is refused or abandoned after a further
 * wait. Stored jobs are never abandoned. Not thread-safe.
 */
final class Admission {

	static final String INFEASIBLE = "no worker has both the capacity and the label that a task requires";

	/** The longest retry delay that is sent with a refusal. */
	static final long MAX_RETRY_AFTER_NANOS = TimeUnit.SECONDS.toNanos(3);

	/**
	 * How long a late job waits for capacity before it is refused, as a share of its
	 * objective.
	 */
	private static final double LATE_WAIT_SHARE = 0.5;

	private static final double CPU_MILLIS_NANOS_PER_CORE_SECOND = 1000.0 * TimeUnit.SECONDS.toNanos(1);

	private final SchedulerTables tables;

	private final QueueOrder order;

	Admission(SchedulerTables tables, QueueOrder order) {
		this.tables = tables;
		this.order = order;
	}

	// Sets the work, deadline, objective and latest start of a job.
	void computeTimes(JobEntity job, long remainingNanos, long nowNanos) {
		JobSpec spec = job.spec();
		job.workNanos = spec.longestChainNanos((step) -> this.tables.runTimeModel.taskNanos(spec.queue(), step));
		job.deadlineNanos = nowNanos + remainingNanos;
		long objective = spec.terms().objectiveNanos(job.workNanos);
		job.objectiveEndNanos = job.arrivalNanos() + objective;
		job.latestStartNanos = latestStartNanos(job, nowNanos);
		job.refusalNanos = job.latestStartNanos + (long) (LATE_WAIT_SHARE * objective);
		if (wasDelayed(job, nowNanos)) {
			job.refusalNanos = job.latestStartNanos + (QueueTerms.USEFUL_FACTOR - 1) * objective;
		}
		double work = remainingWork(job) / CPU_MILLIS_NANOS_PER_CORE_SECOND;
		this.tables.meanWork.add(work);
		job.cost = JobCost.of(spec.terms(), job.arrivalNanos(), objective, work, this.tables.meanWork.value());
		this.order.jobArrived(job, waitingWork(job), nowNanos);
	}

	boolean isFeasible(JobSpec spec) {
		return spec.steps().stream().allMatch((step) -> this.tables.workers.values().stream().anyMatch((worker) -> {
			WorkerInfo info = worker.info;
			return !worker.drained && info.service().equals(spec.service()) && step.demand().fits(info.capacity())
					&& (step.requiredLabel().isEmpty() || info.labels().contains(step.requiredLabel()));
		}));
	}

	// Returns the start after which even the fastest worker would complete the job
	// too late. A job that takes longer than its estimate also has a later objective,
	// so only the ratio of the worker's factor to the stretch matters.
	private long latestStartNanos(JobEntity job, long nowNanos) {
		double fastestFactor = Double.MAX_VALUE;
		for (WorkerEntity worker : this.tables.workers.values()) {
			if (worker.listed && !worker.drained && worker.info.service().equals(job.spec().service())) {
				fastestFactor = Math.min(fastestFactor, this.tables.runTimeModel.factor(worker, nowNanos));
			}
		}
		double work = (fastestFactor < Double.MAX_VALUE) ? job.workNanos * fastestFactor : job.workNanos;
		return (long) (job.objectiveEndNanos - work) - SchedulerSettings.OVERHEAD_NANOS;
	}

	// Estimates the queueing delay: the work ahead of the job divided by the capacity
	// of all workers of the service.
	long queueWaitNanos(JobEntity job, WaitingJobs waiting, long nowNanos) {
		if (waiting.isEmpty()) {
			return 0;
		}
		double workAhead = 0;
		for (JobEntity queuedJob : waiting.sortWith(job, this.order, nowNanos)) {
			if (queuedJob == job) {
				break;
			}
			if (queuedJob.spec().service().equals(job.spec().service())) {
				workAhead += waitingWork(queuedJob);
			}
		}
		double capacity = this.tables.usableCpuMillis(job.spec().service(), nowNanos);
		return (capacity > 0) ? (long) (workAhead / capacity) : 0;
	}

	// Returns the waiting jobs that can no longer be served after the capacity has
	// changed, and moves the latest start of the others. A job is refused here only if
	// it would be refused later anyway, so jobs that can still be served late stay.
	List<RefusalRule.Refusal> reevaluate(long nowNanos) {
		this.tables.waitingJobs.forEach((job) -> updateLatestStart(job, nowNanos));
		List<JobEntity> ordered = this.tables.waitingJobs.sort(this.order, nowNanos);
		Map<String, Double> capacities = new HashMap<>();
		Map<String, Double> workAhead = new HashMap<>();
		List<RefusalRule.Refusal> refusals = new ArrayList<>();
		for (JobEntity job : ordered) {
			String service = job.spec().service();
			double capacity = capacities.computeIfAbsent(service, (key) -> this.tables.usableCpuMillis(key, nowNanos));
			double ahead = workAhead.getOrDefault(service, 0.0);
			long waitNanos = (capacity > 0) ? (long) (ahead / capacity) : 0;
			boolean refusable = !job.spec().stored() && !job.mayHaveBegun() && !job.resubmitted;
			if (refusable && !isFeasible(job.spec())) {
				refusals.add(new RefusalRule.Refusal(job, INFEASIBLE, MAX_RETRY_AFTER_NANOS));
			}
			else if (refusable && nowNanos + waitNanos > job.refusalNanos) {
				refusals.add(new RefusalRule.Refusal(job, LatestStartRefusal.MESSAGE, retryAfterNanos(waitNanos)));
			}
			else {
				workAhead.put(service, ahead + waitingWork(job));
			}
		}
		return refusals;
	}

	private void updateLatestStart(JobEntity job, long nowNanos) {
		long latestStartNanos = latestStartNanos(job, nowNanos);
		job.refusalNanos += latestStartNanos - job.latestStartNanos;
		job.latestStartNanos = latestStartNanos;
	}

	private double waitingWork(JobEntity job) {
		return work(job, (task) -> task.state == TaskEntity.State.WAITING);
	}

	// Also counts the tasks that wait for earlier steps.
	private double remainingWork(JobEntity job) {
		return work(job, (task) -> task.state != TaskEntity.State.DONE);
	}

	// Adds the work of a task that is done to that served by the workers.
	void taskServed(TaskEntity task) {
		JobSpec spec = task.job().spec();
		double work = task.step().demand().cpuMillis() * this.tables.runTimeModel.taskNanos(spec.queue(), task.step());
		this.tables.servedWork.merge(spec.service(), work / CPU_MILLIS_NANOS_PER_CORE_SECOND, Double::sum);
	}

	private double work(JobEntity job, Predicate<TaskEntity> counted) {
		double work = 0;
		for (List<TaskEntity> tasks : job.steps()) {
			StepSpec step = tasks.get(0).step();
			double taskWork = step.demand().cpuMillis() * this.tables.runTimeModel.taskNanos(job.spec().queue(), step);
			for (TaskEntity task : tasks) {
				if (counted.test(task)) {
					work += taskWork;
				}
			}
		}
		return work;
	}

	// Tests whether a job was late already when it was submitted, for example because no
	// host scheduled when it arrived.
	private static boolean wasDelayed(JobEntity job, long nowNanos) {
		return job.latestStartNanos < nowNanos;
	}

	// Tests whether a job that has just been submitted should be refused. A job that the
	// queue would make late leaves the capacity to others. A job that came late waits for
	// spare capacity, since a late answer is worth more to its caller than none.
	static boolean shouldRefuseOnArrival(JobEntity job, long queueWaitNanos, long nowNanos) {
		long limit = wasDelayed(job, nowNanos) ? job.refusalNanos : job.latestStartNanos;
		return nowNanos + queueWaitNanos > limit;
	}

	static long retryAfterNanos(long waitNanos) {
		return Math.min(MAX_RETRY_AFTER_NANOS, Math.max(waitNanos, TimeUnit.MILLISECONDS.toNanos(100)));
	}

	// Tests whether a job with waiting tasks has passed its latest start.
	static boolean isLate(JobEntity job, long nowNanos) {
		return !job.spec().stored() && job.waitingTasks > 0 && job.latestStartNanos <= nowNanos;
	}

	// A late answer is worth less than one in time but more than none, so a late job is
	// refused only after a further wait.
	static boolean shouldRefuse(JobEntity job, long nowNanos) {
		return !job.mayHaveBegun() && !job.resubmitted && nowNanos > job.refusalNanos;
	}

	// A job is abandoned once it is of no use and its caller has stopped waiting.
	static boolean shouldAbandon(JobEntity job, long nowNanos) {
		return nowNanos > Math.max(job.deadlineNanos,
				job.arrivalNanos() + QueueTerms.USEFUL_FACTOR * job.spec().terms().objectiveNanos(job.workNanos));
	}

}
