package org.limpetgate.scheduling;

import java.util.List;
import java.util.Objects;

/**
 * The progress of a stored job.
 * <p>
 * Immutable and thread-safe.
 *
 * @param state its state, not null
 * @param endedMillis when it ended, milliseconds since the Unix epoch, 0 while it is open
 * @param steps the progress of each step, empty if nothing has ended yet
 */
public record JobProgress(StoredState state, long endedMillis, List<StepProgress> steps) {

	/** The progress of an open job without ended tasks. */
	public static final JobProgress NONE = new JobProgress(StoredState.OPEN, 0, List.of());

	public JobProgress {
		Objects.requireNonNull(state, "state");
		steps = List.copyOf(steps);
	}

}
