package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.limpetgate.scheduling.SchedulingEffect.StopRun;

/**
 * Stops runs for urgent jobs as {@link Preemption} decides, and keeps their workers for
 * these jobs until the runs have ended.
 * <p>
 * Invariants: no run of a job is stopped here if another one was before; the work lost
 * stays within the budget; a worker is kept only for a limited time, which nothing
 * prolongs. Does nothing if the budget is 0. Not thread-safe.
 */
final class PreemptionSystem {

	/** Jobs of this priority may preempt others. */
	private static final int URGENT_PRIORITY = 0;

	/** The longest time that a worker is kept for the job for which a run was stopped. */
	static final long HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** Bounds the processor time for decisions, which look at all runs. */
	private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

	private static final int MAX_JOBS_PER_DECISION = 8;

	private final SchedulerTables tables;

	private final RunSystem runs;

	private final Preemption preemption;

	private final PreemptionBudget budget;

	private final List<Hold> holds = new ArrayList<>();

	/**
	 * The number of waiting tasks by the latest start of their jobs, those with an
	 * earlier one included.
	 */
	private final TreeMap<Long, Integer> tasksByLatestStart = new TreeMap<>();

	private long decidedNanos;

	PreemptionSystem(SchedulerTables tables, RunSystem runs, EndCost endCost) {
		this.tables = tables;
		this.runs = runs;
		this.preemption = new Preemption(endCost);
		this.budget = new PreemptionBudget(tables.settings.policy().preemptionBudget());
	}

	void clear() {
		this.holds.clear();
	}

	// Returns the jobs for which workers are kept, in the order in which they were.
	Set<JobEntity> preemptingJobs(long nowNanos) {
		this.holds.removeIf((hold) -> nowNanos >= hold.untilNanos() || !hold.job().waiting);
		Set<JobEntity> jobs = new LinkedHashSet<>();
		this.holds.forEach((hold) -> jobs.add(hold.job()));
		return jobs;
	}

	// Keeps other jobs from the workers for the rest of a placement pass.
	void reserveWorkers(Placement placement) {
		this.holds.removeIf((hold) -> !hold.job().waiting);
		for (Hold hold : this.holds) {
			hold.worker().reserved = true;
			placement.workerChanged(hold.worker());
			// Another pass is due once the time has passed.
			this.tables.placementDue = true;
		}
	}

	// Stops runs for the urgent jobs that a placement pass has left waiting.
	void preempt(List<JobEntity> ordered, long nowNanos) {
		if (this.budget.isUnused() || nowNanos - this.decidedNanos < INTERVAL_NANOS) {
			return;
		}
		double available = this.budget.available(nowNanos);
		if (available <= 0) {
			return;
		}
		int tasksAhead = 0;
		int decisions = 0;
		ReleaseTimes releases = null;
		for (JobEntity job : ordered) {
			if (job.waiting && isUrgent(job, nowNanos) && decisions < MAX_JOBS_PER_DECISION) {
				this.decidedNanos = nowNanos;
				decisions++;
				if (releases == null) {
					releases = releases(nowNanos);
					countTasksByLatestStart();
				}
				preempt(job, tasksAhead, releases, nowNanos);
			}
			tasksAhead += job.waiting ? job.waitingTasks : 0;
		}
	}

	private boolean isUrgent(JobEntity job, long nowNanos) {
		return job.spec().terms().priority() == URGENT_PRIORITY && job.ordinary && !job.resubmitted
				&& job.objectiveEndNanos > nowNanos + Preemption.STOP_NANOS
				&& this.holds.stream().noneMatch((hold) -> hold.job() == job)
				&& this.runs.updateLeaseLimit(job, nowNanos);
	}

	private ReleaseTimes releases(long nowNanos) {
		return new ReleaseTimes(this.tables.workers.values()
			.stream()
			.filter(WorkerEntity::isUsable)
			.flatMap((worker) -> worker.runs.values().stream())
			.mapToLong((run) -> expectedEndNanos(run, nowNanos))
			.toArray(), nowNanos);
	}

	private static long expectedEndNanos(RunEntity run, long nowNanos) {
		return Math.max(nowNanos, run.startedNanos() + (long) run.expectedNanos);
	}

	private void preempt(JobEntity job, int tasksAhead, ReleaseTimes releases, long nowNanos) {
		List<TaskEntity> waiting = job.steps()
			.stream()
			.flatMap(List::stream)
			.filter((task) -> task.state == TaskEntity.State.WAITING)
			.toList();
		int number = waiting.get(0).name().step();
		StepSpec step = waiting.get(0).step();
		if (waiting.stream().anyMatch((task) -> task.name().step() != number) || !canPreempt(step)) {
			return;
		}
		List<Preemption.Victim> victims = victims(job, step, nowNanos);
		double fastest = victims.stream().mapToDouble(Preemption.Victim::urgentFactor).min().orElse(1);
		Preemption.Urgent urgent = new Preemption.Urgent(job, step.demand(), waiting.size(), tasksAhead,
				taskNanos(job, step), laterNanos(job, number), fastest);
		this.preemption.decide(urgent, victims, releases, this.budget.available(nowNanos), nowNanos)
			.ifPresent((plan) -> carryOut(plan, job, nowNanos));
	}

	// Steps with further conditions on their workers wait.
	private static boolean canPreempt(StepSpec step) {
		return step.traits().isEmpty() && step.maxPerWorker() <= 0 && step.latencyTargetMillis() == 0
				&& step.dataRack().isEmpty();
	}

	private double taskNanos(JobEntity job, StepSpec step) {
		return this.tables.runTimeModel.taskNanos(job.spec().queue(), step);
	}

	// Returns the longest chain of the steps that wait for a step.
	private double laterNanos(JobEntity job, int number) {
		List<StepSpec> steps = job.spec().steps();
		double longest = 0;
		for (int next = 0; next < steps.size(); next++) {
			if (steps.get(next).after().contains(number)) {
				longest = Math.max(longest, taskNanos(job, steps.get(next)) + laterNanos(job, next));
			}
		}
		return longest;
	}

	private List<Preemption.Victim> victims(JobEntity job, StepSpec step, long nowNanos) {
		List<Preemption.Victim> victims = new ArrayList<>();
		for (WorkerEntity worker : this.tables.workers.values()) {
			if (isPreemptible(worker, job, step, nowNanos)) {
				for (RunEntity run : worker.runs.values()) {
					if (isPreemptible(run, job, nowNanos)) {
						victims.add(victim(run, nowNanos));
					}
				}
			}
		}
		return victims;
	}

	private boolean isPreemptible(WorkerEntity worker, JobEntity job, StepSpec step, long nowNanos) {
		return worker.isUsable() && !worker.reserved && !worker.isolated && worker.suspectUntilNanos <= nowNanos
				&& worker.info.service().equals(job.spec().service()) && step.demand().fits(worker.info.capacity())
				&& (step.requiredLabel().isEmpty() || worker.info.labels().contains(step.requiredLabel()))
				&& worker.latestLeaseEndNanos() <= job.leaseLimitNanos
				&& this.holds.stream().noneMatch((hold) -> hold.worker() == worker);
	}

	private static boolean isPreemptible(RunEntity run, JobEntity urgent, long nowNanos) {
		JobEntity job = run.job();
		StepSpec step = run.step();
		return run.state == RunEntity.State.RUNNING && run.task != null && run.task.run == run && !job.ended
				&& !run.released && !job.preempted && job.spec().terms().priority() > urgent.spec().terms().priority()
				&& !step.has(StepTrait.GANG) && !step.has(StepTrait.PERPETUAL)
				&& !(job.spec().stored() && run.checkpoint.isEmpty())
				&& expectedEndNanos(run, nowNanos) > nowNanos + Preemption.STOP_NANOS;
	}

	private Preemption.Victim victim(RunEntity run, long nowNanos) {
		JobEntity job = run.job();
		long keptNanos = keptNanos(run);
		// The run continues until it is stopped.
		double lostCoreSeconds = lostCoreSeconds(run, nowNanos + Preemption.STOP_NANOS);
		double laterNanos = laterNanos(job, run.id().task().step());
		long remainingNanos = (long) (Math.max(0, run.expectedNanos - keptNanos) + laterNanos)
				+ SchedulerSettings.OVERHEAD_NANOS;
		long endNanos = expectedEndNanos(run, nowNanos) + (long) laterNanos + SchedulerSettings.OVERHEAD_NANOS;
		double jobCoreSeconds = 0;
		for (StepSpec step : job.spec().steps()) {
			jobCoreSeconds += step.count() * step.demand().cpuMillis() / 1000.0 * taskNanos(job, step) / 1e9;
		}
		return new Preemption.Victim(run, this.tables.runTimeModel.factor(run.worker(), nowNanos),
				run.worker().freeCapacity().plus(run.demand()), lostCoreSeconds, jobCoreSeconds, tasksAhead(job),
				endNanos, remainingNanos);
	}

	// Estimates how many tasks start before a task of the job that waits again: those of
	// the waiting jobs with an earlier latest start.
	private int tasksAhead(JobEntity job) {
		Map.Entry<Long, Integer> earlier = this.tasksByLatestStart.floorEntry(job.latestStartNanos);
		return (earlier != null) ? earlier.getValue() : 0;
	}

	private void countTasksByLatestStart() {
		this.tasksByLatestStart.clear();
		for (JobEntity job : this.tables.waitingJobs) {
			this.tasksByLatestStart.merge(job.latestStartNanos, job.waitingTasks, Integer::sum);
		}
		int sum = 0;
		for (Map.Entry<Long, Integer> entry : this.tasksByLatestStart.entrySet()) {
			sum += entry.getValue();
			entry.setValue(sum);
		}
	}

	private static long keptNanos(RunEntity run) {
		boolean resumes = run.step().has(StepTrait.CHECKPOINTED) && !run.checkpoint.isEmpty();
		return resumes ? run.checkpointNanos - run.startedNanos() : 0;
	}

	private static double lostCoreSeconds(RunEntity run, long endNanos) {
		return run.demand().cpuMillis() / 1000.0 * (endNanos - run.startedNanos() - keptNanos(run)) / 1e9;
	}

	// Charges the work of a stopped run that has continued for longer than expected.
	void runEnded(RunEntity run, RunListener.RunEnd end, long nowNanos) {
		if (run.stopReason == StopRun.Reason.PREEMPTED && end != RunListener.RunEnd.DONE) {
			this.budget.spend(Math.max(0, lostCoreSeconds(run, nowNanos) - run.chargedCoreSeconds));
		}
	}

	private void carryOut(Preemption.Plan plan, JobEntity job, long nowNanos) {
		for (Preemption.Victim victim : plan.victims()) {
			RunEntity run = victim.run();
			run.chargedCoreSeconds = victim.lostCoreSeconds();
			this.budget.spend(run.chargedCoreSeconds);
			run.job().preempted = true;
			this.holds.add(new Hold(run.worker(), job, nowNanos + HOLD_NANOS));
			this.tables.emit(new SchedulingEffect.RunPreempted(run.worker().info, run.id(), job.id(),
					victim.lostCoreSeconds(), plan.savedCost(), plan.cost()));
			this.runs.stop(run, StopRun.Reason.PREEMPTED, nowNanos);
		}
	}

	private record Hold(WorkerEntity worker, JobEntity job, long untilNanos) {

	}

}
