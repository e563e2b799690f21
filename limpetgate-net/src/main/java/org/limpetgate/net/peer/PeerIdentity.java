package org.limpetgate.net.peer;

import java.util.Objects;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;

/**
 * The identity of one side of a link, authenticated by the handshake.
 *
 * @param incarnation the incarnation of the host
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
