package org.limpetgate.submission;

import java.time.Duration;

/**
 * The timeouts, intervals and limits of a {@link SubmissionSystem}, with times in
 * nanoseconds.
 *
 * @param claimWaitNanos how long a request waits for its claim to be read back
 * @param minExpiryAheadNanos the minimum time until the expiry of an accepted submission
 * @param maxExpiryAheadNanos the maximum time until the expiry of an accepted submission
 * @param skewNanos the maximum difference between any two clocks
 * @param claimRetentionNanos the minimum time for which claims are retained
 * @param minAppendIntervalNanos the interval between appends at low load: the inverse of
 * this host's share of the appends per second that the log allows
 * @param maxAppendIntervalNanos the interval between appends at high load
 * @param appendTimeoutNanos the time after which an append without a response counts as
 * failed
 * @param markerIntervalNanos the time without records after which a marker is appended
 * @param resultRetentionNanos how long a result is retained after its job has ended
 * @param maxResultBytes the maximum total bytes of retained results
 * @param maxPendingClaims the maximum number of requests that wait for claims
 * @param maxClaims the maximum number of claims in memory; at this limit the host makes
 * no claims of its own, but continues to apply those of other hosts
 * @param maxOpenBytes the maximum total bytes of open requests and running jobs; above
 * it, no job is started
 */
public record SubmissionSettings(long claimWaitNanos, long minExpiryAheadNanos, long maxExpiryAheadNanos,
		long skewNanos, long claimRetentionNanos, long minAppendIntervalNanos, long maxAppendIntervalNanos,
		long appendTimeoutNanos, long markerIntervalNanos, long resultRetentionNanos, long maxResultBytes,
		int maxPendingClaims, int maxClaims, long maxOpenBytes) {

	/**
	 * The defaults. The append intervals are for 6 hosts that share 300 appends/s.
	 */
	public static final SubmissionSettings DEFAULT = new SubmissionSettings(Duration.ofSeconds(2).toNanos(),
			Duration.ofSeconds(1).toNanos(), Duration.ofMinutes(10).toNanos(), Duration.ofSeconds(2).toNanos(),
			Duration.ofMinutes(15).toNanos(), Duration.ofMillis(20).toNanos(), Duration.ofMillis(130).toNanos(),
			Duration.ofSeconds(1).toNanos(), Duration.ofMinutes(1).toNanos(), Duration.ofMinutes(2).toNanos(),
			64L * 1024 * 1024, 20_000, 600_000, 128L * 1024 * 1024);

	public SubmissionSettings {
		if (claimRetentionNanos < maxExpiryAheadNanos + 2 * skewNanos) {
			throw new IllegalArgumentException(
					"the claim retention is shorter than the maximum time until expiry plus twice the clock skew; use a longer one");
		}
	}

	/**
	 * Returns a copy with another claim retention, expiry limit and marker interval, for
	 * short test runs.
	 * @param claimRetention the minimum time for which claims are retained, not null
	 * @param maxExpiryAhead the maximum time until expiry, not null
	 * @param markerInterval the time without records after which a marker is appended,
	 * not null
	 * @return the settings, not null
	 */
	public SubmissionSettings withClaimTimings(Duration claimRetention, Duration maxExpiryAhead,
			Duration markerInterval) {
		return new SubmissionSettings(this.claimWaitNanos, this.minExpiryAheadNanos, maxExpiryAhead.toNanos(),
				this.skewNanos, claimRetention.toNanos(), this.minAppendIntervalNanos, this.maxAppendIntervalNanos,
				this.appendTimeoutNanos, markerInterval.toNanos(), this.resultRetentionNanos, this.maxResultBytes,
				this.maxPendingClaims, this.maxClaims, this.maxOpenBytes);
	}

	/**
	 * Returns a copy with other limits on the state.
	 * @param resultRetention how long a result is retained, not null
	 * @param resultBytes the maximum total bytes of retained results
	 * @param pendingClaims the maximum number of requests that wait for claims
	 * @param openBytes the maximum total bytes of open requests and running jobs
	 * @return the settings, not null
	 */
	public SubmissionSettings withBounds(Duration resultRetention, long resultBytes, int pendingClaims,
			long openBytes) {
		return new SubmissionSettings(this.claimWaitNanos, this.minExpiryAheadNanos, this.maxExpiryAheadNanos,
				this.skewNanos, this.claimRetentionNanos, this.minAppendIntervalNanos, this.maxAppendIntervalNanos,
				this.appendTimeoutNanos, this.markerIntervalNanos, resultRetention.toNanos(), resultBytes,
				pendingClaims, this.maxClaims, openBytes);
	}

}
