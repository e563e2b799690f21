package org.limpetgate.host.configuration;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;

import com.google.common.flogger.FluentLogger;

/**
 * Runs and schedules tasks on the control thread. Tasks that are due after
 * {@link #stop()} are discarded.
 */
final class ControlExecutor implements Executor {

	private static final FluentLogger log = FluentLogger.forEnclosingClass();

	private final Executor thread;

	private final Timer timer;

	private volatile boolean stopped;

	ControlExecutor(Executor thread, Timer timer) {
		this.thread = Objects.requireNonNull(thread, "thread");
		this.timer = Objects.requireNonNull(timer, "timer");
	}

	long nowNanos() {
		return this.timer.nowNanos();
	}

	@Override
	public void execute(Runnable task) {
		this.thread.execute(() -> {
			if (!this.stopped) {
				run(task);
			}
		});
	}

	/**
	 * Runs an action on the control thread when a future completes. Unlike an action that
	 * is registered with the future itself, an action that throws is reported on the
	 * control thread.
	 * @param <T> the type of the value
	 * @param future the future
	 * @param action receives the value or the failure
	 */
	<T> void whenComplete(CompletableFuture<T> future, BiConsumer<T, Throwable> action) {
		future.whenComplete((value, failure) -> execute(() -> action.accept(value, failure)));
	}

	private static void run(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			log.atSevere()
				.withCause(ex)
				.log("LG2108 CONFIGURATION_FAULT unexpected exception in the configuration service");
			throw ex;
		}
	}

	void schedule(long delayNanos, Runnable task) {
		if (!this.stopped) {
			this.timer.schedule(delayNanos, () -> execute(task));
		}
	}

	void schedulePeriodically(long periodNanos, Runnable task) {
		schedule(periodNanos, () -> {
			schedulePeriodically(periodNanos, task);
			task.run();
		});
	}

	void stop() {
		this.stopped = true;
	}

}
