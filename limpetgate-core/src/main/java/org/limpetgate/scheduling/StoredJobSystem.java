package org.limpetgate.scheduling;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.limpetgate.JobId;

/**
 * Requests that changes of stored jobs be saved, and defers what depends on them: the
 * acceptance of a job, the first start of its tasks, the acknowledgement of ends to
 * workers, and the state shown to callers.
 * <p>
 * Invariants: changes are saved in order; a job is shown to its caller as ended only
 * after its end is saved; the end of a run of a stored job is acknowledged to its worker
 * only after it is saved. Not thread-safe.
 */
final class StoredJobSystem {

	/** How far the clock of an earlier scheduler may have been behind. */
	private static final long MAX_CLOCK_DIFFERENCE_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final SchedulerTables tables;

	private final Deque<PendingSave> pendingSaves = new ArrayDeque<>();

	/** Jobs with ended runs for which no change has been emitted yet. */
	private final Set<JobEntity> changedJobs = new LinkedHashSet<>();

	/** Jobs whose end is saved, in the order of their ends. */
	private final Map<JobId, EndedJob> endedJobs = new LinkedHashMap<>();

	private long lastSequence;

	/** The sequence number of the last change that is saved. */
	private long savedSequence;

	StoredJobSystem(SchedulerTables tables) {
		this.tables = tables;
	}

	boolean isLoaded() {
		return this.tables.storedJobsLoaded;
	}

	void load(List<StoredJob> storedJobs, long nowNanos) {
		this.tables.storedJobsLoaded = true;
		for (StoredJob job : storedJobs) {
			long endedNanos = TimeUnit.MILLISECONDS.toNanos(job.progress().endedMillis());
			long latestEndNanos = Math.min(nowNanos, endedNanos + MAX_CLOCK_DIFFERENCE_NANOS);
			this.endedJobs.put(job.id(), new EndedJob(job.progress().state(), latestEndNanos));
		}
	}

	void clear() {
		this.tables.storedJobsLoaded = false;
		this.pendingSaves.clear();
		this.changedJobs.clear();
		this.endedJobs.clear();
	}

	// Requests that the acceptance of a new job be saved.
	void saveAcceptance(JobEntity job, SaveAction onSaved) {
		save(new StoredChange.Accepted(job.spec(), TimeUnit.NANOSECONDS.toMillis(job.arrivalNanos())), onSaved);
	}

	// Records the end of a run. It is not acknowledged to the worker until it is saved.
	void taskEnded(JobEntity job, WorkerEntity worker, long endNumber) {
		addUnsavedEnd(job, worker, endNumber);
		this.changedJobs.add(job);
	}

	// Records the end of a run that changes nothing more, since its task or its job has
	// ended or it was counted before. It is not acknowledged to the worker until that is
	// saved, since another scheduler may find the task open.
	void endRepeated(JobEntity job, WorkerEntity worker, long endNumber) {
		if (!job.spec().stored() || !isLoaded() || this.tables.jobs.get(job.id()) != job) {
			return;
		}
		if (job.ended) {
			addUnsavedEnd(job, worker, endNumber);
		}
		else if (this.changedJobs.contains(job) || job.progressChange > this.savedSequence) {
			taskEnded(job, worker, endNumber);
		}
	}

	private static void addUnsavedEnd(JobEntity job, WorkerEntity worker, long endNumber) {
		if (endNumber > 0) {
			worker.unsavedEnds.add(endNumber);
			job.unsavedEnds.add(new UnsavedEnd(worker, worker.info.incarnationMillis(), endNumber));
		}
	}

	// Requests that the progress of a job be saved in the next tick.
	void progressChanged(JobEntity job) {
		if (job.spec().stored() && !job.ended) {
			this.changedJobs.add(job);
		}
	}

	/**
	 * Requests that the end of a job be saved.
	 * @param job the job
	 * @param state how it ended
	 * @param nowNanos the current time
	 * @return the sequence number of the change that saves the end
	 */
	long jobEnded(JobEntity job, StoredState state, long nowNanos) {
		this.changedJobs.remove(job);
		JobProgress progress = new JobProgress(state, TimeUnit.NANOSECONDS.toMillis(nowNanos), List.of());
		return save(new StoredChange.Progressed(job.id(), progress), (savedNanos) -> {
			job.unsavedEnds.forEach(UnsavedEnd::markSaved);
			job.unsavedEnds.clear();
			this.tables.jobs.remove(job.id(), job);
			this.endedJobs.put(job.id(), new EndedJob(state, nowNanos));
		});
	}

	/**
	 * Requests that a change be saved.
	 * @param change the change
	 * @param onSaved what depends on it
	 * @return its sequence number
	 */
	long save(StoredChange change, SaveAction onSaved) {
		this.lastSequence++;
		this.pendingSaves.add(new PendingSave(this.lastSequence, onSaved));
		this.tables.emit(new SchedulingEffect.SaveChange(this.lastSequence, change));
		return this.lastSequence;
	}

	// Runs the actions that depend on the changes up to a sequence number, all of which
	// are saved.
	void changesSaved(long sequence, long nowNanos) {
		this.savedSequence = Math.max(this.savedSequence, sequence);
		while (!this.pendingSaves.isEmpty() && this.pendingSaves.peek().sequence() <= sequence) {
			this.pendingSaves.poll().onSaved().saved(nowNanos);
		}
	}

	// Emits one change per job for all ends since the last tick, and removes ended jobs
	// whose retention has passed.
	void tick(long nowNanos) {
		for (JobEntity job : this.changedJobs) {
			List<UnsavedEnd> unsavedEnds = List.copyOf(job.unsavedEnds);
			job.unsavedEnds.clear();
			job.progressChange = save(new StoredChange.Progressed(job.id(), job.progress()),
					(savedNanos) -> unsavedEnds.forEach(UnsavedEnd::markSaved));
		}
		this.changedJobs.clear();
		removeExpired(nowNanos);
	}

	private void removeExpired(long nowNanos) {
		long expiryNanos = nowNanos - this.tables.settings.retentionNanos();
		while (!this.endedJobs.isEmpty()) {
			Map.Entry<JobId, EndedJob> oldest = this.endedJobs.entrySet().iterator().next();
			if (oldest.getValue().endedNanos() > expiryNanos) {
				return;
			}
			this.endedJobs.remove(oldest.getKey());
			save(new StoredChange.Removed(oldest.getKey()), (savedNanos) -> {
				// Nothing depends on this change.
			});
		}
	}

	boolean hasEnded(JobId job) {
		return this.endedJobs.containsKey(job);
	}

	// Returns the state of a job, null if it is unknown.
	JobState state(JobId id) {
		EndedJob endedJob = this.endedJobs.get(id);
		if (endedJob != null) {
			return switch (endedJob.state()) {
				case COMPLETED -> JobState.COMPLETED;
				case FAILED -> JobState.FAILED;
				case CANCELED -> JobState.CANCELED;
				case OPEN -> JobState.RUNNING;
			};
		}
		JobEntity job = this.tables.jobs.get(id);
		if (job == null || !job.spec().stored()) {
			return null;
		}
		return job.hasBegun() ? JobState.RUNNING : JobState.QUEUED;
	}

	/** An action that runs once a change is saved. */
	interface SaveAction {

		void saved(long nowNanos);

	}

	/** The end of a run that is not acknowledged to its worker until it is saved. */
	record UnsavedEnd(WorkerEntity worker, long incarnationMillis, long number) {

		void markSaved() {
			if (this.worker.info.incarnationMillis() == this.incarnationMillis) {
				this.worker.removeUnsavedEnd(this.number);
			}
		}

	}

	private record PendingSave(long sequence, SaveAction onSaved) {

	}

	private record EndedJob(StoredState state, long endedNanos) {

	}

}
