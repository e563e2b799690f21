package org.limpetgate.net.http;

import java.net.InetSocketAddress;

import org.limpetgate.Outcome;

/**
 * Receives the metrics events of an {@link HttpClient}.
 * <p>
 * Called on event loops and on calling threads; implementations are thread-safe and do
 * not block.
 */
public interface HttpClientMetrics {

	/** Ignores all events. */
	HttpClientMetrics NONE = new HttpClientMetrics() {
	};

	/**
	 * Counts a connection that was opened.
	 * @param address the address of the upstream
	 */
	default void connectionOpened(InetSocketAddress address) {
	}

	/**
	 * Counts a connection that was closed.
	 * @param address the address of the upstream
	 */
	default void connectionClosed(InetSocketAddress address) {
	}

	/**
	 * Counts an exchange that ended.
	 * @param address the address of the upstream
	 * @param outcome {@link Outcome#COMPLETE} for a complete response, else the outcome
	 * of the failure
	 */
	default void exchangeEnded(InetSocketAddress address, Outcome outcome) {
	}

}
