package org.limpetgate.membership;

import java.time.Duration;

/**
 * The intervals and timeouts of the failure detector, in nanoseconds.
 *
 * @param heartbeatNanos the interval between heartbeats to the same peer
 * @param suspectNanos the time without a heartbeat after which a host is suspect
 * @param deadNanos the time without a heartbeat after which a host is dead
 * @param removalNanos the time without a heartbeat after which a dead host that is not
 * listed is removed
 * @param digestNanos the interval between digests to another data centre
 */
public record MembershipTimings(long heartbeatNanos, long suspectNanos, long deadNanos, long removalNanos,
		long digestNanos) {

	/**
	 * The defaults, with 5 heartbeats per second. A host becomes suspect after four lost
	 * heartbeats, so that a garbage collection pause of half a second does not make it
	 * suspect.
	 */
	public static final MembershipTimings DEFAULT = new MembershipTimings(Duration.ofMillis(200).toNanos(),
			Duration.ofMillis(900).toNanos(), Duration.ofSeconds(4).toNanos(), Duration.ofMinutes(10).toNanos(),
			Duration.ofSeconds(1).toNanos());

	/**
	 * Returns the default timings for a number of data centres. The digest interval grows
	 * with that number, so that a host receives at most four digests per second.
	 * @param dataCentres the number of data centres, at least 1
	 * @return the timings, not null
	 */
	public static MembershipTimings forDataCentres(int dataCentres) {
		long digest = Math.max(DEFAULT.digestNanos, dataCentres * Duration.ofMillis(250).toNanos());
		return new MembershipTimings(DEFAULT.heartbeatNanos, DEFAULT.suspectNanos, DEFAULT.deadNanos,
				DEFAULT.removalNanos, digest);
	}

	public MembershipTimings {
		if (heartbeatNanos <= 0 || suspectNanos <= heartbeatNanos || deadNanos <= suspectNanos
				|| removalNanos < deadNanos || digestNanos <= 0) {
			throw new IllegalArgumentException(
					"membership timings must be positive and increase from heartbeat to suspect, dead and removal; increase the later ones");
		}
	}

}
