package org.limpetgate.platform;

import java.util.Objects;

/**
 * The state of a lease and the answer of its task.
 *
 * @param state the state
 * @param answer the answer, empty unless complete or failed; not to be modified
 * @param runNanos how long the task has run, in nanoseconds
 * @param remainingNanos the time until the lease lapses, in nanoseconds, 0 unless running
 * @param leaving whether the worker announced that it is leaving
 */
public record LeaseStatus(LeaseState state, byte[] answer, long runNanos, long remainingNanos, boolean leaving) {

	public LeaseStatus {
		Objects.requireNonNull(state, "state");
		Objects.requireNonNull(answer, "answer");
	}

}
