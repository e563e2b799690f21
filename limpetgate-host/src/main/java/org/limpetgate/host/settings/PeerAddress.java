package org.limpetgate.host.settings;

import java.util.Objects;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;

/**
 * The endpoint on which an entry host listens for its peers.
 *
 * @param host the host
 * @param dataCentre its data centre
 * @param endpoint its address and port for peers
 */
public record PeerAddress(HostId host, DataCentreId dataCentre, Endpoint endpoint) {

	public PeerAddress {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(endpoint, "endpoint");
	}

}
