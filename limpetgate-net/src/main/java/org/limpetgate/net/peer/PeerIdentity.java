package org.limpetgate.net.peer;

import java.util.Objects;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;

/**
 * Who is at one end of a link, as proved by the handshake.
 *
 * @param incarnation the run of the process
 * @param dataCentre the data centre of the host
 */
public record PeerIdentity(Incarnation incarnation, DataCentreId dataCentre) {

	public PeerIdentity {
		Objects.requireNonNull(incarnation, "incarnation");
		Objects.requireNonNull(dataCentre, "dataCentre");
	}

	/**
	 * Returns the host.
	 * @return the host, not null
	 */
	public HostId host() {
		return this.incarnation.host();
	}

}
