package org.limpetgate.scheduling;

import java.util.List;

/**
 * What the earlier owners of the stored jobs have stored.
 * <p>
 * Immutable and thread-safe.
 *
 * @param jobs the jobs, not null
 * @param usedWorkers workers that an earlier owner used for stored jobs although the list
 * of workers may not name them, not null
 */
public record StoredSnapshot(List<StoredJob> jobs, List<WorkerInfo> usedWorkers) {

	public StoredSnapshot {
		jobs = List.copyOf(jobs);
		usedWorkers = List.copyOf(usedWorkers);
	}

	// Tests whether a job has not ended.
	boolean hasOpenJobs() {
		return this.jobs.stream().anyMatch((job) -> job.progress().state() == StoredState.OPEN);
	}

}
