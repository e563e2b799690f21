package org.limpetgate.host.fleet;

import java.util.List;
import java.util.NavigableMap;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.limpetgate.JobId;
import org.limpetgate.fleet.JobLog;
import org.limpetgate.fleet.Reachability;
import org.limpetgate.host.EventLog;
import org.limpetgate.host.LogEvent;
import org.limpetgate.proto.JobStatus;
import org.limpetgate.scheduling.FencingToken;
import org.limpetgate.scheduling.JobState;
import org.limpetgate.scheduling.Scheduler;
import org.limpetgate.scheduling.SchedulerSettings;
import org.limpetgate.scheduling.SchedulingEffect;
import org.limpetgate.scheduling.StoredChange;
import org.limpetgate.scheduling.StoredSnapshot;
import org.limpetgate.scheduling.StoredState;

/**
 * Takes over and releases the stored jobs, depending on whether this host schedules and
 * which hosts it reaches, and answers queries for them.
 * <p>
 * The log accepts one writer at a time, but a host that cannot reach the log does not
 * learn that another host has taken over, and workers that the other host cannot reach
 * would run tasks of both. Therefore a host takes over the jobs only while it reaches
 * more than half of the known hosts. If the log does not answer, it keeps the jobs only
 * while it reaches at least half of the known hosts, and not for longer than hosts
 * remember lost peers.
 * <p>
 * Not thread-safe; used on the event loop.
 */
final class StoredJobService {

	/**
	 * How old the last confirmation as the only writer may be while this host reaches
	 * fewer than half of the hosts.
	 */
	private static final long MAX_UNCONFIRMED_MINORITY_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long CONFIRM_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	/** How long after the last use of stored jobs confirmations are still requested. */
	private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final long REOPEN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final JobJournal journal;

	private final Scheduler scheduler;

	private final LongSupplier clock;

	private final EventLog log;

	private final int hostNumber;

	/** Requests a tick, which executes the effects of the scheduler. */
	private final Runnable requestTick;

	/** Futures that complete when a change is saved, by the sequence of the change. */
	private final NavigableMap<Long, CompletableFuture<Void>> pendingSaves = new TreeMap<>();

	/** The writer epoch of the last takeover. */
	private FencingToken epoch = FencingToken.NONE;

	private long savedSequence;

	private long earliestOpenNanos;

	private long lastUsedNanos;

	StoredJobService(JobLog jobLog, Scheduler scheduler, int hostNumber, LongSupplier clock, EventLog log,
			Runnable requestTick) {
		this.journal = new JobJournal(jobLog, clock, new JournalListener());
		this.scheduler = scheduler;
		this.hostNumber = hostNumber;
		this.clock = clock;
		this.log = log;
		this.requestTick = requestTick;
	}

	/**
	 * Takes over, keeps or releases the stored jobs.
	 * @param schedulerToken the token with which this host schedules, NONE if it does not
	 * @param reachability how many of the known hosts this host reaches
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 */
	void tick(FencingToken schedulerToken, Reachability reachability, long nowNanos) {
		if (schedulerToken.isNone()) {
			release("this host no longer schedules", nowNanos);
			return;
		}
		this.scheduler.setOtherSchedulerPossible(reachability != Reachability.ALL);
		if (this.journal.isClosed()) {
			if ((reachability == Reachability.ALL || reachability == Reachability.MAJORITY)
					&& nowNanos >= this.earliestOpenNanos) {
				FencingToken highestToken = (schedulerToken.compareTo(this.epoch) > 0) ? schedulerToken : this.epoch;
				this.epoch = FencingToken.create(nowNanos, this.hostNumber, highestToken);
				this.journal.open(this.epoch.value());
			}
			return;
		}
		this.journal.tick(nowNanos);
		this.scheduler.ownershipConfirmed(this.journal.ownershipConfirmedNanos());
		if (!this.scheduler.hasLoadedStoredJobs()) {
			return;
		}
		if (this.scheduler.awaitsOwnership()) {
			this.journal.confirmOwnership();
		}
		if (!isInUse(nowNanos)) {
			return;
		}
		long unconfirmedNanos = nowNanos - this.journal.ownershipConfirmedNanos();
		if (unconfirmedNanos > SchedulerSettings.MAX_UNCONFIRMED_OWNERSHIP_NANOS
				|| (unconfirmedNanos > MAX_UNCONFIRMED_MINORITY_NANOS && reachability == Reachability.MINORITY)) {
			release("the store has not confirmed ownership of the stored jobs for "
					+ TimeUnit.NANOSECONDS.toMillis(unconfirmedNanos) + " ms", nowNanos);
		}
		else if (unconfirmedNanos > CONFIRM_INTERVAL_NANOS) {
			this.journal.confirmOwnership();
		}
	}

	private boolean isInUse(long nowNanos) {
		return this.scheduler.hasStoredJobs() || nowNanos - this.lastUsedNanos < IDLE_TIMEOUT_NANOS;
	}

	private void release(String reason, long nowNanos) {
		if (this.journal.isClosed()) {
			return;
		}
		this.journal.close();
		ownershipLost(reason, nowNanos);
	}

	private void ownershipLost(String reason, long nowNanos) {
		this.earliestOpenNanos = nowNanos + REOPEN_DELAY_NANOS;
		this.log.write(LogEvent.STORED_JOBS_LOST, this.epoch.value(), reason);
		this.scheduler.releaseStoredJobs(nowNanos);
		List<CompletableFuture<Void>> abandoned = List.copyOf(this.pendingSaves.values());
		this.pendingSaves.clear();
		abandoned.forEach((future) -> future.cancel(false));
		this.requestTick.run();
	}

	void save(SchedulingEffect.SaveChange effect) {
		if (effect.change() instanceof StoredChange.Progressed progressed
				&& progressed.progress().state() != StoredState.OPEN) {
			this.log.write(LogEvent.STORED_JOB_ENDED, progressed.job(), progressed.progress().state());
		}
		this.journal.save(effect.sequence(), effect.change());
	}

	/**
	 * Returns the state of a job.
	 * @param job the job
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 * @return the state
	 */
	JobStatus status(JobId job, long nowNanos) {
		if (!isAuthoritative(nowNanos)) {
			return status(JobStatus.State.UNAVAILABLE);
		}
		return status(this.scheduler.state(job).map(StoredJobService::toState).orElse(JobStatus.State.UNKNOWN));
	}

	/**
	 * Cancels a job.
	 * @param job the job
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 * @return the state, once the cancellation is saved
	 */
	CompletableFuture<JobStatus> cancel(JobId job, long nowNanos) {
		if (!isAuthoritative(nowNanos)) {
			return CompletableFuture.completedFuture(status(JobStatus.State.UNAVAILABLE));
		}
		OptionalLong change = this.scheduler.cancel(job, nowNanos);
		if (change.isEmpty()) {
			return CompletableFuture.completedFuture(status(JobStatus.State.UNKNOWN));
		}
		return whenSaved(change.getAsLong()).handle((saved, failure) -> (failure != null)
				? status(JobStatus.State.UNAVAILABLE) : status(JobStatus.State.CANCELED));
	}

	private CompletableFuture<Void> whenSaved(long sequence) {
		if (sequence <= this.savedSequence) {
			return CompletableFuture.completedFuture(null);
		}
		return this.pendingSaves.computeIfAbsent(sequence, (key) -> new CompletableFuture<>()).copy();
	}

	// Tests whether this host has all stored jobs, so that a job that it does not have is
	// certainly not stored. Also records that stored jobs are in use.
	boolean isAuthoritative(long nowNanos) {
		boolean inUse = isInUse(nowNanos);
		this.lastUsedNanos = nowNanos;
		if (!this.scheduler.hasLoadedStoredJobs()) {
			return false;
		}
		if (!inUse) {
			this.journal.confirmOwnership();
		}
		return nowNanos - this.journal.ownershipConfirmedNanos() < SchedulerSettings.MAX_UNCONFIRMED_OWNERSHIP_NANOS;
	}

	private static JobStatus status(JobStatus.State state) {
		return JobStatus.newBuilder().setState(state).build();
	}

	private static JobStatus.State toState(JobState state) {
		return switch (state) {
			case QUEUED -> JobStatus.State.QUEUED;
			case RUNNING -> JobStatus.State.RUNNING;
			case COMPLETED -> JobStatus.State.COMPLETED;
			case FAILED -> JobStatus.State.FAILED;
			case CANCELED -> JobStatus.State.CANCELED;
		};
	}

	private final class JournalListener implements JobJournal.Listener {

		@Override
		public void opened(StoredSnapshot stored) {
			StoredJobService service = StoredJobService.this;
			service.log.write(LogEvent.STORED_JOBS_READ, service.epoch.value(), stored.jobs().size(),
					stored.usedWorkers().size());
			service.scheduler.loadStoredJobs(stored, service.clock.getAsLong());
			service.requestTick.run();
		}

		@Override
		public void saved(long sequence) {
			StoredJobService service = StoredJobService.this;
			service.savedSequence = sequence;
			service.scheduler.changesSaved(sequence, service.clock.getAsLong());
			NavigableMap<Long, CompletableFuture<Void>> due = service.pendingSaves.headMap(sequence, true);
			List<CompletableFuture<Void>> futures = List.copyOf(due.values());
			due.clear();
			futures.forEach((future) -> future.complete(null));
			service.requestTick.run();
		}

		@Override
		public void fenced(String reason) {
			ownershipLost(reason, StoredJobService.this.clock.getAsLong());
		}

	}

}
