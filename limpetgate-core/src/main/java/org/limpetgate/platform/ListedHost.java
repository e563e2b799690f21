package org.limpetgate.platform;

import java.util.Objects;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;

/**
 * An entry host in the platform's host list.
 *
 * @param id the id
 * @param dataCentre the data centre in which it runs
 * @param address the IP address
 * @param port the TCP port
 * @param leaving whether the platform is about to terminate it
 */
public record ListedHost(HostId id, DataCentreId dataCentre, String address, int port, boolean leaving) {

	public ListedHost {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(address, "address");
	}

}
