package org.limpetgate.net.http;

import org.limpetgate.ErrorKind;

/**
 * Receives the metrics events of an {@link HttpServer}.
 * <p>
 * Called on event loops; implementations are thread-safe and do not block.
 */
public interface HttpServerMetrics {

	/** Ignores all events. */
	HttpServerMetrics NONE = new HttpServerMetrics() {
	};

	/** Counts a connection that was accepted. */
	default void connectionOpened() {
	}

	/** Counts a connection that was closed. */
	default void connectionClosed() {
	}

	/** Counts a complete request that was passed to the handler. */
	default void requestStarted() {
	}

	/**
	 * Counts a response that was written completely.
	 * @param status the status
	 */
	default void responseWritten(int status) {
	}

	/**
	 * Counts a request whose caller closed the connection before the handler completed
	 * it.
	 */
	default void requestAbandoned() {
	}

	/**
	 * Counts a request that was refused before it reached the handler.
	 * @param kind the reason
	 */
	default void requestRefused(ErrorKind kind) {
	}

}
