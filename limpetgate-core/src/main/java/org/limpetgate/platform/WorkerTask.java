package org.limpetgate.platform;

import java.util.Objects;

import org.limpetgate.Resources;

/**
 * A task as sent to a worker.
 *
 * @param body the input; not to be modified
 * @param resources the resources that the worker reserves for it
 * @param deadlineNanos the time at which the worker stops it, in nanoseconds since the
 * Unix epoch; a start that arrives later is refused
 * @param checkpoint the name of the checkpoint to resume from, empty to start from the
 * beginning
 */
public record WorkerTask(byte[] body, Resources resources, long deadlineNanos, String checkpoint) {

	public WorkerTask {
		Objects.requireNonNull(body, "body");
		Objects.requireNonNull(resources, "resources");
		Objects.requireNonNull(checkpoint, "resumeFrom");
	}

	/**
	 * Returns a task that starts from the beginning.
	 * @param body the input, not null
	 * @param resources the resources that the worker reserves for it, not null
	 * @param deadlineNanos the time at which the worker stops it, in nanoseconds since
	 * the Unix epoch
	 * @return the task, not null
	 */
	public static WorkerTask of(byte[] body, Resources resources, long deadlineNanos) {
		return new WorkerTask(body, resources, deadlineNanos, "");
	}

	/**
	 * Returns a copy that resumes from a checkpoint.
	 * @param checkpoint the name that {@link WorkerService#checkpoint} returned, not null
	 * @return the task, not null
	 */
	public WorkerTask withResumeFrom(String checkpoint) {
		return new WorkerTask(this.body, this.resources, this.deadlineNanos, checkpoint);
	}

}
