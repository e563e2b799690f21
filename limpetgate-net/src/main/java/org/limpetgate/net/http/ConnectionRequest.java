package org.limpetgate.net.http;

import java.util.OptionalLong;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;

/**
 * A request on a {@link ClientConnection} and the receiver of its result.
 * <p>
 * Confined to the event loop of the pool.
 */
interface ConnectionRequest {

	HttpCall call();

	/**
	 * Returns the number that distinguishes the request from others on its connection.
	 * @return the number
	 */
	long number();

	/**
	 * Tests whether nobody waits for the result any longer.
	 * @return true if the result would be ignored
	 */
	boolean isDone();

	/**
	 * Sets the connection that is closed if the exchange is aborted.
	 * @param client the connection
	 */
	void attach(ClientConnection client);

	/** Tells that the operating system has accepted a byte of the request. */
	void markWritten();

	boolean isWritten();

	void markUpstreamLeaving();

	/**
	 * Retries on another connection after an idle one was found closed before any byte
	 * was written to it.
	 */
	void retryOnAnotherConnection();

	/**
	 * Reads the identity of the process from the response, if the response tells it.
	 * @param response the response
	 * @return the identity, empty if it is not told
	 */
	OptionalLong identity(HttpReply response);

	void complete(HttpReply response);

	void fail(ErrorKind kind, String detail);

	void fail(DispatchException error);

}
