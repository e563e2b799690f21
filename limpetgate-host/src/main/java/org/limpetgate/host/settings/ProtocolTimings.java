package org.limpetgate.host.settings;

import java.time.Duration;
import java.util.Objects;

/**
 * The timings of the protocol. All hosts must use the same values, except for the drain
 * bound.
 *
 * @param claimWait the longest wait for a claim to be read back
 * @param maxExpiryAhead how far in the future the expiry of a submission may be
 * @param keyHorizon the minimum time for which claims are kept
 * @param skewBound the largest difference between the clocks of two hosts
 * @param drainBound the longest time that a shutdown waits for requests in flight
 * @param snapshotInterval the age of a configuration snapshot at which the next is due
 */
public record ProtocolTimings(Duration claimWait, Duration maxExpiryAhead, Duration keyHorizon, Duration skewBound,
		Duration drainBound, Duration snapshotInterval) {

	/** Default wait for a claim to be read back. */
	public static final Duration DEFAULT_CLAIM_WAIT = Duration.ofSeconds(2);

	/** Default bound on the time until the expiry of a submission. */
	public static final Duration DEFAULT_MAX_EXPIRY_AHEAD = Duration.ofMinutes(10);

	/** Default minimum time for which claims are kept. */
	public static final Duration DEFAULT_KEY_HORIZON = Duration.ofMinutes(15);

	/** Default bound on the difference of clocks. */
	public static final Duration DEFAULT_SKEW_BOUND = Duration.ofSeconds(2);

	/** Default bound on the drain: the expiry bound of a submission plus a margin. */
	public static final Duration DEFAULT_DRAIN_BOUND = Duration.ofMinutes(11);

	/** Default age of a configuration snapshot at which the next is due. */
	public static final Duration DEFAULT_SNAPSHOT_INTERVAL = Duration.ofMinutes(5);

	/** The default timings. */
	public static final ProtocolTimings DEFAULT = new ProtocolTimings(DEFAULT_CLAIM_WAIT, DEFAULT_MAX_EXPIRY_AHEAD,
			DEFAULT_KEY_HORIZON, DEFAULT_SKEW_BOUND, DEFAULT_DRAIN_BOUND, DEFAULT_SNAPSHOT_INTERVAL);

	public ProtocolTimings {
		Objects.requireNonNull(claimWait, "claimWait");
		Objects.requireNonNull(maxExpiryAhead, "maxExpiryAhead");
		Objects.requireNonNull(keyHorizon, "keyHorizon");
		Objects.requireNonNull(skewBound, "skewBound");
		Objects.requireNonNull(drainBound, "drainBound");
		Objects.requireNonNull(snapshotInterval, "snapshotInterval");
	}

}
