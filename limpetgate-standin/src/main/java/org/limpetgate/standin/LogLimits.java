package org.limpetgate.standin;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of the log of a {@link PlatformStandIn}.
 *
 * @param retention the retention time of records
 * @param maxRecords the maximum number of records in a stream
 * @param appendsPerSecond the maximum append rate over all streams; appends beyond it are
 * refused with status 429
 * @param syncDelay the delay between receiving and storing an append
 */
public record LogLimits(Duration retention, int maxRecords, int appendsPerSecond, Duration syncDelay) {

	/** The limits of the platform. */
	public static final LogLimits DEFAULT = new LogLimits(Duration.ofHours(1), 1_000_000, 400, Duration.ofMillis(4));

	public LogLimits {
		Objects.requireNonNull(retention, "retention");
		Objects.requireNonNull(syncDelay, "syncDelay");
		if (maxRecords < 1 || appendsPerSecond < 1) {
			throw new IllegalArgumentException("maxRecords and appendsPerSecond must be at least 1");
		}
	}

	/**
	 * Returns a copy with a different retention.
	 * @param retention the retention time of records, not null
	 * @param maxRecords the maximum number of records in a stream, at least 1
	 * @return the limits, not null
	 */
	public LogLimits withRetention(Duration retention, int maxRecords) {
		return new LogLimits(retention, maxRecords, this.appendsPerSecond, this.syncDelay);
	}

	/**
	 * Returns a copy with a different append rate.
	 * @param appendsPerSecond the maximum append rate, at least 1
	 * @return the limits, not null
	 */
	public LogLimits withAppendsPerSecond(int appendsPerSecond) {
		return new LogLimits(this.retention, this.maxRecords, appendsPerSecond, this.syncDelay);
	}

	/**
	 * Returns a copy with a different sync delay.
	 * @param syncDelay the delay between receiving and storing an append, not null
	 * @return the limits, not null
	 */
	public LogLimits withSyncDelay(Duration syncDelay) {
		return new LogLimits(this.retention, this.maxRecords, this.appendsPerSecond, syncDelay);
	}

}
