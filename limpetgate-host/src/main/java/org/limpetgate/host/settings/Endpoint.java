package org.limpetgate.host.settings;

import java.util.Objects;

/**
 * An IP address with a TCP port.
 *
 * @param address the IP address
 * @param port the port; 0 lets the operating system choose one to listen on
 */
public record Endpoint(String address, int port) {

	public Endpoint {
		Objects.requireNonNull(address, "address");
	}

	@Override
	public String toString() {
		return (this.address.indexOf(':') >= 0) ? "[" + this.address + "]:" + this.port
				: this.address + ":" + this.port;
	}

}
