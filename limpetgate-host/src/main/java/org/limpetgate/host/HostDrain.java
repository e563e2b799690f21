package org.limpetgate.host;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoopGroup;
import org.limpetgate.net.http.HttpServer;

/**
 * Waits until a host that is leaving has no work, at most for the drain bound.
 * <p>
 * The final action runs once, on the control thread, which also checks for work. The
 * timers run on the event loops.
 */
final class HostDrain {

	/**
	 * Time for the load balancer to notice that the host is not ready, before the host
	 * stops listening.
	 */
	private static final Duration LOAD_BALANCER_GRACE = Duration.ofSeconds(1);

	private static final long CHECK_INTERVAL_MILLIS = 20;

	private final EventLoopGroup group;

	private final ControlLoop control;

	private final EpochClock clock;

	private final BooleanSupplier drained;

	private final Runnable whenDone;

	private boolean done;

	/**
	 * Creates a drain that has not started.
	 * @param group the event loops
	 * @param control the control thread
	 * @param clock the clock
	 * @param drained tests whether the host has no work, on the control thread
	 * @param whenDone the final action
	 */
	HostDrain(EventLoopGroup group, ControlLoop control, EpochClock clock, BooleanSupplier drained, Runnable whenDone) {
		this.group = group;
		this.control = control;
		this.clock = clock;
		this.drained = drained;
		this.whenDone = whenDone;
	}

	/**
	 * Stops listening for callers after the grace period, and runs the final action once
	 * the host has no work or the bound has passed.
	 * @param callerServer the server for callers
	 * @param bound the longest wait
	 */
	void start(HttpServer callerServer, Duration bound) {
		long deadlineNanos = this.clock.getAsLong() + bound.toNanos();
		this.group.schedule(() -> callerServer.drain().whenComplete((ended, failure) -> awaitDrained(deadlineNanos)),
				LOAD_BALANCER_GRACE.toMillis(), TimeUnit.MILLISECONDS);
		this.group.schedule(() -> this.control.execute(this::finish), bound.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void awaitDrained(long deadlineNanos) {
		this.control.execute(() -> {
			if (this.drained.getAsBoolean() || this.clock.getAsLong() >= deadlineNanos) {
				finish();
			}
			else if (!this.done) {
				this.group.schedule(() -> awaitDrained(deadlineNanos), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
			}
		});
	}

	private void finish() {
		if (!this.done) {
			this.whenDone.run();
			this.done = true;
		}
	}

}
