package org.limpetgate.dispatch;

import org.limpetgate.PoolName;

/**
 * The state of a pool at this host, for operators.
 *
 * @param pool the pool
 * @param queued number of queued tasks
 * @param queuedBytes the size of their bodies, in bytes
 * @param inFlight number of running attempts
 * @param capacity the slots, or workers, in this host's share, without ejected upstreams
 * @param ejected number of upstreams that are ejected or in probation
 * @param expectedWaitNanos the time to process all queued tasks, in nanoseconds
 * @param retryTokens number of retries and hedges that the retry budget allows now
 * @param refused number of tasks refused since the start
 */
public record PoolStatus(PoolName pool, int queued, long queuedBytes, int inFlight, int capacity, int ejected,
		long expectedWaitNanos, double retryTokens, long refused) {
}
