package org.limpetgate.dispatch;

import java.util.Objects;

import org.limpetgate.Outcome;

/**
 * How an attempt at an upstream ended.
 *
 * @param outcome what is known about the execution; {@link Outcome#NOT_RUN} only with
 * proof
 * @param runNanos the time from the start of the attempt to its end, in nanoseconds
 * @param leaving whether the upstream announced that it is leaving
 * @param detail what went wrong, empty if complete
 */
public record AttemptResult(Outcome outcome, long runNanos, boolean leaving, String detail) {

	public AttemptResult {
		Objects.requireNonNull(outcome, "outcome");
		Objects.requireNonNull(detail, "detail");
	}

}
