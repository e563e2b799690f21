package org.limpetgate.platform;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of live and leaving hosts.
 * <p>
 * The list lags behind by some seconds. Implementations are thread-safe.
 */
public interface HostList {

	/**
	 * Reads the list.
	 * @return the list with its age, or a failure with
	 * {@link org.limpetgate.ErrorKind#PLATFORM_UNAVAILABLE}; never an empty list in place
	 * of a failure
	 */
	CompletableFuture<HostListView> read();

}
