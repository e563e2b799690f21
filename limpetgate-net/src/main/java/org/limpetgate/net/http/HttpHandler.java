package org.limpetgate.net.http;

import java.util.concurrent.CompletableFuture;

/**
 * Handles the requests that an {@link HttpServer} receives.
 * <p>
 * Called on event loops; implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface HttpHandler {

	/**
	 * Handles a request.
	 * @param call the request, not null
	 * @return the response; a failure is sent as an error response for its
	 * {@link org.limpetgate.DispatchException}, as {@link ErrorReply} describes
	 */
	CompletableFuture<HttpReply> handle(HttpCall call);

}
