package org.limpetgate.scheduling;

import java.util.Optional;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;

/**
 * Tells in which data centre a host is. Called on the thread of the scheduler.
 */
@FunctionalInterface
public interface HostDataCentres {

	/** The data centre of no host is known. */
	HostDataCentres UNKNOWN = (host) -> Optional.empty();

	/**
	 * Returns the data centre of a host.
	 * @param host the host, not null
	 * @return the data centre, empty if it is not known
	 */
	Optional<DataCentreId> dataCentreOf(HostId host);

}
