package org.limpetgate.host.settings;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits on the requests of callers.
 *
 * @param headBytes the maximum size of a request head in bytes
 * @param bodyBytes the maximum size of a request body in bytes
 * @param connections the maximum number of open connections of callers
 * @param requestTime the time within which a request must have arrived
 */
public record Limits(int headBytes, int bodyBytes, int connections, Duration requestTime) {

	/** Default limit on a request head, in bytes. */
	public static final int DEFAULT_HEAD_BYTES = 32 * 1024;

	/** Default limit on a request body, in bytes: 610 tasks of about 13 KB each. */
	public static final int DEFAULT_BODY_BYTES = 8 * 1024 * 1024;

	/** Default limit on open connections of callers. */
	public static final int DEFAULT_CONNECTIONS = 20_000;

	/** Default time within which a request must have arrived. */
	public static final Duration DEFAULT_REQUEST_TIME = Duration.ofSeconds(10);

	/** The default limits. */
	public static final Limits DEFAULT = new Limits(DEFAULT_HEAD_BYTES, DEFAULT_BODY_BYTES, DEFAULT_CONNECTIONS,
			DEFAULT_REQUEST_TIME);

	public Limits {
		Objects.requireNonNull(requestTime, "requestTime");
	}

}
