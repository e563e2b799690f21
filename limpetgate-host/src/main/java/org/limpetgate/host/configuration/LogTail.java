package org.limpetgate.host.configuration;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import org.limpetgate.config.ConfigurationRecord;
import org.limpetgate.config.ConfigurationSnapshot;
import org.limpetgate.config.ConfigurationTable;
import org.limpetgate.platform.LogBatch;
import org.limpetgate.platform.LogRecord;
import org.limpetgate.platform.LogService;
import org.limpetgate.wire.ConfigurationCodec;

/**
 * Reads the configuration stream without end and folds it into the table.
 * <p>
 * Belongs to the control thread.
 */
final class LogTail {

	/** Longest wait of one read for a record; short, so that an outage is seen soon. */
	static final Duration MAX_WAIT = Duration.ofMillis(800);

	/**
	 * Time after the wait at which an unanswered read is repeated; a late answer is still
	 * used. If the first read gets no answer, three more begin early enough to bring a
	 * change into force within 4 s on a log that takes 1.4 s to answer. With a timeout of
	 * 2.5 s, runs with unanswered reads missed that bound.
	 */
	static final Duration READ_TIMEOUT_MARGIN = Duration.ofMillis(600);

	/** First wait after a failed read. */
	static final long MIN_BACKOFF_NANOS = Duration.ofMillis(100).toNanos();

	/**
	 * Longest wait after a failed read; well below the 4 s in which a change must be in
	 * force.
	 */
	static final long MAX_BACKOFF_NANOS = Duration.ofMillis(800).toNanos();

	/** A slow log would otherwise cause a warning for each read. */
	private static final int WARNING_PERIOD_SECONDS = 10;

	/**
	 * Some MB in one answer even if each record replaces a pool of some 1000 upstreams.
	 */
	private static final int MAX_RECORDS_PER_READ = 100;

	private static final long NEVER = Long.MIN_VALUE;

	private static final FluentLogger log = FluentLogger.forEnclosingClass();

	private final ControlExecutor control;

	private final LogService logService;

	private final ConfigurationTable table;

	private final Runnable afterBatch;

	private long readNumber;

	private long backoffNanos = MIN_BACKOFF_NANOS;

	private long failingSinceNanos;

	private long firstRetainedOffset;

	private long endOffset;

	private boolean atEnd;

	private long inGapSinceNanos = NEVER;

	private LatestSnapshot latestSnapshot = new LatestSnapshot(ConfigurationTable.NO_VERSION,
			ConfigurationTable.NO_VERSION, NEVER);

	private long firstRecordTimeNanos = NEVER;

	LogTail(ControlExecutor control, LogService logService, ConfigurationTable table, Runnable afterBatch) {
		this.control = control;
		this.logService = logService;
		this.table = table;
		this.afterBatch = afterBatch;
		this.failingSinceNanos = control.nowNanos();
	}

	void start() {
		read();
	}

	/**
	 * Tests whether the log has given no answer since the given span.
	 * @param nanos the span
	 * @return true if the latest read failed, and all others in that span
	 */
	boolean isFailingFor(long nanos) {
		return this.failingSinceNanos != NEVER && this.control.nowNanos() - this.failingSinceNanos >= nanos;
	}

	/**
	 * Tests whether the state reached the end of the stream at the latest read.
	 * @return true if no records are missing
	 */
	boolean isCaughtUp() {
		return this.atEnd && this.failingSinceNanos == NEVER && !this.table.isInGap();
	}

	/**
	 * Tests whether records have been missing for the given span, up to the end of the
	 * stream.
	 * @param nanos the span
	 * @return true if neither the stream nor a peer gave the state in that span
	 */
	boolean isInGapFor(long nanos) {
		return this.table.isInGap() && this.atEnd && this.inGapSinceNanos != NEVER
				&& this.control.nowNanos() - this.inGapSinceNanos >= nanos;
	}

	long firstRetainedOffset() {
		return this.firstRetainedOffset;
	}

	LatestSnapshot latestSnapshot() {
		return this.latestSnapshot;
	}

	/**
	 * Returns when the oldest record that this host folded was stored.
	 * @return the time, in the far past if there was none
	 */
	long firstRecordTimeNanos() {
		return this.firstRecordTimeNanos;
	}

	private void read() {
		long number = ++this.readNumber;
		long from = this.table.nextOffset();
		// There is nothing to wait for before the end, which the answer tells.
		Duration maxWait = this.atEnd ? MAX_WAIT : Duration.ZERO;
		Duration timeout = maxWait.plus(READ_TIMEOUT_MARGIN);
		long earliestNext = this.control.nowNanos() + MIN_BACKOFF_NANOS;
		this.control.schedule(timeout.toNanos(), () -> readTimedOut(number, timeout));
		this.control.whenComplete(
				this.logService.read(ConfigurationService.STREAM, from, MAX_RECORDS_PER_READ, maxWait),
				(batch, failure) -> readCompleted(number, from, earliestNext, batch, failure));
	}

	private void readTimedOut(long number, Duration timeout) {
		if (number == this.readNumber) {
			readFailed("no answer within " + timeout.toMillis() + " ms");
			read();
		}
	}

	// Late answers are taken as well: a slow log must not stop the fold.
	private void readCompleted(long number, long from, long earliestNextNanos, LogBatch batch, Throwable failure) {
		if (failure == null) {
			this.failingSinceNanos = NEVER;
			this.backoffNanos = MIN_BACKOFF_NANOS;
			applyBatch(from, batch);
			this.afterBatch.run();
		}
		if (number != this.readNumber) {
			return;
		}
		if (failure == null) {
			scheduleNextRead(from, earliestNextNanos);
			return;
		}
		readFailed(failure.getMessage());
		this.readNumber++;
		this.control.schedule(this.backoffNanos, this::read);
		this.backoffNanos = Math.min(2 * this.backoffNanos, MAX_BACKOFF_NANOS);
	}

	// A log that answers at once without records, such as a replica that lags behind the
	// end known from another one, must not be asked in a tight loop.
	private void scheduleNextRead(long from, long earliestNextNanos) {
		long pauseNanos = earliestNextNanos - this.control.nowNanos();
		boolean advanced = this.table.nextOffset() != from;
		if (advanced || pauseNanos <= 0) {
			read();
			return;
		}
		this.readNumber++;
		this.control.schedule(pauseNanos, this::read);
	}

	private void readFailed(String reason) {
		this.atEnd = false;
		if (this.failingSinceNanos == NEVER) {
			this.failingSinceNanos = this.control.nowNanos();
			log.atWarning()
				.atMostEvery(WARNING_PERIOD_SECONDS, TimeUnit.SECONDS)
				.log("LG2101 CONFIGURATION_STREAM_UNREADABLE configuration stream cannot be read: %s; the tables stay at version %d",
						reason, this.table.version());
		}
	}

	private void applyBatch(long from, LogBatch batch) {
		if (from > this.table.nextOffset()) {
			// The read began in a gap that has ended since; the records are read again.
			return;
		}
		this.endOffset = Math.max(this.endOffset, batch.endOffset());
		this.firstRetainedOffset = Math.max(this.firstRetainedOffset, batch.firstRetainedOffset());
		long firstAvailable = batch.records().isEmpty() ? batch.firstRetainedOffset() : batch.records().get(0).offset();
		if (firstAvailable > from) {
			this.table.trimmedTo(firstAvailable);
		}
		for (LogRecord record : batch.records()) {
			if (record.offset() == this.table.nextOffset()) {
				applyRecord(record);
			}
		}
		this.atEnd = this.table.nextOffset() >= this.endOffset;
		updateGap();
	}

	private void applyRecord(LogRecord record) {
		Optional<ConfigurationRecord> content = ConfigurationCodec.decode(record.payload());
		this.table.fold(record.offset(), record.appendTimeNanos(), content);
		if (this.firstRecordTimeNanos == NEVER) {
			this.firstRecordTimeNanos = record.appendTimeNanos();
		}
		if (content.isEmpty()) {
			log.atWarning()
				.log("LG2102 RECORD_UNDECODABLE record %d of the configuration stream cannot be decoded; it is skipped",
						record.offset());
		}
		else if (content.get() instanceof ConfigurationSnapshot snapshot
				&& snapshot.version() >= this.latestSnapshot.version) {
			this.latestSnapshot = new LatestSnapshot(record.offset(), snapshot.version(), record.appendTimeNanos());
		}
	}

	private void updateGap() {
		if (!this.table.isInGap()) {
			this.inGapSinceNanos = NEVER;
		}
		else if (this.inGapSinceNanos == NEVER) {
			this.inGapSinceNanos = this.control.nowNanos();
			log.atWarning()
				.log("LG2103 RECORDS_TRIMMED records of the configuration stream after version %d were trimmed; waiting for a "
						+ "snapshot or a peer", this.table.version());
		}
	}

	/**
	 * The snapshot of the latest state that was read from the stream.
	 *
	 * @param offset the offset of the record
	 * @param version the version of the state
	 * @param timeNanos when the platform stored it
	 */
	record LatestSnapshot(long offset, long version, long timeNanos) {
	}

}
