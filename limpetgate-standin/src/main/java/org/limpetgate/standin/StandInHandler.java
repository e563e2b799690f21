package org.limpetgate.standin;

import java.util.concurrent.CompletableFuture;

import org.limpetgate.net.http.HttpCall;

/**
 * Answers the requests of a {@link StandInServer}. Called on event loops; must not block.
 */
@FunctionalInterface
interface StandInHandler {

	/**
	 * Answers a request.
	 * @param call the request
	 * @param closed completes when the connection of the request is closed
	 * @return the answer; a failure is sent as an error
	 */
	CompletableFuture<StandInResponse> handle(HttpCall call, CompletableFuture<Void> closed);

}
