package org.limpetgate.net.http;

import java.util.concurrent.CompletableFuture;

/**
 * Answers the calls that a server receives.
 * <p>
 * Called on traffic threads; implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface HttpHandler {

	/**
	 * Answers a call.
	 * @param call the call, not null
	 * @return the answer; a failure is sent as the answer of its
	 * {@link org.limpetgate.DispatchException}
	 */
	CompletableFuture<HttpReply> handle(HttpCall call);

}
