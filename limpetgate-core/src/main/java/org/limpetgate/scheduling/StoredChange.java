package org.limpetgate.scheduling;

import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;

/**
 * A change of what is stored for the next owner of the stored jobs. Each change replaces
 * earlier changes of the same kind for the same job or worker, so only the newest of each
 * kind has to be kept.
 */
public sealed interface StoredChange {

	/** A change of a stored job. */
	sealed interface OfJob extends StoredChange {

		/**
		 * Returns the job.
		 * @return the id, not null
		 */
		JobId job();

	}

	/**
	 * A job was accepted.
	 *
	 * @param spec the job
	 * @param acceptedMillis when it was accepted, milliseconds since the Unix epoch
	 */
	record Accepted(JobSpec spec, long acceptedMillis) implements OfJob {

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
	record Progressed(JobId job, JobProgress progress) implements OfJob {

	}

	/**
	 * The retention of an ended job has passed; its record can be deleted.
	 *
	 * @param job the job
	 */
	record Removed(JobId job) implements OfJob {

	}

	/**
	 * A worker is used for stored jobs although the list of workers may not name it.
	 *
	 * @param worker the worker, as this owner reaches it
	 */
	record WorkerUsed(WorkerInfo worker) implements StoredChange {

	}

	/**
	 * A worker is no longer used for stored jobs, or the list names it again; its record
	 * can be deleted.
	 *
	 * @param worker the worker
	 */
	record WorkerReleased(UpstreamId worker) implements StoredChange {

	}

}
