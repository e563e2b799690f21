package org.limpetgate.membership;

import java.time.Duration;

/**
 * The intervals of the failure detector.
 *
 * @param heartbeatNanos between two heartbeats to the same peer, in nanoseconds
 * @param suspectNanos without a sign of life until a host is suspect, in nanoseconds
 * @param deadNanos without a sign of life until a host is dead, in nanoseconds
 * @param forgetNanos without a sign of life until a dead host that is not listed is
 * forgotten, in nanoseconds
 * @param digestNanos between two digests to another data centre, in nanoseconds
 */
public record MembershipTimings(long heartbeatNanos, long suspectNanos, long deadNanos, long forgetNanos,
		long digestNanos) {

	/**
	 * Heartbeats at 5 per second. Four lost ones make a host suspect, so that a garbage
	 * collection pause of half a second does not.
	 */
	public static final MembershipTimings DEFAULT = new MembershipTimings(Duration.ofMillis(200).toNanos(),
			Duration.ofMillis(900).toNanos(), Duration.ofSeconds(4).toNanos(), Duration.ofMinutes(10).toNanos(),
			Duration.ofSeconds(1).toNanos());

	/**
	 * Returns the usual timings for a number of data centres. Digests become rarer as
	 * there are more of them, so that a host receives at most four in a second.
	 * @param dataCentres the number of data centres, at least 1
	 * @return the timings, not null
	 */
	public static MembershipTimings forDataCentres(int dataCentres) {
		long digest = Math.max(DEFAULT.digestNanos, dataCentres * Duration.ofMillis(250).toNanos());
		return new MembershipTimings(DEFAULT.heartbeatNanos, DEFAULT.suspectNanos, DEFAULT.deadNanos,
				DEFAULT.forgetNanos, digest);
	}

	public MembershipTimings {
		if (heartbeatNanos <= 0 || suspectNanos <= heartbeatNanos || deadNanos <= suspectNanos
				|| forgetNanos < deadNanos || digestNanos <= 0) {
			throw new IllegalArgumentException(
					"membership timings must rise from heartbeat to suspect, dead and forget; raise the later ones");
		}
	}

}
