package org.limpetgate.host.fleet;

import java.util.HashMap;
import java.util.Map;

import org.limpetgate.HostId;
import org.limpetgate.Incarnation;

/**
 * The present incarnation of each peer, as the handshakes of the links show it.
 * <p>
 * An incarnation that another one of its host has replaced has ended. What becomes known
 * of it later, such as the loss of a link to it, says nothing about the present one.
 * Numbers are only compared for equality, since the clock of a machine may be set back
 * between two starts. Not thread-safe.
 */
final class PeerIncarnations {

	private final Map<HostId, Incarnation> present = new HashMap<>();

	private final Map<HostId, Incarnation> former = new HashMap<>();

	/**
	 * Records an incarnation that a handshake has shown. A handshake with the former
	 * incarnation that completes late is ignored.
	 * @param incarnation the incarnation, not null
	 * @return true if it replaces another one, which has ended
	 */
	boolean seen(Incarnation incarnation) {
		if (isPresent(incarnation) || incarnation.equals(this.former.get(incarnation.host()))) {
			return false;
		}
		Incarnation replaced = this.present.put(incarnation.host(), incarnation);
		if (replaced == null) {
			return false;
		}
		this.former.put(incarnation.host(), replaced);
		return true;
	}

	/**
	 * Tests whether an incarnation is the newest one that is known of its host.
	 * @param incarnation the incarnation, not null
	 * @return true if it is
	 */
	boolean isPresent(Incarnation incarnation) {
		return incarnation.equals(this.present.get(incarnation.host()));
	}

}
