package org.limpetgate.host;

/**
 * A component of the entry host that runs on the control thread.
 */
public interface TickedComponent {

	/**
	 * Performs the work that is due.
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 */
	void tick(long nowNanos);

	/**
	 * Returns when the next tick is due if no message arrives before.
	 * @return the time, {@link Long#MAX_VALUE} for none
	 */
	long nextWakeNanos();

}
