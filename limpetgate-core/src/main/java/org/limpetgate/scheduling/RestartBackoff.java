package org.limpetgate.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * The exponential backoff with which a perpetual task is restarted. Has no state.
 */
final class RestartBackoff {

	private static final long MIN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final int MAX_DOUBLINGS = 4;

	/** A task that ran for longer than this is restarted without delay. */
	private static final long STABLE_RUN_NANOS = TimeUnit.SECONDS.toNanos(5);

	private RestartBackoff() {
	}

	// Sets when a task whose run has ended may start again.
	static void apply(TaskEntity task, long runNanos, long nowNanos) {
		if (runNanos > STABLE_RUN_NANOS) {
			task.restarts = 0;
		}
		long delay = (task.restarts == 0) ? 0 : MIN_DELAY_NANOS << Math.min(task.restarts - 1, MAX_DOUBLINGS);
		task.restarts++;
		task.notBeforeNanos = nowNanos + delay;
	}

}
