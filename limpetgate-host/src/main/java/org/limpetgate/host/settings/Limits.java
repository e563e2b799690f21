package org.limpetgate.host.settings;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds on what callers may send.
 *
 * @param headBytes the most bytes of a request head
 * @param bodyBytes the most bytes of a request body
 * @param connections the most open connections of callers
 * @param requestTime the longest time in which a request must arrive
 */
public record Limits(int headBytes, int bodyBytes, int connections, Duration requestTime) {

	/** Default bound on a request head, in bytes. */
	public static final int DEFAULT_HEAD_BYTES = 32 * 1024;

	/** Default bound on a request body, in bytes: 610 tasks of about 13 KB each. */
	public static final int DEFAULT_BODY_BYTES = 8 * 1024 * 1024;

	/** Default bound on open connections of callers. */
	public static final int DEFAULT_CONNECTIONS = 20_000;

	/** Default time in which a request must arrive. */
	public static final Duration DEFAULT_REQUEST_TIME = Duration.ofSeconds(10);

	/** The default limits. */
	public static final Limits DEFAULT = new Limits(DEFAULT_HEAD_BYTES, DEFAULT_BODY_BYTES, DEFAULT_CONNECTIONS,
			DEFAULT_REQUEST_TIME);

	public Limits {
		Objects.requireNonNull(requestTime, "requestTime");
	}

}
