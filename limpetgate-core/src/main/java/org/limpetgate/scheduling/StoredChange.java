package org.limpetgate.scheduling;

import org.limpetgate.JobId;

/**
 * A change of a stored job. Each one replaces earlier changes of the same kind for the
 * job, so that the newest of each kind are all that has to be kept.
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
	 * Tasks of a job ended, or the job did. The specification of a job that ended is no
	 * longer needed.
	 *
	 * @param job the job
	 * @param progress how far it has come
	 */
	record Progressed(JobId job, JobProgress progress) implements StoredChange {

	}

	/**
	 * An ended job need not be remembered any more.
	 *
	 * @param job the job
	 */
	record Forgotten(JobId job) implements StoredChange {

	}

}
