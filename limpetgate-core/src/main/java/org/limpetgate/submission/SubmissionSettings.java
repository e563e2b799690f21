package org.limpetgate.submission;

import java.time.Duration;

/**
 * The times and bounds of a {@link SubmissionSystem}.
 *
 * @param claimWaitNanos how long a request waits until its claim is read back
 * @param minExpiryAheadNanos the nearest expiry that is accepted
 * @param maxExpiryAheadNanos the furthest expiry that is accepted
 * @param skewNanos the most by which any two clocks differ
 * @param horizonNanos how long claims are kept at least
 * @param minAppendIntervalNanos the time between two appends at low load; the inverse of
 * this host's share of the log's appends per second
 * @param maxAppendIntervalNanos the time between two appends at high load
 * @param appendTimeoutNanos after which time an append without an answer counts as failed
 * @param markerIntervalNanos after which time without records a marker is appended
 * @param resultKeepNanos how long a result is kept after its job has ended
 * @param maxResultBytes the most bytes of kept results
 * @param maxPendingClaims the most requests that wait for claims
 * @param maxClaims the most claims in memory; above it, this host makes no new ones,
 * since it must go on folding those of the others
 * @param maxOpenBytes the most bytes of open requests and running jobs; above it, no job
 * is started
 */
public record SubmissionSettings(long claimWaitNanos, long minExpiryAheadNanos, long maxExpiryAheadNanos,
		long skewNanos, long horizonNanos, long minAppendIntervalNanos, long maxAppendIntervalNanos,
		long appendTimeoutNanos, long markerIntervalNanos, long resultKeepNanos, long maxResultBytes,
		int maxPendingClaims, int maxClaims, long maxOpenBytes) {

	/**
	 * The defaults. The intervals between appends are those for 6 hosts that share 300
	 * appends/s.
	 */
	public static final SubmissionSettings DEFAULT = new SubmissionSettings(Duration.ofSeconds(2).toNanos(),
			Duration.ofSeconds(1).toNanos(), Duration.ofMinutes(10).toNanos(), Duration.ofSeconds(2).toNanos(),
			Duration.ofMinutes(15).toNanos(), Duration.ofMillis(20).toNanos(), Duration.ofMillis(130).toNanos(),
			Duration.ofSeconds(1).toNanos(), Duration.ofMinutes(1).toNanos(), Duration.ofMinutes(2).toNanos(),
			64L * 1024 * 1024, 20_000, 600_000, 128L * 1024 * 1024);

	public SubmissionSettings {
		if (horizonNanos < maxExpiryAheadNanos + 2 * skewNanos) {
			throw new IllegalArgumentException(
					"the horizon is shorter than the furthest expiry plus twice the skew; use a longer horizon");
		}
	}

	/**
	 * Returns settings whose horizon, expiry and marker times are scaled for short runs.
	 * @param horizon the horizon, not null
	 * @param maxExpiryAhead the furthest expiry, not null
	 * @param markerInterval the time without records until a marker, not null
	 * @return the settings, not null
	 */
	public SubmissionSettings withHorizon(Duration horizon, Duration maxExpiryAhead, Duration markerInterval) {
		return new SubmissionSettings(this.claimWaitNanos, this.minExpiryAheadNanos, maxExpiryAhead.toNanos(),
				this.skewNanos, horizon.toNanos(), this.minAppendIntervalNanos, this.maxAppendIntervalNanos,
				this.appendTimeoutNanos, markerInterval.toNanos(), this.resultKeepNanos, this.maxResultBytes,
				this.maxPendingClaims, this.maxClaims, this.maxOpenBytes);
	}

	/**
	 * Returns settings with other bounds on the state.
	 * @param resultKeep how long a result is kept, not null
	 * @param resultBytes the most bytes of kept results
	 * @param pendingClaims the most requests that wait for claims
	 * @param openBytes the most bytes of open requests and running jobs
	 * @return the settings, not null
	 */
	public SubmissionSettings withBounds(Duration resultKeep, long resultBytes, int pendingClaims, long openBytes) {
		return new SubmissionSettings(this.claimWaitNanos, this.minExpiryAheadNanos, this.maxExpiryAheadNanos,
				this.skewNanos, this.horizonNanos, this.minAppendIntervalNanos, this.maxAppendIntervalNanos,
				this.appendTimeoutNanos, this.markerIntervalNanos, resultKeep.toNanos(), resultBytes, pendingClaims,
				this.maxClaims, openBytes);
	}

}
