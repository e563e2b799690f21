package org.limpetgate.net.platform;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of a platform client.
 *
 * @param connectTimeout the longest time to open a connection
 * @param requestTimeout the longest time from the call to the whole answer, including the
 * time to connect, on top of the time that a request asks the platform to wait
 * @param maxConnections the most connections to one address; a request beyond it fails at
 * once as not run
 * @param maxAnswerBytes the largest answer body; a larger one fails the request
 */
public record PlatformClientSettings(Duration connectTimeout, Duration requestTimeout, int maxConnections,
		int maxAnswerBytes) {

	/**
	 * Settings for a platform in the same data centre. The request timeout is below the 2
	 * s within which a submission must be answered when the log is down.
	 */
	public static final PlatformClientSettings DEFAULT = new PlatformClientSettings(Duration.ofMillis(500),
			Duration.ofMillis(1500), 64, 8 * 1024 * 1024);

	public PlatformClientSettings {
		Objects.requireNonNull(connectTimeout, "connectTimeout");
		Objects.requireNonNull(requestTimeout, "requestTimeout");
		if (maxConnections < 1 || maxAnswerBytes < 1) {
			throw new IllegalArgumentException("maxConnections and maxAnswerBytes must be at least 1");
		}
	}

	/**
	 * Returns a copy with another request timeout.
	 * @param requestTimeout the timeout, not null
	 * @return the settings, not null
	 */
	public PlatformClientSettings withRequestTimeout(Duration requestTimeout) {
		return new PlatformClientSettings(this.connectTimeout, requestTimeout, this.maxConnections,
				this.maxAnswerBytes);
	}

	/**
	 * Returns a copy with another limit of connections.
	 * @param maxConnections the most connections to one address, at least 1
	 * @return the settings, not null
	 */
	public PlatformClientSettings withMaxConnections(int maxConnections) {
		return new PlatformClientSettings(this.connectTimeout, this.requestTimeout, maxConnections,
				this.maxAnswerBytes);
	}

	/**
	 * Returns a copy with another limit of answer bodies.
	 * @param maxAnswerBytes the largest answer body, at least 1
	 * @return the settings, not null
	 */
	public PlatformClientSettings withMaxAnswerBytes(int maxAnswerBytes) {
		return new PlatformClientSettings(this.connectTimeout, this.requestTimeout, this.maxConnections,
				maxAnswerBytes);
	}

}
