package org.limpetgate.net.platform;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of a platform client.
 *
 * @param connectTimeout the time limit for opening a connection
 * @param requestTimeout the time limit from the call to the complete response, including
 * the time to connect; the time that a request asks the platform to wait is added
 * @param maxConnections the largest number of connections to one address; a request
 * beyond it fails immediately as not run
 * @param maxResponseBytes the largest response body; a larger one fails the request
 */
public record PlatformClientSettings(Duration connectTimeout, Duration requestTimeout, int maxConnections,
		int maxResponseBytes) {

	/**
	 * Settings for a platform in the same data centre. The request timeout is below the
	 * limit of 2 s for answering a submission when the log is unavailable.
	 */
	public static final PlatformClientSettings DEFAULT = new PlatformClientSettings(Duration.ofMillis(500),
			Duration.ofMillis(1500), 64, 8 * 1024 * 1024);

	public PlatformClientSettings {
		Objects.requireNonNull(connectTimeout, "connectTimeout");
		Objects.requireNonNull(requestTimeout, "requestTimeout");
		if (maxConnections < 1 || maxResponseBytes < 1) {
			throw new IllegalArgumentException("maxConnections and maxResponseBytes must be at least 1");
		}
	}

	/**
	 * Returns a copy with another request timeout.
	 * @param requestTimeout the timeout, not null
	 * @return the settings, not null
	 */
	public PlatformClientSettings withRequestTimeout(Duration requestTimeout) {
		return new PlatformClientSettings(this.connectTimeout, requestTimeout, this.maxConnections,
				this.maxResponseBytes);
	}

	/**
	 * Returns a copy with another limit of connections.
	 * @param maxConnections the largest number of connections to one address, at least 1
	 * @return the settings, not null
	 */
	public PlatformClientSettings withMaxConnections(int maxConnections) {
		return new PlatformClientSettings(this.connectTimeout, this.requestTimeout, maxConnections,
				this.maxResponseBytes);
	}

	/**
	 * Returns a copy with another limit of response bodies.
	 * @param maxResponseBytes the largest response body, at least 1
	 * @return the settings, not null
	 */
	public PlatformClientSettings withMaxResponseBytes(int maxResponseBytes) {
		return new PlatformClientSettings(this.connectTimeout, this.requestTimeout, this.maxConnections,
				maxResponseBytes);
	}

}
