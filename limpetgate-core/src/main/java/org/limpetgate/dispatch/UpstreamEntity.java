package org.limpetgate.dispatch;

import org.limpetgate.Resources;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.Upstream;

/**
 * An upstream of the own data centre.
 */
final class UpstreamEntity {

	final UpstreamId id;

	Upstream row;

	/** The most attempts that this host may have in flight here. */
	int limit;

	int inFlight;

	/** What the attempts in flight hold at a worker. */
	Resources booked = Resources.NONE;

	boolean leaving;

	/** Whether the configuration lists the upstream. */
	boolean listed;

	UpstreamEntity(Upstream row) {
		this.id = row.id();
		this.row = row;
	}

	boolean isOpen() {
		return this.listed && !this.leaving && this.inFlight < this.limit;
	}

}
