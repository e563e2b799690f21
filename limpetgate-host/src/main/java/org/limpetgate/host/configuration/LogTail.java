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
 * Tails the configuration stream and applies its records to the table.
 * <p>
 * Not thread-safe: confined to the control thread.
 */
final class LogTail {

	/**
	 * Longest time that one read waits for a record; short, so that an outage is detected
	 * quickly.
	 */
	static final Duration MAX_WAIT = Duration.ofMillis(800);

	/**
	 * Time beyond the wait after which an unanswered read is repeated; a late answer is
	 * still used. If the first read gets no answer, three more begin early enough for a
	 * change to be in force within 4 s on a log that takes 1.4 s to answer. With a
	 * timeout of 2.5 s, unanswered reads delayed changes beyond that bound.
	 */
	static final Duration READ_TIMEOUT_MARGIN = Duration.ofMillis(600);

	/**
	 * Delay after the first failed read, and shortest time between reads that return no
	 * new records.
	 */
	static final long MIN_BACKOFF_NANOS = Duration.ofMillis(100).toNanos();

	/**
	 * Longest delay after a failed read; well below the 4 s within which a change must be
	 * in force.
	 */
	static final long MAX_BACKOFF_NANOS = Duration.ofMillis(800).toNanos();

	/**
	 * Shortest interval between warnings; a slow log would otherwise cause one for each
	 * read.
	 */
	private static final int WARNING_PERIOD_SECONDS = 10;

	/**
	 * Limits an answer to a few MB even if each record replaces a pool of about 1000
	 * upstreams.
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
	 * Tests whether the log has been failing for at least the given time.
	 * @param nanos the time in nanoseconds
	 * @return true if the latest read and all others within that time failed
	 */
	boolean isFailingFor(long nanos) {
		return this.failingSinceNanos != NEVER && this.control.nowNanos() - this.failingSinceNanos >= nanos;
	}

	/**
	 * Tests whether the table reached the end of the stream at the latest read.
	 * @return true if no records are missing
	 */
	boolean isCaughtUp() {
		return this.atEnd && this.failingSinceNanos == NEVER && !this.table.isInGap();
	}

	/**
	 * Tests whether trimmed records have been missing for at least the given time,
	 * although the stream was read to its end.
	 * @param nanos the time in nanoseconds
	 * @return true if neither the stream nor a peer delivered the state within that time
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
	 * Returns when the first record that this host applied was stored.
	 * @return the time in nanoseconds, {@link Long#MIN_VALUE} if there was none
	 */
	long firstRecordTimeNanos() {
		return this.firstRecordTimeNanos;
	}

	private void read() {
		long number = ++this.readNumber;
		long from = this.table.nextOffset();
		// A read waits only at the end of the stream, which each answer reports.
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

	// Late answers are applied as well: a slow log must not stop progress.
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

	// A log that answers immediately without records, such as a replica that lags behind
	// the end offset reported by another one, must not be read in a tight loop.
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
			// The read began beyond a gap that has been closed since; the records are
			// read again.
			return;
		}
		this.endOffset = Math.max(this.endOffset, batch.endOffset());
		this.firstRetainedOffset = Math.max(this.firstRetainedOffset, batch.firstRetainedOffset());
		long firstAvailable = batch.records().isEmpty() ? batch.firstRetainedOffset() : batch.records().get(0).offset();
		if (firstAvailable > from) {
			this.table.recordsTrimmedBefore(firstAvailable);
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
		this.table.applyRecord(record.offset(), record.appendTimeNanos(), content);
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
	 * The snapshot with the newest version that was read from the stream.
	 *
	 * @param offset the offset of the record
	 * @param version the version of the state
	 * @param timeNanos when the platform stored it, in nanoseconds since the Unix epoch
	 */
	record LatestSnapshot(long offset, long version, long timeNanos) {
	}

}
