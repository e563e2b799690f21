package org.limpetgate.scheduling;

import java.util.Objects;
import java.util.regex.Pattern;

import org.limpetgate.JobId;

/**
 * The name of a task: its job, the occurrence of the job, the step and the index within
 * the step.
 * <p>
 * Immutable and thread-safe.
 *
 * @param job the job, not null
 * @param occurrence the occurrence, from 0
 * @param step the step, from 0
 * @param index the index within the step, from 0
 */
public record TaskName(JobId job, int occurrence, int step, int index) {

	private static final Pattern SEPARATOR = Pattern.compile("\\.");

	private static final int PARTS = 4;

	public TaskName {
		Objects.requireNonNull(job, "job");
	}

	/**
	 * Parses the text form.
	 * @param text the text form, as returned by {@link #toString()}
	 * @return the name, not null
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static TaskName parse(String text) {
		String[] parts = SEPARATOR.split(text);
		if (parts.length != PARTS) {
			throw new IllegalArgumentException("'" + text + "' is not of the form job.occurrence.step.index");
		}
		return new TaskName(JobId.of(parts[0]), Integer.parseInt(parts[1]), Integer.parseInt(parts[2]),
				Integer.parseInt(parts[3]));
	}

	/**
	 * Returns {@code job.occurrence.step.index}.
	 * @return the text form, not null
	 */
	@Override
	public String toString() {
		return this.job + "." + this.occurrence + "." + this.step + "." + this.index;
	}

}
