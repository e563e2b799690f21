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
import org.limpetgate.scheduling.StoredJob;

/**
 * Writes the changes of stored jobs to the {@link JobLog} in their order, many at a time,
 * and reads the jobs after taking them over.
 * <p>
 * One append is under way at a time. One without an answer is repeated with the same
 * number, which changes nothing if it was carried out. Not thread-safe; used on the event
 * loop.
 */
final class JobJournal {

	/** Appends of more records or bytes than these are divided. */
	private static final int MAX_BATCH_RECORDS = 500;

	private static final int MAX_BATCH_BYTES = 512 * 1024;

	private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

	private static final long READ_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private final JobLog log;

	private final LongSupplier clock;

	private final Listener listener;

	private final Deque<Change> waiting = new ArrayDeque<>();

	/** The changes of the append under way. */
	private final List<Change> batch = new ArrayList<>();

	private State state = State.CLOSED;

	private long epoch;

	/** Distinguishes answers of the present period from earlier ones. */
	private long period;

	private long nextAppend;

	private boolean appendedInEpoch;

	private boolean underWay;

	private long retryNanos;

	private long confirmedNanos;

	JobJournal(JobLog log, LongSupplier clock, Listener listener) {
		this.log = log;
		this.clock = clock;
		this.listener = listener;
	}

	/**
	 * Takes over the stored jobs.
	 * @param writerEpoch the epoch, higher than those of earlier writers
	 */
	void open(long writerEpoch) {
		close();
		this.epoch = writerEpoch;
		this.nextAppend = 0;
		this.appendedInEpoch = false;
		this.state = State.FENCING;
		fence();
	}

	/** Gives up the stored jobs; what was not appended is dropped. */
	void close() {
		this.period++;
		this.state = State.CLOSED;
		this.waiting.clear();
		this.batch.clear();
		this.underWay = false;
		this.retryNanos = 0;
	}

	boolean isClosed() {
		return this.state == State.CLOSED;
	}

	/**
	 * Returns when the request was sent whose answer last proved that no other writer had
	 * taken over.
	 * @return the time in nanoseconds since the Unix epoch
	 */
	long confirmedNanos() {
		return this.confirmedNanos;
	}

	void save(long sequence, StoredChange change) {
		if (this.state == State.OPEN) {
			this.waiting.add(new Change(sequence, StoredRecords.toRecords(change)));
			flush();
		}
	}

	// Proves that no other writer has taken over, unless an append does so anyway.
	void confirm() {
		if (this.state == State.OPEN && !this.underWay && this.retryNanos == 0) {
			fence();
		}
	}

	// Repeats what got no answer.
	void tick(long nowNanos) {
		if (this.retryNanos == 0 || nowNanos < this.retryNanos || this.underWay) {
			return;
		}
		this.retryNanos = 0;
		switch (this.state) {
			case CLOSED -> {
				// Nothing is to be repeated.
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
		long sent = begin();
		long ofPeriod = this.period;
		this.log.fence(this.epoch).whenComplete((done, failure) -> {
			if (ofPeriod != this.period) {
				return;
			}
			this.underWay = false;
			if (failure != null) {
				failed(failure, RETRY_NANOS);
				return;
			}
			this.confirmedNanos = sent;
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
		begin();
		long ofPeriod = this.period;
		this.log.newest().thenApply(StoredRecords::toJobs).whenComplete((jobs, failure) -> {
			if (ofPeriod != this.period) {
				return;
			}
			this.underWay = false;
			if (failure != null) {
				failed(failure, READ_RETRY_NANOS);
				return;
			}
			this.state = State.OPEN;
			this.listener.opened(jobs);
		});
	}

	private long begin() {
		this.underWay = true;
		return this.clock.getAsLong();
	}

	private void flush() {
		if (this.underWay || this.retryNanos != 0 || this.waiting.isEmpty()) {
			return;
		}
		int bytes = 0;
		while (!this.waiting.isEmpty() && this.batch.size() < MAX_BATCH_RECORDS && bytes < MAX_BATCH_BYTES) {
			Change change = this.waiting.poll();
			bytes += change.records().stream().mapToInt((record) -> record.value().length).sum();
			this.batch.add(change);
		}
		append();
	}

	private void append() {
		List<JobLog.Entry> records = this.batch.stream().flatMap((change) -> change.records().stream()).toList();
		long sent = begin();
		long ofPeriod = this.period;
		this.log.append(this.epoch, this.nextAppend, records).whenComplete((done, failure) -> {
			if (ofPeriod != this.period) {
				return;
			}
			this.underWay = false;
			if (failure != null && !isCarriedOut(failure)) {
				failed(failure, RETRY_NANOS);
				return;
			}
			this.confirmedNanos = sent;
			this.appendedInEpoch = true;
			this.nextAppend++;
			long saved = this.batch.get(this.batch.size() - 1).sequence();
			this.batch.clear();
			this.listener.saved(saved);
			flush();
		});
	}

	private boolean isCarriedOut(Throwable failure) {
		return cause(failure) instanceof JobLog.SequenceException order && this.appendedInEpoch
				&& order.expected() == this.nextAppend + 1;
	}

	private void failed(Throwable failure, long pauseNanos) {
		Throwable cause = cause(failure);
		if (cause instanceof JobLog.SequenceException order && !this.appendedInEpoch) {
			// The log may count the call that set the epoch.
			this.nextAppend = order.expected();
			append();
		}
		else if (cause instanceof JobLog.SequenceException || cause instanceof JobLog.FencedException) {
			close();
			this.listener.fenced(cause.getMessage());
		}
		else {
			this.retryNanos = this.clock.getAsLong() + pauseNanos;
		}
	}

	private static Throwable cause(Throwable failure) {
		return (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause() : failure;
	}

	private enum State {

		CLOSED, FENCING, READING, OPEN

	}

	/** Is told what became of the journal. */
	interface Listener {

		// The stored jobs were taken over.
		void opened(List<StoredJob> jobs);

		// All changes up to a number are saved.
		void saved(long sequence);

		// Another writer has taken over.
		void fenced(String reason);

	}

	private record Change(long sequence, List<JobLog.Entry> records) {

	}

}
