package org.limpetgate.scheduling;

import java.util.Objects;

/**
 * Identifies one run of a task.
 * <p>
 * Immutable and thread-safe.
 *
 * @param task the task, not null
 * @param attempt the attempt number, from 1; a worker accepts only a higher number than
 * that of any run of the task that has ended there
 */
public record RunId(TaskName task, int attempt) {

	public RunId {
		Objects.requireNonNull(task, "task");
	}

	@Override
	public String toString() {
		return this.task + "#" + this.attempt;
	}

}
