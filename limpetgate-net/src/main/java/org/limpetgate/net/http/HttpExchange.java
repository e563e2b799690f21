package org.limpetgate.net.http;

import java.util.concurrent.CompletableFuture;

/**
 * One request to an upstream and its answer.
 * <p>
 * Thread-safe.
 */
public interface HttpExchange {

	/**
	 * Returns the answer.
	 * @return completes with the whole answer, whatever its status, or fails with a
	 * {@link org.limpetgate.DispatchException} that tells whether the request may have
	 * run; not null
	 */
	CompletableFuture<HttpReply> reply();

	/**
	 * Gives up on the answer and closes the connection. Fails the answer with
	 * {@link org.limpetgate.ErrorKind#CANCELLED}: {@link org.limpetgate.Outcome#NOT_RUN}
	 * if no byte of the request was written, else {@link org.limpetgate.Outcome#UNKNOWN}.
	 * Does nothing once the answer is decided.
	 */
	void cancel();

	/**
	 * Tests whether the upstream announced in its answer that it is leaving.
	 * @return true if the head of the answer had {@code Limpetgate-Leaving: true}; set
	 * before {@link #reply()} completes
	 */
	boolean isUpstreamLeaving();

}
