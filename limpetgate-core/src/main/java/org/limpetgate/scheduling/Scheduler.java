package org.limpetgate.scheduling;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;

/**
 * Schedules jobs on the workers that it owns.
 * <p>
 * While active it takes over every listed worker with a fencing token, places the tasks
 * of the jobs that hosts submit, and notifies the hosts of the outcomes. While inactive
 * it only keeps the list of workers up to date. Orders are emitted as effects by
 * {@link #tick}; their results are reported through the corresponding methods, in any
 * order.
 * <p>
 * Times are nanoseconds since the Unix epoch and do not decrease. Not thread-safe: all
 * calls come from one thread.
 */
public final class Scheduler {

	/** The factor on the demand of a queue for each level of lower priority. */
	private static final double PRIORITY_FACTOR = 1.2;

	private final SchedulerTables tables;

	private final JobSystem jobs;

	private final WorkerSystem workers;

	private Scheduler(SchedulerSettings settings, Function<RunTimeModel, Placement> placement,
			Function<SchedulerTables, QueueOrder> order) {
		this.tables = new SchedulerTables(settings);
		this.jobs = new JobSystem(this.tables, placement.apply(this.tables.runTimeModel), order.apply(this.tables));
		this.workers = new WorkerSystem(this.tables, this.jobs.runs(), this.jobs.crashes());
		this.jobs.connect(this.workers);
	}

	/**
	 * Returns a scheduler that is not active.
	 * @param settings the settings, not null
	 * @return the scheduler, not null
	 */
	public static Scheduler of(SchedulerSettings settings) {
		return of(settings, (model) -> new FinishTimePlacement(model, settings.remoteFactor()));
	}

	static Scheduler of(SchedulerSettings settings, Function<RunTimeModel, Placement> placement) {
		return new Scheduler(settings, placement, Scheduler::queueOrder);
	}

	static Scheduler of(SchedulerSettings settings, Function<RunTimeModel, Placement> placement,
			Function<SchedulerTables, QueueOrder> order) {
		return new Scheduler(settings, placement, order);
	}

	private static QueueOrder queueOrder(SchedulerTables tables) {
		return switch (tables.settings.policy().queueOrder()) {
			case DEMAND -> new DemandOrder(PRIORITY_FACTOR);
			case COST -> new CostOrder(tables);
		};
	}

	/**
	 * Starts to take over the workers.
	 * @param schedulerToken the token of this activation, higher than those of earlier
	 * schedulers
	 * @param nowNanos the current time
	 */
	public void activate(FencingToken schedulerToken, long nowNanos) {
		this.tables.schedulerToken = schedulerToken;
		this.workers.activate(nowNanos);
	}

	/** Releases all workers; every open job ends as {@link JobOutcome#MOVED}. */
	public void deactivate() {
		this.jobs.deactivate();
		this.workers.deactivate();
		this.tables.schedulerToken = FencingToken.NONE;
	}

	/**
	 * Tests whether this scheduler owns workers.
	 * @return true between activation and deactivation
	 */
	public boolean isActive() {
		return this.tables.isActive();
	}

	/**
	 * Replaces the list of workers.
	 * @param infos the workers that this scheduler may own, not null
	 * @param allDataCentres whether these are all live workers of the fleet
	 * @param nowNanos the current time
	 */
	public void workersListed(Collection<WorkerInfo> infos, boolean allDataCentres, long nowNanos) {
		if (allDataCentres && !this.tables.allDataCentres) {
			this.workers.list().historyLost(nowNanos);
		}
		this.tables.allDataCentres = allDataCentres;
		this.workers.list().replace(infos, nowNanos);
	}

	/**
	 * Reports how current the list of workers is.
	 * @param provenNanos the time before which every worker that has registered is in the
	 * list or was; unlimited until set
	 */
	public void workerListProven(long provenNanos) {
		this.workers.list().proven(provenNanos);
	}

	/**
	 * Returns when all workers that this scheduler uses, or used when it was active last,
	 * were listed. A later scheduler that has forgotten some of them cannot find their
	 * runs.
	 * @return the time in nanoseconds since the Unix epoch
	 */
	public long usedWorkersListedNanos() {
		return this.workers.list().usedWorkersListedNanos();
	}

	/**
	 * Tests whether jobs that were handed over wait for a newer list of workers.
	 * @return true if they do, and the list should be read now
	 */
	public boolean awaitsWorkerList() {
		return this.tables.isActive() && this.tables.listProvenNanos < this.tables.listNeededNanos;
	}

	/**
	 * Sets the data centres in which no run may start. Present runs continue. Waiting
	 * jobs that the remaining workers cannot serve are refused.
	 * @param dataCentres the drained data centres, not null; none until set
	 * @param nowNanos the current time
	 */
	public void setDrainedDataCentres(Set<DataCentreId> dataCentres, long nowNanos) {
		if (dataCentres.equals(this.tables.drainedDataCentres)) {
			return;
		}
		this.tables.drainedDataCentres = Set.copyOf(dataCentres);
		this.workers.list().drainsChanged();
		this.jobs.drainsChanged(nowNanos);
	}

	/**
	 * Submits a job. If the job is already open, the host is added to those that are
	 * notified of its outcome.
	 * @param origin the host that waits for the outcome, not null
	 * @param spec the job, not null
	 * @param waitedNanos the time since its arrival, in nanoseconds
	 * @param remainingNanos how much longer its caller waits, in nanoseconds
	 * @param earlier what its host knows of earlier submissions, not null
	 * @param nowNanos the current time
	 */
	public void submit(HostId origin, JobSpec spec, long waitedNanos, long remainingNanos, EarlierSubmission earlier,
			long nowNanos) {
		this.jobs.submissions().submit(origin, spec, waitedNanos, remainingNanos, earlier, nowNanos);
	}

	/**
	 * Withdraws a host's request for a job. The job ends and its runs are stopped if no
	 * other host waits for it. Stored jobs continue.
	 * @param origin the host, not null
	 * @param job the job, not null
	 * @param nowNanos the current time
	 */
	public void withdraw(HostId origin, JobId job, long nowNanos) {
		this.jobs.withdraw(origin, job, nowNanos);
	}

	/**
	 * Withdraws all jobs of a lost host.
	 * @param origin the host, not null
	 * @param nowNanos the current time
	 */
	public void hostLost(HostId origin, long nowNanos) {
		this.jobs.hostLost(origin, nowNanos);
	}

	/**
	 * Reports the answer to {@link SchedulingEffect.StartRun}.
	 * @param order the order, not null
	 * @param answer the answer, not null
	 * @param nowNanos the current time
	 */
	public void startAnswered(SchedulingEffect.StartRun order, StartAnswer answer, long nowNanos) {
		this.jobs.runs().startAnswered(order, answer, nowNanos);
	}

	/**
	 * Reports the answer to {@link SchedulingEffect.StopRun}.
	 * @param worker the worker, not null
	 * @param run the run, not null
	 * @param acknowledged whether the worker confirmed the order
	 * @param nowNanos the current time
	 */
	public void stopAnswered(UpstreamId worker, RunId run, boolean acknowledged, long nowNanos) {
		this.jobs.runs().stopAnswered(worker, run, acknowledged, nowNanos);
	}

	/**
	 * Reports the answer to {@link SchedulingEffect.PollWorker}.
	 * @param worker the worker, not null
	 * @param sequence the sequence number of the effect
	 * @param token the token of the effect, not null
	 * @param report the report, not null
	 * @param nowNanos the current time
	 */
	public void reported(UpstreamId worker, long sequence, FencingToken token, WorkerReport report, long nowNanos) {
		this.workers.applyReport(worker, sequence, token, report, nowNanos);
	}

	/**
	 * Reports that {@link SchedulingEffect.PollWorker} failed.
	 * @param worker the worker, not null
	 * @param sequence the sequence number of the effect
	 * @param token the token of the effect, not null
	 * @param failure the failure, not null
	 * @param nowNanos the current time
	 */
	public void pollFailed(UpstreamId worker, long sequence, FencingToken token, PollFailure failure, long nowNanos) {
		this.workers.pollFailed(worker, sequence, token, failure, nowNanos);
	}

	/**
	 * Processes time-outs, places waiting tasks and emits the effects.
	 * @param nowNanos the current time
	 * @param effects the receiver of the effects, not null
	 */
	public void tick(long nowNanos, Consumer<SchedulingEffect> effects) {
		this.workers.tick(nowNanos);
		if (this.tables.settings.detectsSilentDataCentres() && this.tables.isActive()) {
			this.tables.silentDataCentres.tick(nowNanos);
		}
		this.jobs.tick(nowNanos);
		// Also polls the workers to which a start was emitted, so that they report
		// the end of the run.
		this.workers.tick(nowNanos);
		this.tables.drainEffects(effects);
	}

	/**
	 * Takes over the stored jobs, after other schedulers have been fenced off from saving
	 * changes.
	 * @param stored what is stored, not null
	 * @param nowNanos the current time
	 */
	public void loadStoredJobs(StoredSnapshot stored, long nowNanos) {
		if (stored.hasOpenJobs()) {
			this.workers.list().trackUsedWorkers(stored.usedWorkers(), nowNanos);
		}
		this.jobs.workerRecords().load(stored.usedWorkers(), nowNanos);
		this.jobs.submissions().loadStoredJobs(stored.jobs(), nowNanos);
	}

	/**
	 * Reports until when this host certainly owned the stored jobs.
	 * @param provenNanos the time at which the newest request was sent whose answer
	 * confirmed it; unlimited until set
	 */
	public void ownershipConfirmed(long provenNanos) {
		this.tables.ownershipConfirmedNanos = provenNanos;
	}

	/**
	 * Tests whether ends of runs wait for a confirmation that this host owns the stored
	 * jobs.
	 * @return true if they do
	 */
	public boolean awaitsOwnership() {
		return this.tables.endsDeferred;
	}

	/**
	 * Releases the stored jobs and stops their runs, since another scheduler may have
	 * taken them over.
	 * @param nowNanos the current time
	 */
	public void releaseStoredJobs(long nowNanos) {
		this.jobs.releaseStoredJobs(nowNanos);
	}

	/**
	 * Sets whether there may be another active scheduler whose heartbeats do not reach
	 * this host. Such a scheduler may keep renewing the leases of workers that this host
	 * cannot reach.
	 * @param possible whether there may be one; true until set
	 */
	public void setOtherSchedulerPossible(boolean possible) {
		this.tables.otherSchedulerPossible = possible;
	}

	/**
	 * Sets how this scheduler learns when the hosts of its jobs were last known to wait
	 * for them.
	 * @param heartbeats the heartbeats, not null; {@link OriginHeartbeats#CURRENT} until
	 * set
	 */
	public void setOriginHeartbeats(OriginHeartbeats heartbeats) {
		this.tables.heartbeats = heartbeats;
	}

	/**
	 * Sets how this scheduler learns in which data centres the hosts of its jobs are.
	 * @param dataCentres the data centres, not null; {@link HostDataCentres#UNKNOWN}
	 * until set
	 */
	public void setHostDataCentres(HostDataCentres dataCentres) {
		this.tables.hostDataCentres = dataCentres;
	}

	/**
	 * Reports that the machine of this host may have been suspended, during which its
	 * clock stood still. What it learned before may be older than it seems, so that no
	 * lease is prolonged for it.
	 * @param nowNanos the current time
	 */
	public void machineSuspended(long nowNanos) {
		this.tables.suspendedNanos = nowNanos;
		this.workers.forgetGrants(nowNanos);
		this.workers.list().historyLost(nowNanos);
	}

	/**
	 * Tests whether this scheduler has loaded the stored jobs.
	 * @return true between {@link #loadStoredJobs} and {@link #releaseStoredJobs}
	 */
	public boolean hasLoadedStoredJobs() {
		return this.jobs.storedJobs().isLoaded();
	}

	/**
	 * Tests whether there are open stored jobs, or ended ones whose end is not saved yet.
	 * @return true if there are
	 */
	public boolean hasStoredJobs() {
		return this.jobs.hasStoredJobs();
	}

	/**
	 * Reports that changes are saved.
	 * @param sequence the sequence number of the last saved
	 * {@link SchedulingEffect.SaveChange}
	 * @param nowNanos the current time
	 */
	public void changesSaved(long sequence, long nowNanos) {
		this.jobs.storedJobs().changesSaved(sequence, nowNanos);
		this.tables.placementDue = true;
	}

	/**
	 * Cancels a stored job.
	 * @param job the job, not null
	 * @param nowNanos the current time
	 * @return the sequence number of the change that must be saved before the caller is
	 * answered, 0 if there is none, or empty if the job is unknown
	 */
	public OptionalLong cancel(JobId job, long nowNanos) {
		return this.jobs.cancel(job, nowNanos);
	}

	/**
	 * Returns the state of a stored job.
	 * @param job the job, not null
	 * @return the state, empty if the job is unknown
	 */
	public Optional<JobState> state(JobId job) {
		return Optional.ofNullable(this.jobs.storedJobs().state(job));
	}

	/**
	 * Returns the number of stored jobs of a queue that have no started task.
	 * @param queue the name of the queue, not null
	 * @return the number, at least 0
	 */
	public int pendingJobs(String queue) {
		return this.jobs.pendingJobs(queue);
	}

	/**
	 * Returns when {@link #tick} must be called again at the latest so that jobs that
	 * cannot be served in time are refused at once.
	 * @return the time, {@link Long#MAX_VALUE} if the usual ticks suffice
	 */
	public long nextCheckNanos() {
		return this.jobs.nextCheckNanos();
	}

	/**
	 * Returns how many runs were moved to another worker.
	 * @return the number, at least 0
	 */
	public long movedRuns() {
		return this.jobs.moves().count();
	}

	/**
	 * Returns the work that moves of runs have wasted.
	 * @return the work in core nanoseconds, at least 0
	 */
	public long wastedCoreNanos() {
		return this.jobs.moves().wastedCoreNanos();
	}

	/**
	 * Returns how often a worker turned slow or recovered.
	 * @return the number, at least 0
	 */
	public long speedChanges() {
		return this.tables.speedChanges.count();
	}

	/**
	 * Returns the number of workers that count as slow.
	 * @return the number, at least 0
	 */
	public int slowWorkers() {
		return this.tables.runTimeModel.slowWorkers();
	}

	/**
	 * Returns the number of jobs with tasks that wait for a worker.
	 * @return the number, at least 0
	 */
	public int waitingJobs() {
		return this.jobs.waitingJobs();
	}

}
