package org.limpetgate.scheduling;

import java.util.List;
import java.util.Objects;
import java.util.function.IntPredicate;
import java.util.function.ToDoubleFunction;

import org.limpetgate.JobId;

/**
 * The specification of a job as its caller submitted it, with the terms of its queue.
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the id, not null
 * @param queue the queue of the job, not null; task durations are learned per queue
 * @param service the service whose workers run the tasks, not null
 * @param terms the terms of the queue, not null
 * @param payload the payload that is sent to the workers with each task, not null
 * @param steps the steps, at least one
 * @param stored whether the job is kept in the platform's store until it has ended. The
 * caller of a stored job is answered once the job is stored, that of another job when the
 * job has ended
 */
public record JobSpec(JobId id, String queue, String service, QueueTerms terms, String payload, List<StepSpec> steps,
		boolean stored) {

	public JobSpec {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(terms, "terms");
		steps = List.copyOf(steps);
	}

	/**
	 * Creates a job that is not stored.
	 * @param id the id, not null
	 * @param queue the queue of the job, not null
	 * @param service the service whose workers run the tasks, not null
	 * @param terms the terms of the queue, not null
	 * @param payload the payload that is sent to the workers with each task, not null
	 * @param steps the steps, at least one
	 */
	public JobSpec(JobId id, String queue, String service, QueueTerms terms, String payload, List<StepSpec> steps) {
		this(id, queue, service, terms, payload, steps, false);
	}

	/**
	 * Returns the duration of the longest chain of dependent steps.
	 * @param taskNanos the duration of the tasks of a step, in nanoseconds, not null
	 * @return the duration in nanoseconds
	 */
	public double longestChainNanos(ToDoubleFunction<StepSpec> taskNanos) {
		return longestChainNanos(taskNanos, (step) -> false);
	}

	// Returns the duration of the longest chain of the steps that are not done.
	double longestChainNanos(ToDoubleFunction<StepSpec> taskNanos, IntPredicate done) {
		double[] stepEnds = new double[this.steps.size()];
		double longest = 0;
		for (int number = 0; number < stepEnds.length; number++) {
			StepSpec step = this.steps.get(number);
			double stepStart = 0;
			for (int predecessor : step.after()) {
				stepStart = Math.max(stepStart, stepEnds[predecessor]);
			}
			stepEnds[number] = stepStart + (done.test(number) ? 0 : taskNanos.applyAsDouble(step));
			longest = Math.max(longest, stepEnds[number]);
		}
		return longest;
	}

	/**
	 * Returns the total number of tasks.
	 * @return the number, at least 1
	 */
	public int taskCount() {
		return this.steps.stream().mapToInt(StepSpec::count).sum();
	}

}
