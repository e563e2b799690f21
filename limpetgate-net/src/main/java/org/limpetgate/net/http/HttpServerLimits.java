package org.limpetgate.net.http;

import java.util.concurrent.TimeUnit;

/**
 * The limits of an {@link HttpServer}.
 *
 * @param maxHeadBytes the largest request head, in bytes
 * @param maxBodyBytes the largest request body, in bytes
 * @param maxConnections the largest number of open connections
 * @param maxBufferedBytes the limit on buffered request bytes over all connections;
 * responses count towards it; buffers grow by doubling and are copied once, so that up to
 * three times as much memory can be in use for a short time
 * @param maxPipelined the largest number of complete requests that wait on one connection
 * @param requestNanos the time limit for receiving a complete request, from its first
 * byte, in nanoseconds
 * @param idleNanos the time without a request after which a connection is closed, in
 * nanoseconds
 * @param responseNanos the time limit for writing a complete response to the caller, in
 * nanoseconds
 * @param drainGraceNanos the time for which idle connections stay open when draining, in
 * nanoseconds
 * @param lingerNanos the time to wait for the caller to close after the last response, in
 * nanoseconds
 */
public record HttpServerLimits(int maxHeadBytes, int maxBodyBytes, int maxConnections, long maxBufferedBytes,
		int maxPipelined, long requestNanos, long idleNanos, long responseNanos, long drainGraceNanos,
		long lingerNanos) {

	/**
	 * Returns the default limits.
	 * @return limits for hosts with at least 256 MB of heap
	 */
	public static HttpServerLimits defaults() {
		return new HttpServerLimits(16 * 1024, 4 * 1024 * 1024, 4096, 64L * 1024 * 1024, 16,
				TimeUnit.SECONDS.toNanos(10), TimeUnit.SECONDS.toNanos(60), TimeUnit.SECONDS.toNanos(30),
				TimeUnit.SECONDS.toNanos(1), TimeUnit.SECONDS.toNanos(1));
	}

	/**
	 * Returns a copy with other size limits of a single request.
	 * @param maxHeadBytes the largest request head, in bytes
	 * @param maxBodyBytes the largest request body, in bytes
	 * @return the copy, not null
	 */
	public HttpServerLimits withRequestBytes(int maxHeadBytes, int maxBodyBytes) {
		return new HttpServerLimits(maxHeadBytes, maxBodyBytes, this.maxConnections, this.maxBufferedBytes,
				this.maxPipelined, this.requestNanos, this.idleNanos, this.responseNanos, this.drainGraceNanos,
				this.lingerNanos);
	}

	/**
	 * Returns a copy with other limits over all connections.
	 * @param maxConnections the largest number of open connections
	 * @param maxBufferedBytes the limit on buffered request bytes over all connections
	 * @return the copy, not null
	 */
	public HttpServerLimits withTotalLimits(int maxConnections, long maxBufferedBytes) {
		return new HttpServerLimits(this.maxHeadBytes, this.maxBodyBytes, maxConnections, maxBufferedBytes,
				this.maxPipelined, this.requestNanos, this.idleNanos, this.responseNanos, this.drainGraceNanos,
				this.lingerNanos);
	}

	/**
	 * Returns a copy with other timeouts of a request and of an idle connection.
	 * @param requestNanos the time limit for receiving a complete request, in nanoseconds
	 * @param idleNanos the time without a request after which a connection is closed, in
	 * nanoseconds
	 * @return the copy, not null
	 */
	public HttpServerLimits withRequestTimes(long requestNanos, long idleNanos) {
		return new HttpServerLimits(this.maxHeadBytes, this.maxBodyBytes, this.maxConnections, this.maxBufferedBytes,
				this.maxPipelined, requestNanos, idleNanos, this.responseNanos, this.drainGraceNanos, this.lingerNanos);
	}

	/**
	 * Returns a copy with other timeouts for the end of a connection.
	 * @param responseNanos the time limit for writing a complete response to the caller,
	 * in nanoseconds
	 * @param drainGraceNanos the time for which idle connections stay open when draining,
	 * in nanoseconds
	 * @param lingerNanos the time to wait for the caller to close after the last
	 * response, in nanoseconds
	 * @return the copy, not null
	 */
	public HttpServerLimits withClosingTimes(long responseNanos, long drainGraceNanos, long lingerNanos) {
		return new HttpServerLimits(this.maxHeadBytes, this.maxBodyBytes, this.maxConnections, this.maxBufferedBytes,
				this.maxPipelined, this.requestNanos, this.idleNanos, responseNanos, drainGraceNanos, lingerNanos);
	}

}
