package org.limpetgate.net.peer;

import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.proto.PeerFrame;

/**
 * Receives the metrics events of {@link PeerLinks} and {@link PeerServer}.
 * <p>
 * Called on event loops and on calling threads; implementations are thread-safe and do
 * not block.
 */
public interface PeerMetrics {

	/** Ignores all events. */
	PeerMetrics NONE = new PeerMetrics() {
	};

	/**
	 * Counts an outgoing link that passed the handshake.
	 * @param peer the incarnation that accepted it
	 */
	default void linkUp(Incarnation peer) {
	}

	/**
	 * Counts an outgoing link that was lost after the handshake.
	 * @param peer the incarnation that had accepted it, which the next one may have
	 * replaced
	 */
	default void linkDown(Incarnation peer) {
	}

	/** Counts an accepted connection that was refused. */
	default void connectionRefused() {
	}

	/**
	 * Counts a one-way message that was dropped because the link was down or its write
	 * buffer was full.
	 * @param peer the other host
	 */
	default void messageDropped(HostId peer) {
	}

	/** Counts a reply that arrived after its request had timed out. */
	default void lateReply() {
	}

	/**
	 * Counts a message that was refused because it was delayed.
	 * @param link the link on which it arrived
	 * @param message the type of the message
	 * @param maxAgeNanos how long ago it was sent at most, in nanoseconds
	 */
	default void staleMessage(InboundLink link, PeerFrame.MessageCase message, long maxAgeNanos) {
	}

	/**
	 * Counts the bytes of a frame that was sent.
	 * @param bytes the number of bytes
	 */
	default void bytesSent(int bytes) {
	}

	/**
	 * Counts the bytes of a frame that was received.
	 * @param bytes the number of bytes
	 */
	default void bytesReceived(int bytes) {
	}

}
