package org.limpetgate.dispatch;

import org.limpetgate.PoolName;

/**
 * The state of a pool at this host, for operators.
 *
 * @param pool the pool
 * @param queued number of waiting tasks
 * @param queuedBytes the bytes of their bodies
 * @param inFlight number of running attempts
 * @param capacity the slots, or workers, that this host may use now
 * @param ejected number of upstreams that are ejected or in probation
 * @param expectedWaitNanos the time that the waiting work takes
 * @param retryTokens number of retries and hedges that the budget allows now
 * @param refused number of tasks refused since the start
 */
public record PoolStatus(PoolName pool, int queued, long queuedBytes, int inFlight, int capacity, int ejected,
		long expectedWaitNanos, double retryTokens, long refused) {
}
