package org.limpetgate.scheduling;

import java.util.List;
import java.util.Objects;

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
	 * Returns the total number of tasks.
	 * @return the number, at least 1
	 */
	public int taskCount() {
		return this.steps.stream().mapToInt(StepSpec::count).sum();
	}

}
