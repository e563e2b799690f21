package org.limpetgate.host.configuration;

/**
 * The clock and the timer of a host. Tests use virtual time.
 * <p>
 * Implementations are thread-safe.
 */
public interface Timer {

	/**
	 * Returns the current time.
	 * @return nanoseconds since the Unix epoch, non-decreasing
	 */
	long nowNanos();

	/**
	 * Runs a task once after a delay, on any thread.
	 * @param delayNanos the delay in nanoseconds, at least 0
	 * @param task the task, not null; it must not block
	 */
	void schedule(long delayNanos, Runnable task);

}
