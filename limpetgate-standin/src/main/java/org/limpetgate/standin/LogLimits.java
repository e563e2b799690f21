package org.limpetgate.standin;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of the log of a {@link PlatformStandIn}.
 *
 * @param retention how long records are kept
 * @param maxRecords the most records that a stream keeps
 * @param appendsPerSecond the most appends in a second over all streams; further ones are
 * refused with status 429
 * @param syncDelay the time from receiving an append to storing it
 */
public record LogLimits(Duration retention, int maxRecords, int appendsPerSecond, Duration syncDelay) {

	/** Limits as the platform has them. */
	public static final LogLimits DEFAULT = new LogLimits(Duration.ofHours(1), 1_000_000, 400, Duration.ofMillis(4));

	public LogLimits {
		Objects.requireNonNull(retention, "retention");
		Objects.requireNonNull(syncDelay, "syncDelay");
		if (maxRecords < 1 || appendsPerSecond < 1) {
			throw new IllegalArgumentException("maxRecords and appendsPerSecond must be at least 1");
		}
	}

	/**
	 * Returns a copy with other retention.
	 * @param retention how long records are kept, not null
	 * @param maxRecords the most records of a stream, at least 1
	 * @return the limits, not null
	 */
	public LogLimits withRetention(Duration retention, int maxRecords) {
		return new LogLimits(retention, maxRecords, this.appendsPerSecond, this.syncDelay);
	}

	/**
	 * Returns a copy with another rate of appends.
	 * @param appendsPerSecond the most appends in a second, at least 1
	 * @return the limits, not null
	 */
	public LogLimits withAppendsPerSecond(int appendsPerSecond) {
		return new LogLimits(this.retention, this.maxRecords, appendsPerSecond, this.syncDelay);
	}

	/**
	 * Returns a copy with another sync delay.
	 * @param syncDelay the time from receiving an append to storing it, not null
	 * @return the limits, not null
	 */
	public LogLimits withSyncDelay(Duration syncDelay) {
		return new LogLimits(this.retention, this.maxRecords, this.appendsPerSecond, syncDelay);
	}

}
