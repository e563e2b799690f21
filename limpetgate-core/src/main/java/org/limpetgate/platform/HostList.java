package org.limpetgate.platform;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of live and leaving hosts and upstreams.
 * <p>
 * The list is out of date by some seconds. Implementations are thread-safe.
 */
public interface HostList {

	/**
	 * Reads the list.
	 * @return the list with its age, or a failure with
	 * {@link org.limpetgate.ErrorKind#PLATFORM_UNAVAILABLE}; a failure is never reported
	 * as an empty list
	 */
	CompletableFuture<HostListView> read();

}
