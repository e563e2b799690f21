package org.limpetgate.host.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.limpetgate.fleet.JobLog;
import org.limpetgate.scheduling.StoredChange;
import org.limpetgate.scheduling.StoredSnapshot;

/**
 * Writes the changes of stored jobs, and of the workers that are used for them, to the
 * {@link JobLog} in order and in batches, and reads both when this host takes the jobs
 * over.
 * <p>
 * At most one append is in flight. An append without an answer is retried with the same
 * sequence number, which has no effect if it was already applied. Not thread-safe; used
 * on the event loop.
 */
final class JobJournal {

	/** Changes beyond these numbers of records or bytes go into the next append. */
	private static final int MAX_BATCH_RECORDS = 500;

	private static final int MAX_BATCH_BYTES = 512 * 1024;

	private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

	private static final long READ_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private final JobLog log;

	private final LongSupplier clock;

	private final Listener listener;

	private final Deque<Change> pendingChanges = new ArrayDeque<>();

	/** The changes of the append that is in flight or waits for a retry. */
	private final List<Change> batch = new ArrayList<>();

	private State state = State.CLOSED;

	private long epoch;

	/** Incremented by each close; answers to requests of earlier sessions are ignored. */
	private long session;

	private long nextAppendSequence;

	private boolean appendedInEpoch;

	private boolean requestInFlight;

	/** When to retry the failed request, 0 if there is none. */
	private long retryAtNanos;

	private long ownershipConfirmedNanos;

	JobJournal(JobLog log, LongSupplier clock, Listener listener) {
		this.log = log;
		this.clock = clock;
		this.listener = listener;
	}

	/**
	 * Takes over the stored jobs: fences earlier writers and reads the jobs.
	 * @param writerEpoch the epoch, higher than those of earlier writers
	 */
	void open(long writerEpoch) {
		close();
		this.epoch = writerEpoch;
		this.nextAppendSequence = 0;
		this.appendedInEpoch = false;
		this.state = State.FENCING;
		fence();
	}

	/** Releases the stored jobs; changes that were not appended are discarded. */
	void close() {
		this.session++;
		this.state = State.CLOSED;
		this.pendingChanges.clear();
		this.batch.clear();
		this.requestInFlight = false;
		this.retryAtNanos = 0;
	}

	boolean isClosed() {
		return this.state == State.CLOSED;
	}

	/**
	 * Returns the last time at which it is certain that no other writer had taken over.
	 * This is when the request was sent whose answer confirmed it.
	 * @return the time in nanoseconds since the Unix epoch
	 */
	long ownershipConfirmedNanos() {
		return this.ownershipConfirmedNanos;
	}

	void save(long sequence, StoredChange change) {
		if (this.state == State.OPEN) {
			this.pendingChanges.add(new Change(sequence, StoredRecords.toRecords(change)));
			flush();
		}
	}

	// Checks that no other writer has taken over, unless a request that is in flight or
	// waits for a retry does so anyway.
	void confirmOwnership() {
		if (this.state == State.OPEN && !this.requestInFlight && this.retryAtNanos == 0) {
			fence();
		}
	}

	// Retries the failed request once its delay is over.
	void tick(long nowNanos) {
		if (this.retryAtNanos == 0 || nowNanos < this.retryAtNanos || this.requestInFlight) {
			return;
		}
		this.retryAtNanos = 0;
		switch (this.state) {
			case CLOSED -> {
				// A closed journal has nothing to retry.
			}
			case FENCING -> fence();
			case READING -> read();
			case OPEN -> {
				if (this.batch.isEmpty()) {
					flush();
				}
				else {
					append();
				}
			}
		}
	}

	private void fence() {
		long sentNanos = beginRequest();
		long requestSession = this.session;
		this.log.fence(this.epoch).whenComplete((done, failure) -> {
			if (requestSession != this.session) {
				return;
			}
			this.requestInFlight = false;
			if (failure != null) {
				handleFailure(failure, RETRY_DELAY_NANOS);
				return;
			}
			this.ownershipConfirmedNanos = sentNanos;
			if (this.state == State.FENCING) {
				this.state = State.READING;
				read();
			}
			else {
				flush();
			}
		});
	}

	private void read() {
		beginRequest();
		long requestSession = this.session;
		this.log.readNewest().thenApply(StoredRecords::toSnapshot).whenComplete((stored, failure) -> {
			if (requestSession != this.session) {
				return;
			}
			this.requestInFlight = false;
			if (failure != null) {
				handleFailure(failure, READ_RETRY_DELAY_NANOS);
				return;
			}
			this.state = State.OPEN;
			this.listener.opened(stored);
		});
	}

	private long beginRequest() {
		this.requestInFlight = true;
		return this.clock.getAsLong();
	}

	private void flush() {
		if (this.requestInFlight || this.retryAtNanos != 0 || this.pendingChanges.isEmpty()) {
			return;
		}
		int bytes = 0;
		while (!this.pendingChanges.isEmpty() && this.batch.size() < MAX_BATCH_RECORDS && bytes < MAX_BATCH_BYTES) {
			Change change = this.pendingChanges.poll();
			bytes += change.records().stream().mapToInt((record) -> record.value().length).sum();
			this.batch.add(change);
		}
		append();
	}

	private void append() {
		List<JobLog.Entry> records = this.batch.stream().flatMap((change) -> change.records().stream()).toList();
		long sentNanos = beginRequest();
		long requestSession = this.session;
		this.log.append(this.epoch, this.nextAppendSequence, records).whenComplete((done, failure) -> {
			if (requestSession != this.session) {
				return;
			}
			this.requestInFlight = false;
			if (failure != null && !isAlreadyApplied(failure)) {
				handleFailure(failure, RETRY_DELAY_NANOS);
				return;
			}
			this.ownershipConfirmedNanos = sentNanos;
			this.appendedInEpoch = true;
			this.nextAppendSequence++;
			long saved = this.batch.get(this.batch.size() - 1).sequence();
			this.batch.clear();
			this.listener.saved(saved);
			flush();
		});
	}

	private boolean isAlreadyApplied(Throwable failure) {
		return cause(failure) instanceof JobLog.SequenceException sequenceError && this.appendedInEpoch
				&& sequenceError.expected() == this.nextAppendSequence + 1;
	}

	private void handleFailure(Throwable failure, long delayNanos) {
		Throwable cause = cause(failure);
		boolean firstAppend = !this.appendedInEpoch && !this.batch.isEmpty();
		if (cause instanceof JobLog.SequenceException sequenceError && firstAppend) {
			// The log may count the fencing request as the first append of the epoch.
			this.nextAppendSequence = sequenceError.expected();
			append();
		}
		else if (cause instanceof JobLog.SequenceException || cause instanceof JobLog.FencedException) {
			close();
			this.listener.fenced(cause.getMessage());
		}
		else {
			this.retryAtNanos = this.clock.getAsLong() + delayNanos;
		}
	}

	private static Throwable cause(Throwable failure) {
		return (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause() : failure;
	}

	private enum State {

		CLOSED, FENCING, READING, OPEN

	}

	/** Receives the events of the journal. */
	interface Listener {

		// Called when the stored jobs have been taken over and read.
		void opened(StoredSnapshot stored);

		// Called when all changes up to this sequence number are saved.
		void saved(long sequence);

		// Called when another writer has taken over.
		void fenced(String reason);

	}

	private record Change(long sequence, List<JobLog.Entry> records) {

	}

}
