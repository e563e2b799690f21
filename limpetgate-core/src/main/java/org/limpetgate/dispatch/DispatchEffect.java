package org.limpetgate.dispatch;

import org.limpetgate.AttemptId;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.TaskId;
import org.limpetgate.UpstreamId;

/**
 * What a {@link Dispatcher} asks its host to do.
 */
public sealed interface DispatchEffect {

	/**
	 * Starts an attempt at an upstream. The host reports its end with
	 * {@link Dispatcher#attemptEnded}.
	 *
	 * @param attempt the id of the attempt
	 * @param task the task
	 * @param upstream the upstream
	 * @param number 1 for the first attempt of the task, rising by one
	 * @param reason why this upstream was chosen, for the log
	 */
	record StartAttempt(AttemptId attempt, TaskId task, UpstreamId upstream, int number,
			String reason) implements DispatchEffect {
	}

	/**
	 * Aborts an attempt whose result is not needed any more. The host still reports its
	 * end.
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
	 * @param detail what went wrong, empty if complete
	 * @param retryAfterNanos the time after which the caller may come back in
	 * nanoseconds, 0 if there is none
	 * @param winner the attempt whose answer is the task's, null if there is none
	 */
	record TaskEnded(TaskId task, Outcome outcome, ErrorKind error, String detail, long retryAfterNanos,
			AttemptId winner) implements DispatchEffect {
	}

}
