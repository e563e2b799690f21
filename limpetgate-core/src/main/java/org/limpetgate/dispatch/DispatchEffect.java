package org.limpetgate.dispatch;

import org.limpetgate.AttemptId;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.TaskId;
import org.limpetgate.UpstreamId;

/**
 * An action that a {@link Dispatcher} requests from its host.
 */
public sealed interface DispatchEffect {

	/**
	 * Starts an attempt at an upstream. The host reports its end with
	 * {@link Dispatcher#attemptEnded}.
	 *
	 * @param attempt the id of the attempt
	 * @param task the task
	 * @param upstream the upstream
	 * @param number the number of the attempt of the task, from 1
	 * @param reason why this upstream was selected, for the log
	 */
	record StartAttempt(AttemptId attempt, TaskId task, UpstreamId upstream, int number,
			String reason) implements DispatchEffect {
	}

	/**
	 * Aborts an attempt whose result is no longer needed. The host still reports its end.
	 *
	 * @param attempt the id of the attempt
	 */
	record CancelAttempt(AttemptId attempt) implements DispatchEffect {
	}

	/**
	 * Ends a task. Emitted exactly once for each accepted task.
	 *
	 * @param task the task
	 * @param outcome the outcome
	 * @param error the reason, null if complete
	 * @param detail the error message, empty if complete
	 * @param retryAfterNanos the time after which the caller may retry, in nanoseconds, 0
	 * for none
	 * @param completedAttempt the attempt whose response is returned to the caller, null
	 * for none
	 */
	record TaskEnded(TaskId task, Outcome outcome, ErrorKind error, String detail, long retryAfterNanos,
			AttemptId completedAttempt) implements DispatchEffect {
	}

}
