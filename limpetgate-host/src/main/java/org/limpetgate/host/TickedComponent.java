package org.limpetgate.host;

/**
 * A part of the entry host that runs on the control thread.
 */
public interface TickedComponent {

	/**
	 * Does what is due.
	 * @param nowNanos the present time, in nanoseconds since the Unix epoch
	 */
	void tick(long nowNanos);

	/**
	 * Returns when the next tick is due if nothing else happens.
	 * @return the time, {@link Long#MAX_VALUE} for none
	 */
	long nextWakeNanos();

}
