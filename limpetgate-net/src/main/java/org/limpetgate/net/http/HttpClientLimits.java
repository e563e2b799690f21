package org.limpetgate.net.http;

import java.util.concurrent.TimeUnit;

/**
 * The limits of an {@link HttpClient}.
 *
 * @param maxHeadBytes the largest head of a response, in bytes
 * @param maxBodyBytes the largest body of a response, in bytes
 * @param maxBufferedBytes the limit on buffered response bytes over all connections
 * @param maxConnections the largest number of connections per address
 * @param maxWaiting the largest number of exchanges per address that wait for a
 * connection
 * @param connectNanos the connect timeout, in nanoseconds
 * @param idleNanos the time after which an idle connection is closed, in nanoseconds
 * @param refusalsAsResponses whether a response with status 503 and
 * {@code Limpetgate-Outcome: not-run} completes the exchange like any other response; if
 * false, it fails the exchange with {@link org.limpetgate.Outcome#NOT_RUN}
 */
public record HttpClientLimits(int maxHeadBytes, int maxBodyBytes, long maxBufferedBytes, int maxConnections,
		int maxWaiting, long connectNanos, long idleNanos, boolean refusalsAsResponses) {

	/**
	 * Returns the default limits.
	 * @return limits for hosts with at least 256 MB of heap
	 */
	public static HttpClientLimits defaults() {
		return new HttpClientLimits(16 * 1024, 4 * 1024 * 1024, 64L * 1024 * 1024, 60, 0, TimeUnit.SECONDS.toNanos(1),
				TimeUnit.SECONDS.toNanos(10), false);
	}

	/**
	 * Returns a copy with other size limits of a response.
	 * @param maxHeadBytes the largest head, in bytes
	 * @param maxBodyBytes the largest body, in bytes
	 * @return the copy, not null
	 */
	public HttpClientLimits withResponseBytes(int maxHeadBytes, int maxBodyBytes) {
		return new HttpClientLimits(maxHeadBytes, maxBodyBytes, this.maxBufferedBytes, this.maxConnections,
				this.maxWaiting, this.connectNanos, this.idleNanos, this.refusalsAsResponses);
	}

	/**
	 * Returns a copy with another number of connections.
	 * @param maxConnections the largest number of connections per address
	 * @return the copy, not null
	 */
	public HttpClientLimits withMaxConnections(int maxConnections) {
		return new HttpClientLimits(this.maxHeadBytes, this.maxBodyBytes, this.maxBufferedBytes, maxConnections,
				this.maxWaiting, this.connectNanos, this.idleNanos, this.refusalsAsResponses);
	}

	/**
	 * Returns a copy in which exchanges wait for a connection when all are in use,
	 * instead of failing immediately.
	 * @param maxWaiting the largest number of waiting exchanges per address
	 * @return the copy, not null
	 */
	public HttpClientLimits withMaxWaiting(int maxWaiting) {
		return new HttpClientLimits(this.maxHeadBytes, this.maxBodyBytes, this.maxBufferedBytes, this.maxConnections,
				maxWaiting, this.connectNanos, this.idleNanos, this.refusalsAsResponses);
	}

	/**
	 * Returns a copy with other timeouts.
	 * @param connectNanos the connect timeout, in nanoseconds
	 * @param idleNanos the time after which an idle connection is closed, in nanoseconds
	 * @return the copy, not null
	 */
	public HttpClientLimits withTimeouts(long connectNanos, long idleNanos) {
		return new HttpClientLimits(this.maxHeadBytes, this.maxBodyBytes, this.maxBufferedBytes, this.maxConnections,
				this.maxWaiting, connectNanos, idleNanos, this.refusalsAsResponses);
	}

	/**
	 * Returns a copy with another limit on all buffered responses together.
	 * @param maxBufferedBytes the limit on buffered response bytes over all connections
	 * @return the copy, not null
	 */
	public HttpClientLimits withMaxBufferedBytes(long maxBufferedBytes) {
		return new HttpClientLimits(this.maxHeadBytes, this.maxBodyBytes, maxBufferedBytes, this.maxConnections,
				this.maxWaiting, this.connectNanos, this.idleNanos, this.refusalsAsResponses);
	}

	/**
	 * Returns a copy with another handling of refusals, for clients that read the reason
	 * from the body.
	 * @param refusalsAsResponses whether a refusal completes the exchange instead of
	 * failing it
	 * @return the copy, not null
	 */
	public HttpClientLimits withRefusalsAsResponses(boolean refusalsAsResponses) {
		return new HttpClientLimits(this.maxHeadBytes, this.maxBodyBytes, this.maxBufferedBytes, this.maxConnections,
				this.maxWaiting, this.connectNanos, this.idleNanos, refusalsAsResponses);
	}

}
