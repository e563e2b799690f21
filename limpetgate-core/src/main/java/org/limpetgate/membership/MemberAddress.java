package org.limpetgate.membership;

import java.util.Objects;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;

/**
 * The address at which an entry host accepts connections of its peers.
 *
 * @param host the host
 * @param dataCentre the data centre of the host
 * @param address the IP address
 * @param port the TCP port
 */
public record MemberAddress(HostId host, DataCentreId dataCentre, String address, int port) {

	public MemberAddress {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(address, "address");
	}

}
