package org.limpetgate.standin;

import java.util.concurrent.CompletableFuture;

import org.limpetgate.net.http.HttpCall;

/**
 * Handles the requests of a {@link StandInServer}. Called on event loops; must not block.
 */
@FunctionalInterface
interface StandInHandler {

	/**
	 * Handles a request.
	 * @param call the request
	 * @param closed completes when the connection of the request is closed
	 * @return the response; a failed future is sent as an error response
	 */
	CompletableFuture<StandInResponse> handle(HttpCall call, CompletableFuture<Void> closed);

}
