package org.limpetgate.host.fleet;

import java.util.Optional;

import org.limpetgate.scheduling.JobState;

/**
 * The answer to a query for a stored job.
 * <p>
 * Immutable and thread-safe.
 *
 * @param available whether a host that owns the stored jobs has answered
 * @param state the state of the job, empty if no such job is stored
 */
public record StoredJobAnswer(boolean available, Optional<JobState> state) {

	/** No host that owns the stored jobs has answered. */
	public static final StoredJobAnswer UNAVAILABLE = new StoredJobAnswer(false, Optional.empty());

	/** No such job is stored. */
	public static final StoredJobAnswer UNKNOWN = new StoredJobAnswer(true, Optional.empty());

	/**
	 * Returns the answer for a job that is stored.
	 * @param state its state, not null
	 * @return the answer, not null
	 */
	public static StoredJobAnswer of(JobState state) {
		return new StoredJobAnswer(true, Optional.of(state));
	}

}
