package org.limpetgate.net.http;

import java.util.concurrent.TimeUnit;

/**
 * The bounds of an {@link HttpServer}.
 *
 * @param maxHeadBytes the largest request head, in bytes
 * @param maxBodyBytes the largest request body, in bytes
 * @param maxConnections the largest number of open connections
 * @param maxBufferedBytes the largest sum of request bytes that are held at the same
 * time, over all connections; answers count against it; buffers grow by doubling and are
 * copied once, so that up to three times as much memory can be in use for a moment
 * @param maxPipelined the largest number of whole requests that wait on one connection
 * @param requestNanos the time for a whole request from its first byte, in nanoseconds
 * @param idleNanos the time without a request after which a connection is closed, in
 * nanoseconds
 * @param answerNanos the time for the caller to take a whole answer, in nanoseconds
 * @param drainGraceNanos the time for which idle connections stay open when draining, in
 * nanoseconds
 * @param lingerNanos the time to wait for the caller to close after the last answer, in
 * nanoseconds
 */
public record HttpServerLimits(int maxHeadBytes, int maxBodyBytes, int maxConnections, long maxBufferedBytes,
		int maxPipelined, long requestNanos, long idleNanos, long answerNanos, long drainGraceNanos, long lingerNanos) {

	/**
	 * Returns the usual limits.
	 * @return limits for hosts with at least 256 MB of heap
	 */
	public static HttpServerLimits defaults() {
		return new HttpServerLimits(16 * 1024, 4 * 1024 * 1024, 4096, 64L * 1024 * 1024, 16,
				TimeUnit.SECONDS.toNanos(10), TimeUnit.SECONDS.toNanos(60), TimeUnit.SECONDS.toNanos(30),
				TimeUnit.SECONDS.toNanos(1), TimeUnit.SECONDS.toNanos(1));
	}

	/**
	 * Returns a copy with other bounds of a single request.
	 * @param maxHeadBytes the largest request head, in bytes
	 * @param maxBodyBytes the largest request body, in bytes
	 * @return the copy, not null
	 */
	public HttpServerLimits withRequestBytes(int maxHeadBytes, int maxBodyBytes) {
		return new HttpServerLimits(maxHeadBytes, maxBodyBytes, this.maxConnections, this.maxBufferedBytes,
				this.maxPipelined, this.requestNanos, this.idleNanos, this.answerNanos, this.drainGraceNanos,
				this.lingerNanos);
	}

	/**
	 * Returns a copy with other bounds over all connections.
	 * @param maxConnections the largest number of open connections
	 * @param maxBufferedBytes the largest sum of request bytes held at the same time
	 * @return the copy, not null
	 */
	public HttpServerLimits withTotals(int maxConnections, long maxBufferedBytes) {
		return new HttpServerLimits(this.maxHeadBytes, this.maxBodyBytes, maxConnections, maxBufferedBytes,
				this.maxPipelined, this.requestNanos, this.idleNanos, this.answerNanos, this.drainGraceNanos,
				this.lingerNanos);
	}

	/**
	 * Returns a copy with other times for a request and for an idle connection.
	 * @param requestNanos the time for a whole request, in nanoseconds
	 * @param idleNanos the time without a request, in nanoseconds
	 * @return the copy, not null
	 */
	public HttpServerLimits withRequestTimes(long requestNanos, long idleNanos) {
		return new HttpServerLimits(this.maxHeadBytes, this.maxBodyBytes, this.maxConnections, this.maxBufferedBytes,
				this.maxPipelined, requestNanos, idleNanos, this.answerNanos, this.drainGraceNanos, this.lingerNanos);
	}

	/**
	 * Returns a copy with other times for the end of a connection.
	 * @param answerNanos the time for the caller to take a whole answer, in nanoseconds
	 * @param drainGraceNanos the time for idle connections when draining, in nanoseconds
	 * @param lingerNanos the time for the caller to close, in nanoseconds
	 * @return the copy, not null
	 */
	public HttpServerLimits withClosingTimes(long answerNanos, long drainGraceNanos, long lingerNanos) {
		return new HttpServerLimits(this.maxHeadBytes, this.maxBodyBytes, this.maxConnections, this.maxBufferedBytes,
				this.maxPipelined, this.requestNanos, this.idleNanos, answerNanos, drainGraceNanos, lingerNanos);
	}

}
