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
import org.limpetgate.fleet.Reach;
import org.limpetgate.host.EventLog;
import org.limpetgate.host.LogEvent;
import org.limpetgate.proto.JobStatus;
import org.limpetgate.scheduling.FencingToken;
import org.limpetgate.scheduling.JobState;
import org.limpetgate.scheduling.Scheduler;
import org.limpetgate.scheduling.SchedulingEffect;
import org.limpetgate.scheduling.StoredChange;
import org.limpetgate.scheduling.StoredJob;
import org.limpetgate.scheduling.StoredState;

/**
 * Decides while its host schedules whether that host keeps the stored jobs, and answers
 * questions about them.
 * <p>
 * The log has one writer, but a host that cannot reach the log does not learn that
 * another one has taken over, and workers that the other one cannot reach would run tasks
 * of both. So a host takes the jobs over only while it reaches most hosts, and one whose
 * log does not answer keeps them only while it reaches at least half of the hosts, and
 * not for longer than hosts remember each other. Not thread-safe; used on the event loop.
 */
final class StoredJobKeeper {

	/** How old the last proof of being the only writer may be without other evidence. */
	private static final long CONFIRMED_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Shorter than hosts remember those that they have lost. */
	private static final long MAX_UNCONFIRMED_NANOS = TimeUnit.SECONDS.toNanos(6);

	private static final long CONFIRM_EVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	/** After the last use of stored jobs, no proofs are fetched any more. */
	private static final long USE_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final long REOPEN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final JobJournal journal;

	private final Scheduler scheduler;

	private final LongSupplier clock;

	private final EventLog events;

	private final int hostNumber;

	/** Has the scheduler's effects carried out. */
	private final Runnable wake;

	/** What waits for changes to be saved, by their numbers. */
	private final NavigableMap<Long, CompletableFuture<Void>> waiting = new TreeMap<>();

	private FencingToken epoch = FencingToken.NONE;

	private long savedSequence;

	private long openNotBeforeNanos;

	private long usedNanos;

	StoredJobKeeper(JobLog log, Scheduler scheduler, int hostNumber, LongSupplier clock, EventLog events,
			Runnable wake) {
		this.journal = new JobJournal(log, clock, new JournalListener());
		this.scheduler = scheduler;
		this.hostNumber = hostNumber;
		this.clock = clock;
		this.events = events;
		this.wake = wake;
	}

	/**
	 * Takes the stored jobs over, gives them up or goes on.
	 * @param claim the token with which the host schedules, NONE if it does not
	 * @param reach how many of the known hosts it reaches
	 * @param nowNanos the present time
	 */
	void tick(FencingToken claim, Reach reach, long nowNanos) {
		if (claim.isNone()) {
			giveUp("the host does not schedule", nowNanos);
			return;
		}
		this.scheduler.contested(reach != Reach.ALL);
		if (this.journal.isClosed()) {
			if ((reach == Reach.ALL || reach == Reach.MOST) && nowNanos >= this.openNotBeforeNanos) {
				FencingToken above = (claim.compareTo(this.epoch) > 0) ? claim : this.epoch;
				this.epoch = FencingToken.draw(nowNanos, this.hostNumber, above);
				this.journal.open(this.epoch.value());
			}
			return;
		}
		this.journal.tick(nowNanos);
		if (!this.scheduler.knowsStoredJobs() || !isInUse(nowNanos)) {
			return;
		}
		long unconfirmed = nowNanos - this.journal.confirmedNanos();
		if (unconfirmed > MAX_UNCONFIRMED_NANOS || (unconfirmed > CONFIRMED_NANOS && reach == Reach.FEW)) {
			giveUp("the store has not answered for " + TimeUnit.NANOSECONDS.toMillis(unconfirmed) + " ms", nowNanos);
		}
		else if (unconfirmed > CONFIRM_EVERY_NANOS) {
			this.journal.confirm();
		}
	}

	private boolean isInUse(long nowNanos) {
		return this.scheduler.hasStoredJobs() || nowNanos - this.usedNanos < USE_MEMORY_NANOS;
	}

	private void giveUp(String reason, long nowNanos) {
		if (this.journal.isClosed()) {
			return;
		}
		this.journal.close();
		lost(reason, nowNanos);
	}

	private void lost(String reason, long nowNanos) {
		this.openNotBeforeNanos = nowNanos + REOPEN_PAUSE_NANOS;
		this.events.write(LogEvent.STORED_JOBS_LOST, this.epoch.value(), reason);
		this.scheduler.storedJobsLost(nowNanos);
		List<CompletableFuture<Void>> abandoned = List.copyOf(this.waiting.values());
		this.waiting.clear();
		abandoned.forEach((future) -> future.cancel(false));
		this.wake.run();
	}

	void save(SchedulingEffect.SaveChange effect) {
		if (effect.change() instanceof StoredChange.Progressed progressed
				&& progressed.progress().state() != StoredState.OPEN) {
			this.events.write(LogEvent.STORED_JOB_ENDED, progressed.job(), progressed.progress().state());
		}
		this.journal.save(effect.sequence(), effect.change());
	}

	/**
	 * Tells the state of a job.
	 * @param job the job
	 * @param nowNanos the present time
	 * @return the state
	 */
	JobStatus status(JobId job, long nowNanos) {
		if (!isCertain(nowNanos)) {
			return status(JobStatus.State.UNAVAILABLE);
		}
		return status(this.scheduler.state(job).map(StoredJobKeeper::toState).orElse(JobStatus.State.UNKNOWN));
	}

	/**
	 * Cancels a job.
	 * @param job the job
	 * @param nowNanos the present time
	 * @return the state, once it is saved
	 */
	CompletableFuture<JobStatus> cancel(JobId job, long nowNanos) {
		if (!isCertain(nowNanos)) {
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
		return this.waiting.computeIfAbsent(sequence, (key) -> new CompletableFuture<>()).copy();
	}

	// Tests whether a job that is not known here is known to no other host either, and
	// notes that stored jobs are in use.
	boolean isCertain(long nowNanos) {
		boolean recent = isInUse(nowNanos);
		this.usedNanos = nowNanos;
		if (!this.scheduler.knowsStoredJobs()) {
			return false;
		}
		if (!recent) {
			this.journal.confirm();
		}
		return nowNanos - this.journal.confirmedNanos() < MAX_UNCONFIRMED_NANOS;
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
		public void opened(List<StoredJob> jobs) {
			StoredJobKeeper keeper = StoredJobKeeper.this;
			keeper.events.write(LogEvent.STORED_JOBS_READ, keeper.epoch.value(), jobs.size());
			keeper.scheduler.storedJobsRead(jobs, keeper.clock.getAsLong());
			keeper.wake.run();
		}

		@Override
		public void saved(long sequence) {
			StoredJobKeeper keeper = StoredJobKeeper.this;
			keeper.savedSequence = sequence;
			keeper.scheduler.changesSaved(sequence, keeper.clock.getAsLong());
			NavigableMap<Long, CompletableFuture<Void>> due = keeper.waiting.headMap(sequence, true);
			List<CompletableFuture<Void>> futures = List.copyOf(due.values());
			due.clear();
			futures.forEach((future) -> future.complete(null));
			keeper.wake.run();
		}

		@Override
		public void fenced(String reason) {
			lost(reason, StoredJobKeeper.this.clock.getAsLong());
		}

	}

}
