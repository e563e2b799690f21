package org.limpetgate.scheduling;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;

/**
 * What a fake store of stored jobs contains. Records of jobs are never deleted, so that
 * checks can read how the jobs ended. Not thread-safe.
 */
final class StoredContents {

	private final Map<JobId, StoredJob> jobs;

	private final Map<UpstreamId, WorkerInfo> usedWorkers = new TreeMap<>();

	/**
	 * Creates an empty store.
	 * @param jobs the map for the jobs, whose order is the one in which they are read
	 */
	StoredContents(Map<JobId, StoredJob> jobs) {
		this.jobs = jobs;
	}

	void apply(StoredChange change) {
		if (change instanceof StoredChange.Accepted accepted) {
			this.jobs.putIfAbsent(accepted.job(),
					new StoredJob(accepted.job(), accepted.spec(), accepted.acceptedMillis(), JobProgress.NONE));
		}
		else if (change instanceof StoredChange.Progressed progressed) {
			this.jobs.computeIfPresent(progressed.job(),
					(id, job) -> new StoredJob(id, job.spec(), job.acceptedMillis(), progressed.progress()));
		}
		else if (change instanceof StoredChange.WorkerUsed used) {
			this.usedWorkers.put(used.worker().id(), used.worker());
		}
		else if (change instanceof StoredChange.WorkerReleased released) {
			this.usedWorkers.remove(released.worker());
		}
	}

	StoredSnapshot read() {
		return new StoredSnapshot(List.copyOf(this.jobs.values()), List.copyOf(this.usedWorkers.values()));
	}

	// Returns a job, null if it was never accepted.
	StoredJob job(JobId id) {
		return this.jobs.get(id);
	}

	Collection<StoredJob> jobs() {
		return this.jobs.values();
	}

	Map<UpstreamId, WorkerInfo> usedWorkers() {
		return this.usedWorkers;
	}

}
