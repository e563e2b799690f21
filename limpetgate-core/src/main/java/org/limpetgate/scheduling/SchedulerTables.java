package org.limpetgate.scheduling;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.limpetgate.DataCentreId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;

/**
 * The state that the systems of a scheduler share. Not thread-safe.
 */
final class SchedulerTables {

	final SchedulerSettings settings;

	final RunTimeModel runTimeModel;

	/** The sudden changes of the speeds of workers. */
	final SpeedChanges speedChanges = new SpeedChanges(this);

	/** The mean work of the jobs that arrived, in core seconds. */
	final MeanWork meanWork = new MeanWork();

	/** The expected work of all tasks that were done, in core seconds, by service. */
	final Map<String, Double> servedWork = new HashMap<>();

	final Map<UpstreamId, WorkerEntity> workers = new LinkedHashMap<>();

	final Map<JobId, JobEntity> jobs = new HashMap<>();

	/** Jobs with tasks that wait for a worker. */
	final WaitingJobs waitingJobs = new WaitingJobs();

	/** The data centres whose workers have all stopped answering. */
	final SilentDataCentres silentDataCentres = new SilentDataCentres(this);

	/** The number of runs of each task that may be present on any worker. */
	private final Map<TaskName, Integer> runCounts = new HashMap<>();

	private final Deque<SchedulingEffect> effects = new ArrayDeque<>();

	/** The token of the current activation, NONE while the scheduler is inactive. */
	FencingToken schedulerToken = FencingToken.NONE;

	/**
	 * Whether the scheduler may own all workers of the fleet, rather than those of one
	 * data centre.
	 */
	boolean allDataCentres = true;

	/** The data centres in which no run may start. */
	Set<DataCentreId> drainedDataCentres = Set.of();

	/**
	 * Every worker that registered before this time, nanoseconds since the Unix epoch, is
	 * in the list of workers or was.
	 */
	long listProvenNanos = Long.MAX_VALUE;

	/** The latest handover whose earlier runs may be on workers that are not listed. */
	long listNeededNanos;

	/** Each worker must answer a poll sent at or after this time. */
	long verifySinceNanos;

	/** Workers that the next tick processes even if no scan of all workers is due. */
	final Set<WorkerEntity> changedWorkers = new LinkedHashSet<>();

	/**
	 * Whether the stored jobs were read from the store. Before that, an unknown job may
	 * be a stored one.
	 */
	boolean storedJobsLoaded;

	/**
	 * When a worker was last taken back from another owner, nanoseconds since the Unix
	 * epoch, 0 if never. That owner may have run tasks of stored jobs there.
	 */
	long retakenNanos;

	/**
	 * The newest time at which this host certainly owned the stored jobs, nanoseconds
	 * since the Unix epoch.
	 */
	long ownershipConfirmedNanos = Long.MAX_VALUE;

	/**
	 * Whether there may be another active scheduler whose heartbeats do not reach this
	 * host.
	 */
	boolean otherSchedulerPossible = true;

	/** Whether a worker has deferred ends. */
	boolean endsDeferred;

	/** When the hosts of the jobs were last known to wait for them. */
	OriginHeartbeats heartbeats = OriginHeartbeats.CURRENT;

	/** The data centres of the hosts that submit jobs. */
	HostDataCentres hostDataCentres = HostDataCentres.UNKNOWN;

	/**
	 * When the machine of this host was last found to have been suspended, nanoseconds
	 * since the Unix epoch, 0 if never.
	 */
	long suspendedNanos;

	/** Whether the next tick processes all workers. */
	boolean scanDue;

	/** Whether the next tick decides which workers are saved for the next owner. */
	boolean workerRecordsDue;

	/** Whether the next tick decides which runs are moved. */
	boolean movesDue;

	/** Whether a placement pass over the waiting jobs might start a task. */
	boolean placementDue;

	SchedulerTables(SchedulerSettings settings) {
		this.settings = settings;
		this.runTimeModel = new RunTimeModel(settings.policy().workerSpeeds(), this.speedChanges);
	}

	// Tests whether this host certainly owned the stored jobs when a worker was taken
	// over, so that no other owner has run an unknown job there.
	boolean isOwnershipConfirmed(WorkerEntity worker) {
		return this.storedJobsLoaded && this.ownershipConfirmedNanos >= worker.takenOverNanos;
	}

	boolean hasStoredJobs() {
		return this.jobs.values().stream().anyMatch((job) -> job.spec().stored());
	}

	boolean isActive() {
		return !this.schedulerToken.isNone();
	}

	// Returns the capacity of the usable workers of a service, in thousandths of a core
	// of a worker of speed 1.
	double usableCpuMillis(String service, long nowNanos) {
		double cpuMillis = 0;
		for (WorkerEntity worker : this.workers.values()) {
			if (worker.isUsable() && worker.info.service().equals(service)) {
				cpuMillis += worker.info.capacity().cpuMillis() / this.runTimeModel.factor(worker, nowNanos);
			}
		}
		return cpuMillis;
	}

	void emit(SchedulingEffect effect) {
		this.effects.add(effect);
	}

	void drainEffects(Consumer<SchedulingEffect> receiver) {
		SchedulingEffect effect = this.effects.poll();
		while (effect != null) {
			receiver.accept(effect);
			effect = this.effects.poll();
		}
	}

	void addRun(TaskName task) {
		this.runCounts.merge(task, 1, Integer::sum);
	}

	void removeRun(TaskName task) {
		this.runCounts.computeIfPresent(task, (key, count) -> (count > 1) ? count - 1 : null);
		this.placementDue = true;
	}

	// Tests whether a run of the task may be present on any worker.
	boolean mayBeRunning(TaskName task) {
		return this.runCounts.containsKey(task);
	}

	void clearRuns() {
		this.runCounts.clear();
	}

}
