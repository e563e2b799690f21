package org.limpetgate.net.http;

import java.util.concurrent.TimeUnit;

/**
 * The bounds of an {@link HttpClient}.
 *
 * @param maxHeadBytes the largest head of an answer, in bytes
 * @param maxBodyBytes the largest body of an answer, in bytes
 * @param maxBufferedBytes the largest sum of answer bytes that are held at the same time
 * @param maxConnections the largest number of connections per address
 * @param maxWaiting how many exchanges per address may wait for one of these connections
 * @param connectNanos the time to open a connection, in nanoseconds
 * @param idleNanos the time after which an unused connection is closed, in nanoseconds
 * @param refusalsAsAnswers whether an answer with status 503 and
 * {@code Limpetgate-Outcome: not-run} completes the exchange as any other answer; if
 * false, it fails the exchange as {@link org.limpetgate.Outcome#NOT_RUN}
 */
public record HttpClientLimits(int maxHeadBytes, int maxBodyBytes, long maxBufferedBytes, int maxConnections,
		int maxWaiting, long connectNanos, long idleNanos, boolean refusalsAsAnswers) {

	/**
	 * Returns the usual limits.
	 * @return limits for hosts with at least 256 MB of heap
	 */
	public static HttpClientLimits defaults() {
		return new HttpClientLimits(16 * 1024, 4 * 1024 * 1024, 64L * 1024 * 1024, 60, 0, TimeUnit.SECONDS.toNanos(1),
				TimeUnit.SECONDS.toNanos(10), false);
	}

	/**
	 * Returns a copy with other bounds of an answer.
	 * @param maxHeadBytes the largest head, in bytes
	 * @param maxBodyBytes the largest body, in bytes
	 * @return the copy, not null
	 */
	public HttpClientLimits withAnswerBytes(int maxHeadBytes, int maxBodyBytes) {
		return new HttpClientLimits(maxHeadBytes, maxBodyBytes, this.maxBufferedBytes, this.maxConnections,
				this.maxWaiting, this.connectNanos, this.idleNanos, this.refusalsAsAnswers);
	}

	/**
	 * Returns a copy with another number of connections.
	 * @param maxConnections the largest number of connections per address
	 * @return the copy, not null
	 */
	public HttpClientLimits withMaxConnections(int maxConnections) {
		return new HttpClientLimits(this.maxHeadBytes, this.maxBodyBytes, this.maxBufferedBytes, maxConnections,
				this.maxWaiting, this.connectNanos, this.idleNanos, this.refusalsAsAnswers);
	}

	/**
	 * Returns a copy in which exchanges wait for a connection when all are in use,
	 * instead of failing at once.
	 * @param maxWaiting how many exchanges per address may wait
	 * @return the copy, not null
	 */
	public HttpClientLimits withMaxWaiting(int maxWaiting) {
		return new HttpClientLimits(this.maxHeadBytes, this.maxBodyBytes, this.maxBufferedBytes, this.maxConnections,
				maxWaiting, this.connectNanos, this.idleNanos, this.refusalsAsAnswers);
	}

	/**
	 * Returns a copy with other times.
	 * @param connectNanos the time to open a connection, in nanoseconds
	 * @param idleNanos the time after which an unused connection is closed, in
	 * nanoseconds
	 * @return the copy, not null
	 */
	public HttpClientLimits withTimes(long connectNanos, long idleNanos) {
		return new HttpClientLimits(this.maxHeadBytes, this.maxBodyBytes, this.maxBufferedBytes, this.maxConnections,
				this.maxWaiting, connectNanos, idleNanos, this.refusalsAsAnswers);
	}

	/**
	 * Returns a copy with another bound of all answers together.
	 * @param maxBufferedBytes the largest sum of answer bytes that are held at the same
	 * time
	 * @return the copy, not null
	 */
	public HttpClientLimits withMaxBufferedBytes(long maxBufferedBytes) {
		return new HttpClientLimits(this.maxHeadBytes, this.maxBodyBytes, maxBufferedBytes, this.maxConnections,
				this.maxWaiting, this.connectNanos, this.idleNanos, this.refusalsAsAnswers);
	}

	/**
	 * Returns a copy with another treatment of refusals, for callers that read the reason
	 * from the body.
	 * @param refusalsAsAnswers whether a refusal completes the exchange
	 * @return the copy, not null
	 */
	public HttpClientLimits withRefusalsAsAnswers(boolean refusalsAsAnswers) {
		return new HttpClientLimits(this.maxHeadBytes, this.maxBodyBytes, this.maxBufferedBytes, this.maxConnections,
				this.maxWaiting, this.connectNanos, this.idleNanos, refusalsAsAnswers);
	}

}
