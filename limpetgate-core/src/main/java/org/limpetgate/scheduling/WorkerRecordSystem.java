package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.limpetgate.UpstreamId;

/**
 * Has the workers saved that are used for stored jobs and that the next owner of these
 * jobs may not find by the list of workers: those that the list does not name at their
 * address, and all of them while the list is outdated.
 * <p>
 * Invariants: a run of a stored job starts only on a worker that the list or a saved
 * record names; the record of an earlier owner stays until the list names the worker, the
 * worker has reported that nothing of a stored job is left there, or no lease on it can
 * last any longer. Not thread-safe.
 */
final class WorkerRecordSystem {

	private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private final SchedulerTables tables;

	private final StoredJobSystem storedJobs;

	private final Map<UpstreamId, WorkerRecord> records = new HashMap<>();

	private long lastCheckNanos;

	WorkerRecordSystem(SchedulerTables tables, StoredJobSystem storedJobs) {
		this.tables = tables;
		this.storedJobs = storedJobs;
	}

	// Takes over the records of earlier owners, whose workers are known already.
	void load(List<WorkerInfo> usedWorkers, long nowNanos) {
		for (WorkerInfo info : usedWorkers) {
			WorkerRecord record = new WorkerRecord(info, nowNanos);
			record.saved = true;
			this.records.put(info.id(), record);
		}
	}

	void clear() {
		this.records.clear();
		this.tables.workers.values().forEach((worker) -> worker.findable = true);
	}

	// Saves and deletes records as the list and the runs require.
	void tick(long nowNanos) {
		if (!this.storedJobs.isLoaded()
				|| (nowNanos - this.lastCheckNanos < CHECK_INTERVAL_NANOS && !this.tables.workerRecordsDue)) {
			return;
		}
		this.lastCheckNanos = nowNanos;
		this.tables.workerRecordsDue = false;
		boolean listCurrent = nowNanos - this.tables.listProvenNanos <= SchedulerSettings.MAX_LIST_AGE_NANOS;
		List<WorkerEntity> unnamed = new ArrayList<>();
		for (WorkerEntity worker : this.tables.workers.values()) {
			worker.findable = listCurrent && worker.located;
			if (worker.findable) {
				release(worker.info.id());
			}
			else {
				unnamed.add(worker);
			}
		}
		if (!unnamed.isEmpty()) {
			boolean jobsOpen = this.tables.hasStoredJobs();
			unnamed.forEach((worker) -> worker.findable = isRecordSaved(worker, jobsOpen));
		}
		releaseForgotten();
	}

	// A worker that is no longer kept track of has been silent for longer than a lease.
	private void releaseForgotten() {
		for (UpstreamId worker : List.copyOf(this.records.keySet())) {
			if (!this.tables.workers.containsKey(worker)) {
				release(worker);
			}
		}
	}

	// Tests whether the record of a worker that the list may not name is saved, and
	// requests that it be saved or deleted.
	private boolean isRecordSaved(WorkerEntity worker, boolean jobsOpen) {
		WorkerRecord record = this.records.get(worker.info.id());
		boolean unverified = record != null && !worker.isVerified(record.unverifiedSinceNanos);
		if (!jobsOpen || !(worker.listed || unverified || mayHoldStoredWork(worker))) {
			release(worker.info.id());
			return false;
		}
		if (record == null || !record.info.isSameProcess(worker.info)) {
			record = save(worker.info);
		}
		return record.saved;
	}

	private static boolean mayHoldStoredWork(WorkerEntity worker) {
		return worker.runs.values().stream().anyMatch(RunEntity::isStored) || !worker.orphanRuns.isEmpty()
				|| !worker.unsavedEnds.isEmpty() || worker.endsTruncated;
	}

	private WorkerRecord save(WorkerInfo info) {
		WorkerRecord record = new WorkerRecord(info, 0);
		this.records.put(info.id(), record);
		this.storedJobs.save(new StoredChange.WorkerUsed(info), (savedNanos) -> {
			record.saved = true;
			this.tables.workerRecordsDue = true;
		});
		return record;
	}

	private void release(UpstreamId worker) {
		if (this.records.remove(worker) != null) {
			this.storedJobs.save(new StoredChange.WorkerReleased(worker), (savedNanos) -> {
				// Nothing depends on this change.
			});
		}
	}

	/** The record of a worker. */
	private static final class WorkerRecord {

		private final WorkerInfo info;

		/**
		 * The worker must answer a poll sent at or after this time before a record of an
		 * earlier owner may be deleted, 0 for a record of this owner.
		 */
		private final long unverifiedSinceNanos;

		private boolean saved;

		WorkerRecord(WorkerInfo info, long unverifiedSinceNanos) {
			this.info = info;
			this.unverifiedSinceNanos = unverifiedSinceNanos;
		}

	}

}
