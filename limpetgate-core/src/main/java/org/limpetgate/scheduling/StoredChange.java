package org.limpetgate.scheduling;

import org.limpetgate.JobId;

/**
 * A change of a stored job. Each change replaces earlier changes of the same kind for the
 * job, so only the newest of each kind has to be kept.
 */
public sealed interface StoredChange {

	/**
	 * Returns the job.
	 * @return the id, not null
	 */
	JobId job();

	/**
	 * A job was accepted.
	 *
	 * @param spec the job
	 * @param acceptedMillis when it was accepted, milliseconds since the Unix epoch
	 */
	record Accepted(JobSpec spec, long acceptedMillis) implements StoredChange {

		@Override
		public JobId job() {
			return this.spec.id();
		}

	}

	/**
	 * Tasks of a job ended, or the job itself did. The specification of an ended job is
	 * no longer needed.
	 *
	 * @param job the job
	 * @param progress its progress
	 */
	record Progressed(JobId job, JobProgress progress) implements StoredChange {

	}

	/**
	 * The retention of an ended job has passed; its record can be deleted.
	 *
	 * @param job the job
	 */
	record Removed(JobId job) implements StoredChange {

	}

}
