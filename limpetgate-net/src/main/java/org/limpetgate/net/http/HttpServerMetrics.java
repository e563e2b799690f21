package org.limpetgate.net.http;

import org.limpetgate.ErrorKind;

/**
 * Receives the counts of an {@link HttpServer}.
 * <p>
 * Called on traffic threads; implementations are thread-safe and do not block.
 */
public interface HttpServerMetrics {

	/** Ignores all counts. */
	HttpServerMetrics NONE = new HttpServerMetrics() {
	};

	/** Counts a connection that was accepted. */
	default void connectionOpened() {
	}

	/** Counts a connection that was closed. */
	default void connectionClosed() {
	}

	/** Counts a whole request that was passed to the handler. */
	default void requestStarted() {
	}

	/**
	 * Counts an answer that was written whole.
	 * @param status the status
	 */
	default void requestAnswered(int status) {
	}

	/** Counts a request whose caller closed the connection before the answer. */
	default void requestAbandoned() {
	}

	/**
	 * Counts a request that was refused before it reached the handler.
	 * @param kind the reason
	 */
	default void requestRefused(ErrorKind kind) {
	}

}
