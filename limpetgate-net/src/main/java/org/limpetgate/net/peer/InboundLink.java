package org.limpetgate.net.peer;

import java.util.Objects;

import org.limpetgate.HostId;

/**
 * A link that this host accepted.
 * <p>
 * A host has one link to each of its peers at a time, so a link with a higher number from
 * the same host supersedes those with lower numbers. Immutable and thread-safe.
 *
 * @param peer the host that opened the link, not null
 * @param number the number of the link, which increases with each link that this process
 * accepts
 */
public record InboundLink(PeerIdentity peer, long number) {

	public InboundLink {
		Objects.requireNonNull(peer, "peer");
	}

	/**
	 * Returns the host that opened the link.
	 * @return the host, not null
	 */
	public HostId host() {
		return this.peer.host();
	}

}
