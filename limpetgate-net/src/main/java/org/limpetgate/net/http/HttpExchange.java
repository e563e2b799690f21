package org.limpetgate.net.http;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * One request to an upstream and its response.
 * <p>
 * Thread-safe.
 */
public interface HttpExchange {

	/**
	 * Returns the response.
	 * @return completes with the complete response, whatever its status, or fails with a
	 * {@link org.limpetgate.DispatchException} whose outcome indicates whether the
	 * request may have run; not null
	 */
	CompletableFuture<HttpReply> reply();

	/**
	 * Cancels the exchange and closes its connection. The reply fails with
	 * {@link org.limpetgate.ErrorKind#CANCELLED}: {@link org.limpetgate.Outcome#NOT_RUN}
	 * if no byte of the request was written, else {@link org.limpetgate.Outcome#UNKNOWN}.
	 * Does nothing once the reply has completed.
	 */
	void cancel();

	/**
	 * Tests whether the upstream announced in its response that it is leaving the
	 * service.
	 * @return true if the head of the response had {@code Limpetgate-Leaving: true}; set
	 * before {@link #reply()} completes
	 */
	boolean isUpstreamLeaving();

	/**
	 * Returns the identity that answered the {@link IdentityCheck} of this exchange
	 * instead of the expected one.
	 * @return the identity if the exchange failed with
	 * {@link org.limpetgate.Outcome#NOT_RUN} because of it, else empty; set before
	 * {@link #reply()} completes
	 */
	OptionalLong otherIdentity();

}
