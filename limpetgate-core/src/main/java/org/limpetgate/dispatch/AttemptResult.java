package org.limpetgate.dispatch;

import java.util.Objects;

import org.limpetgate.Outcome;

/**
 * The result of an attempt at an upstream.
 *
 * @param outcome what is known about the execution; {@link Outcome#NOT_RUN} only if the
 * attempt is proved not to have run
 * @param runNanos the time from the start of the attempt to its end, in nanoseconds
 * @param leaving whether the upstream announced that it is leaving
 * @param detail the error, empty if complete
 */
public record AttemptResult(Outcome outcome, long runNanos, boolean leaving, String detail) {

	public AttemptResult {
		Objects.requireNonNull(outcome, "outcome");
		Objects.requireNonNull(detail, "detail");
	}

}
