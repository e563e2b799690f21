package org.limpetgate.scheduling;

import java.util.Objects;

import org.limpetgate.JobId;

/**
 * A job as it was read from the platform's store.
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the id, not null
 * @param spec its specification, null once it has ended
 * @param acceptedMillis when it was accepted, milliseconds since the Unix epoch
 * @param progress its progress, not null
 */
public record StoredJob(JobId id, JobSpec spec, long acceptedMillis, JobProgress progress) {

	public StoredJob {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(progress, "progress");
	}

}
