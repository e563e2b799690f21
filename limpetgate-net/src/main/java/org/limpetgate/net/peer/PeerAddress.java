package org.limpetgate.net.peer;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.limpetgate.HostId;

/**
 * The address at which the {@link PeerServer} of a host listens.
 *
 * @param host the host that is expected at the address
 * @param address the resolved address
 */
public record PeerAddress(HostId host, InetSocketAddress address) {

	public PeerAddress {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(address, "address");
	}

}
