package org.limpetgate.net.peer;

import java.util.concurrent.TimeUnit;

import io.netty.channel.WriteBufferWaterMark;

/**
 * The limits of links.
 *
 * @param maxFrameBytes the largest frame after the handshake, in bytes
 * @param maxInFlight the largest number of requests without a reply on one link
 * @param maxConnections the largest number of accepted connections
 * @param handshakeNanos the time limit for connecting and for the handshake, in
 * nanoseconds
 * @param probeNanos the interval of liveness probes, in nanoseconds; a link without input
 * for four intervals is closed
 * @param minBackoffNanos the longest delay before the first attempt to reconnect, in
 * nanoseconds
 * @param maxBackoffNanos the longest delay before any attempt to reconnect, in
 * nanoseconds
 * @param maxMessageAgeNanos the age above which the accepting side refuses a message, in
 * nanoseconds; a sender must not give up a link earlier than this after its last input
 */
public record PeerLimits(int maxFrameBytes, int maxInFlight, int maxConnections, long handshakeNanos, long probeNanos,
		long minBackoffNanos, long maxBackoffNanos, long maxMessageAgeNanos) {

	/**
	 * The number of probe intervals without input after which a connection counts as
	 * dead.
	 */
	static final int MAX_PROBES_WITHOUT_INPUT = 4;

	/**
	 * Returns the default limits.
	 * @return the limits, not null
	 */
	public static PeerLimits defaults() {
		return new PeerLimits(8 * 1024 * 1024, 4096, 1024, TimeUnit.SECONDS.toNanos(2), TimeUnit.SECONDS.toNanos(1),
				TimeUnit.MILLISECONDS.toNanos(50), TimeUnit.SECONDS.toNanos(2),
				MAX_PROBES_WITHOUT_INPUT * TimeUnit.SECONDS.toNanos(1));
	}

	/**
	 * Returns the numbers of unsent bytes above which a link is not writable and below
	 * which it is writable again. One frame of the largest size always fits.
	 * @return the water marks, not null
	 */
	WriteBufferWaterMark waterMark() {
		return new WriteBufferWaterMark(this.maxFrameBytes / 2, this.maxFrameBytes);
	}

	/**
	 * Returns a copy with other limits on memory use.
	 * @param maxFrameBytes the largest frame after the handshake, in bytes
	 * @param maxInFlight the largest number of requests without a reply on one link
	 * @return the copy, not null
	 */
	public PeerLimits withMemory(int maxFrameBytes, int maxInFlight) {
		return new PeerLimits(maxFrameBytes, maxInFlight, this.maxConnections, this.handshakeNanos, this.probeNanos,
				this.minBackoffNanos, this.maxBackoffNanos, this.maxMessageAgeNanos);
	}

	/**
	 * Returns a copy with other timeouts and delays, and the age limit for messages that
	 * follows from the probes.
	 * @param handshakeNanos the time limit for connecting and for the handshake, in
	 * nanoseconds
	 * @param probeNanos the interval of liveness probes, in nanoseconds
	 * @param maxBackoffNanos the longest delay before an attempt to reconnect, in
	 * nanoseconds
	 * @return the copy, not null
	 */
	public PeerLimits withTimeouts(long handshakeNanos, long probeNanos, long maxBackoffNanos) {
		return new PeerLimits(this.maxFrameBytes, this.maxInFlight, this.maxConnections, handshakeNanos, probeNanos,
				Math.min(this.minBackoffNanos, maxBackoffNanos), maxBackoffNanos,
				MAX_PROBES_WITHOUT_INPUT * probeNanos);
	}

	/**
	 * Returns a copy with another age limit for messages.
	 * @param maxMessageAgeNanos the age above which a message is refused, in nanoseconds
	 * @return the copy, not null
	 */
	public PeerLimits withMaxMessageAge(long maxMessageAgeNanos) {
		return new PeerLimits(this.maxFrameBytes, this.maxInFlight, this.maxConnections, this.handshakeNanos,
				this.probeNanos, this.minBackoffNanos, this.maxBackoffNanos, maxMessageAgeNanos);
	}

}
