package org.limpetgate.submission;

import java.util.Objects;

/**
 * The part of a job's answer that concerns one task.
 *
 * @param id the caller's id of the task
 * @param result the result of the task
 */
public record TaskAnswer(String id, TaskResult result) {

	public TaskAnswer {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(result, "result");
	}

}
