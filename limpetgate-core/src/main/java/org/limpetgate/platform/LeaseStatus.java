package org.limpetgate.platform;

import java.util.Objects;

/**
 * The state of a lease and the response of its task.
 *
 * @param state the state
 * @param response the response body, empty unless complete or failed; not to be modified
 * @param runNanos the run time of the task so far, in nanoseconds
 * @param remainingNanos the time until the lease expires, in nanoseconds, 0 unless
 * running
 * @param leaving whether the worker has announced that it is leaving
 */
public record LeaseStatus(LeaseState state, byte[] response, long runNanos, long remainingNanos, boolean leaving) {

	public LeaseStatus {
		Objects.requireNonNull(state, "state");
		Objects.requireNonNull(response, "answer");
	}

}
