package org.limpetgate.scheduling;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Function;

import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;

/**
 * Schedules jobs on the workers that it owns.
 * <p>
 * While active it takes every listed worker over with a fencing token, places the tasks
 * of the jobs that hosts submit, and tells the hosts how their jobs ended. While it is
 * not active it keeps the list of workers only. Orders leave as effects of {@link #tick};
 * their results come back by the methods named for them, in any order.
 * <p>
 * Times are nanoseconds since the Unix epoch and do not decrease. Not thread-safe: all
 * calls come from one thread.
 */
public final class Scheduler {

	/** Each step down in priority counts as this many times the demand. */
	private static final double PRIORITY_FACTOR = 1.2;

	private final SchedulerTables tables;

	private final JobSystem jobs;

	private final WorkerSystem workers;

	private Scheduler(SchedulerSettings settings, Function<RunTimeModel, Placement> placement) {
		this.tables = new SchedulerTables(settings);
		this.jobs = new JobSystem(this.tables, placement.apply(this.tables.runTimeModel),
				new DemandOrder(PRIORITY_FACTOR));
		this.workers = new WorkerSystem(this.tables, this.jobs.runs());
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
		return new Scheduler(settings, placement);
	}

	/**
	 * Begins to own the workers.
	 * @param claim the token of this activation, higher than those of earlier schedulers
	 * @param nowNanos the present time
	 */
	public void activate(FencingToken schedulerToken, long nowNanos) {
		this.tables.schedulerToken = schedulerToken;
		this.workers.activate(nowNanos);
	}

	/** Gives up all workers; every open job ends as {@link JobOutcome#MOVED}. */
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
	 * @param whole whether these are all workers that are up
	 * @param nowNanos the present time
	 */
	public void workersListed(Collection<WorkerInfo> infos, boolean wholeFleet, long nowNanos) {
		this.tables.wholeFleet = wholeFleet;
		this.workers.replaceWorkers(infos, nowNanos);
	}

	/**
	 * Submits a job. A job that is already known gets one more host that is told its end.
	 * @param origin the host that waits, not null
	 * @param spec the job, not null
	 * @param waitedNanos how long it has waited since its arrival
	 * @param remainingNanos how long its caller goes on waiting
	 * @param resubmitted whether an earlier scheduler may have started tasks of it
	 * @param nowNanos the present time
	 */
	public void submit(HostId origin, JobSpec spec, long waitedNanos, long remainingNanos, boolean resubmitted,
			long nowNanos) {
		this.jobs.submit(origin, spec, waitedNanos, remainingNanos, resubmitted, nowNanos);
	}

	/**
	 * Withdraws a job for a host. Its runs are stopped if no other host waits for it.
	 * @param origin the host, not null
	 * @param job the job, not null
	 * @param nowNanos the present time
	 */
	public void withdraw(HostId origin, JobId job, long nowNanos) {
		this.jobs.withdraw(origin, job, nowNanos);
	}

	/**
	 * Withdraws all jobs of a host that was lost.
	 * @param origin the host, not null
	 * @param nowNanos the present time
	 */
	public void hostLost(HostId origin, long nowNanos) {
		this.jobs.hostLost(origin, nowNanos);
	}

	/**
	 * Reports the answer to {@link SchedulingEffect.StartRun}.
	 * @param worker the worker, not null
	 * @param run the run, not null
	 * @param answer the answer, not null
	 * @param nowNanos the present time
	 */
	public void startAnswered(UpstreamId worker, RunId run, StartAnswer answer, long nowNanos) {
		this.jobs.runs().startAnswered(worker, run, answer, nowNanos);
	}

	/**
	 * Reports the answer to {@link SchedulingEffect.StopRun}.
	 * @param worker the worker, not null
	 * @param run the run, not null
	 * @param acknowledged whether the worker confirmed the order
	 * @param nowNanos the present time
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
	 * @param nowNanos the present time
	 */
	public void reported(UpstreamId worker, long sequence, FencingToken token, WorkerReport report, long nowNanos) {
		this.workers.applyReport(worker, sequence, token, report, nowNanos);
	}

	/**
	 * Reports that {@link SchedulingEffect.PollWorker} brought no report.
	 * @param worker the worker, not null
	 * @param sequence the sequence number of the effect
	 * @param token the token of the effect, not null
	 * @param failure the failure, not null
	 * @param nowNanos the present time
	 */
	public void pollFailed(UpstreamId worker, long sequence, FencingToken token, PollFailure failure, long nowNanos) {
		this.workers.pollFailed(worker, sequence, token, failure, nowNanos);
	}

	/**
	 * Does what is due and hands out the effects.
	 * @param nowNanos the present time
	 * @param effects the receiver of the effects, not null
	 */
	public void tick(long nowNanos, Consumer<SchedulingEffect> effects) {
		this.workers.tick(nowNanos);
		this.jobs.tick(nowNanos);
		// Workers that got a start are polled for its end.
		this.workers.tick(nowNanos);
		this.tables.drainEffects(effects);
	}

	/**
	 * Takes over the stored jobs. No other scheduler can save changes any more.
	 * @param stored the jobs that are stored, not null
	 * @param nowNanos the present time
	 */
	public void storedJobsRead(List<StoredJob> stored, long nowNanos) {
		this.jobs.loadStoredJobs(stored, nowNanos);
	}

	/**
	 * Gives up the stored jobs and stops their runs, since another scheduler may have
	 * taken them over.
	 * @param nowNanos the present time
	 */
	public void storedJobsLost(long nowNanos) {
		this.jobs.releaseStoredJobs(nowNanos);
	}

	/**
	 * Tells whether there may be another scheduler that this host does not hear of. It
	 * may then go on renewing the leases of workers that cannot be reached from here.
	 * @param contested whether there may be one; true until it is told
	 */
	public void contested(boolean possible) {
		this.tables.otherSchedulerPossible = possible;
	}

	/**
	 * Tests whether this scheduler knows the stored jobs.
	 * @return true between {@link #storedJobsRead} and {@link #storedJobsLost}
	 */
	public boolean knowsStoredJobs() {
		return this.jobs.storedJobs().isLoaded();
	}

	/**
	 * Tests whether there are stored jobs that have not ended.
	 * @return true if there are
	 */
	public boolean hasStoredJobs() {
		return this.jobs.hasStoredJobs();
	}

	/**
	 * Reports that changes are saved.
	 * @param sequence the number of the last one of {@link SchedulingEffect.SaveChange}
	 * @param nowNanos the present time
	 */
	public void changesSaved(long sequence, long nowNanos) {
		this.jobs.storedJobs().changesSaved(sequence, nowNanos);
		this.tables.placementDue = true;
	}

	/**
	 * Cancels a stored job.
	 * @param job the job, not null
	 * @param nowNanos the present time
	 * @return the number of the change that must be saved before the caller is told, 0 if
	 * there is none, or empty if no such job is known
	 */
	public OptionalLong cancel(JobId job, long nowNanos) {
		return this.jobs.cancel(job, nowNanos);
	}

	/**
	 * Returns the state of a stored job.
	 * @param job the job, not null
	 * @return the state, empty if no such job is known
	 */
	public Optional<JobState> state(JobId job) {
		return Optional.ofNullable(this.jobs.storedJobs().state(job));
	}

	/**
	 * Returns the number of stored jobs of a queue of which no task has started.
	 * @param queue the name of the queue, not null
	 * @return the number, at least 0
	 */
	public int pendingJobs(String queue) {
		return this.jobs.pendingJobs(queue);
	}

	/**
	 * Returns the number of jobs with tasks that wait for a worker.
	 * @return the number, at least 0
	 */
	public int waitingJobs() {
		return this.jobs.waitingJobs();
	}

}
