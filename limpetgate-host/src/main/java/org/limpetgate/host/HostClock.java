package org.limpetgate.host;

import java.util.function.LongSupplier;

/**
 * The clocks of the machine on which a host runs, in nanoseconds since the Unix epoch.
 * <p>
 * {@link #getAsLong} returns the time by which the host decides. It never decreases, but
 * stands still while the machine is suspended. Implementations are thread-safe.
 */
public interface HostClock extends LongSupplier {

	/**
	 * Returns the wall clock, which advances while the machine is suspended and may be
	 * set forward and back.
	 * @return nanoseconds since the Unix epoch
	 */
	long wallNanos();

}
