package org.limpetgate.net.peer;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.limpetgate.proto.PeerFrame;

/**
 * Handles the frames that a {@link PeerServer} receives.
 * <p>
 * Called on event loops; implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface PeerHandler {

	/**
	 * Handles a frame from an authenticated peer.
	 * @param link the link on which the frame arrived, not null
	 * @param frame the frame, not null; correlation id 0 marks a one-way message
	 * @return the reply, empty for a one-way message; a failure is sent as a refusal with
	 * the kind and the outcome of its {@link org.limpetgate.DispatchException}
	 */
	Optional<CompletableFuture<PeerFrame.Builder>> handle(InboundLink link, PeerFrame frame);

}
