package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides which runs are stopped for the tasks of an urgent job that would otherwise be
 * late.
 * <p>
 * Runs are stopped only if all tasks of the job are then on time, if the cost that this
 * saves exceeds the cost of the work lost and of the harm to the jobs of the stopped
 * runs, and if the work lost is within the budget. Has no state and is thread-safe.
 */
final class Preemption {

	/**
	 * The assumed time from the order to stop a run until the next one can start in its
	 * place: a stop of 50 ms and the time for messages. Does not follow
	 * {@link SchedulerSettings#stopNanos()}.
	 */
	static final long STOP_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

	private final EndCost endCost;

	Preemption(EndCost endCost) {
		this.endCost = endCost;
	}

	/**
	 * Decides for one job.
	 * @param urgent the job
	 * @param victims the runs that may be stopped for it
	 * @param releases when the present runs release their capacity
	 * @param budgetCoreSeconds the work that may be lost, in core seconds
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return the runs to stop, empty if the job waits
	 */
	Optional<Plan> decide(Urgent urgent, List<Victim> victims, ReleaseTimes releases, double budgetCoreSeconds,
			long nowNanos) {
		JobEntity job = urgent.job();
		long lastStartNanos = releases.startNanos(urgent.tasksAhead() + urgent.tasks() - 1);
		long endNanos = urgent.endNanos(lastStartNanos, urgent.fastestFactor());
		int needed = 0;
		while (needed < urgent.tasks() && isLate(urgent, releases, urgent.tasks() - 1 - needed)) {
			needed++;
		}
		if (needed == 0) {
			return Optional.empty();
		}
		List<Choice> choices = new ArrayList<>();
		for (Victim victim : victims) {
			boolean inTime = urgent.endNanos(nowNanos + STOP_NANOS, victim.urgentFactor()) <= job.objectiveEndNanos;
			if (inTime && urgent.demand().fits(victim.room())) {
				double cost = cost(victim, releases.startNanos(victim.tasksAhead() + urgent.tasks()), nowNanos);
				choices.add(new Choice(victim, cost));
			}
		}
		return plan(choices, needed, this.endCost.of(job, endNanos), budgetCoreSeconds);
	}

	private static boolean isLate(Urgent urgent, ReleaseTimes releases, int index) {
		long startNanos = releases.startNanos(urgent.tasksAhead() + index);
		return urgent.endNanos(startNanos, urgent.fastestFactor()) > urgent.job().objectiveEndNanos;
	}

	// Returns the cost of the work lost and of the harm to the job of a run, infinite if
	// the job could not end in useful time.
	private double cost(Victim victim, long restartNanos, long nowNanos) {
		JobEntity job = victim.run().job();
		long newEndNanos = Math.max(restartNanos, nowNanos + STOP_NANOS) + victim.remainingNanos();
		if (newEndNanos > job.usefulEndNanos()) {
			return Double.POSITIVE_INFINITY;
		}
		// The work that is done again displaces other work of the same kind.
		double valueOfWork = this.endCost.of(job, Long.MAX_VALUE) / Math.max(1e-3, victim.jobCoreSeconds());
		double harm = this.endCost.of(job, newEndNanos) - this.endCost.of(job, victim.expectedEndNanos());
		return victim.lostCoreSeconds() * valueOfWork + Math.max(0, harm);
	}

	private static Optional<Plan> plan(List<Choice> choices, int needed, double savedCost, double budgetCoreSeconds) {
		choices.sort(Comparator.comparingDouble(Choice::cost));
		Set<Object> used = new HashSet<>();
		List<Victim> chosen = new ArrayList<>();
		double cost = 0;
		double lostCoreSeconds = 0;
		for (Choice choice : choices) {
			RunEntity run = choice.victim().run();
			boolean affordable = cost + choice.cost() < savedCost
					&& lostCoreSeconds + choice.victim().lostCoreSeconds() <= budgetCoreSeconds;
			if (chosen.size() < needed && affordable && !used.contains(run.worker()) && !used.contains(run.job())) {
				used.add(run.worker());
				used.add(run.job());
				chosen.add(choice.victim());
				cost += choice.cost();
				lostCoreSeconds += choice.victim().lostCoreSeconds();
			}
		}
		return (chosen.size() == needed) ? Optional.of(new Plan(chosen, savedCost, cost)) : Optional.empty();
	}

	/**
	 * A job with waiting tasks of one step.
	 *
	 * @param job the job
	 * @param demand the demand of each of the tasks
	 * @param tasks the number of waiting tasks, at least 1
	 * @param tasksAhead the number of tasks that start before its first one
	 * @param taskNanos the expected duration on a worker of speed 1, in nanoseconds
	 * @param laterNanos the expected duration of the steps that follow, in nanoseconds
	 * @param fastestFactor the factor of the fastest worker
	 */
	record Urgent(JobEntity job, Capacity demand, int tasks, int tasksAhead, double taskNanos, double laterNanos,
			double fastestFactor) {

		private long endNanos(long startNanos, double factor) {
			return (long) (startNanos + this.taskNanos * factor + this.laterNanos) + SchedulerSettings.OVERHEAD_NANOS;
		}

	}

	/**
	 * A run that may be stopped.
	 *
	 * @param run the run
	 * @param urgentFactor the factor of its worker on the duration of the urgent tasks
	 * @param room the free capacity of its worker after its end
	 * @param lostCoreSeconds the work that is lost if it is stopped, in core seconds
	 * @param jobCoreSeconds the work of its job, in core seconds
	 * @param tasksAhead the number of tasks, without those of the urgent job, that start
	 * before it does again
	 * @param expectedEndNanos when its job is expected to end if it is not stopped
	 * @param remainingNanos the time from its next start until the end of its job, in
	 * nanoseconds
	 */
	record Victim(RunEntity run, double urgentFactor, Capacity room, double lostCoreSeconds, double jobCoreSeconds,
			int tasksAhead, long expectedEndNanos, long remainingNanos) {

	}

	/**
	 * The runs to stop.
	 *
	 * @param victims the runs, at least one, on different workers and of different jobs
	 * @param savedCost the cost of the end of the urgent job if nothing is stopped
	 * @param cost the cost of the work lost and of the harm to the jobs of the runs
	 */
	record Plan(List<Victim> victims, double savedCost, double cost) {

	}

	private record Choice(Victim victim, double cost) {

	}

}
