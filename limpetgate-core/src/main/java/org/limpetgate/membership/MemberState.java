package org.limpetgate.membership;

/**
 * The state of another entry host, as far as this host can tell.
 */
public enum MemberState {

	/** Known only from the settings or the host list; no heartbeat has been received. */
	LISTED,

	/** A heartbeat was received recently, directly or by a live peer. */
	JOINED,

	/** No heartbeat for a while; the host may be paused or unreachable. */
	SUSPECT,

	/** No heartbeat for a long time, or replaced by a later incarnation. */
	DEAD,

	/** The host announced that it is leaving and accepts no new work. */
	LEAVING;

	/**
	 * Tests whether work may be forwarded to the host.
	 * @return true if joined
	 */
	public boolean isServing() {
		return this == JOINED;
	}

	/**
	 * Tests whether the host may still have work in flight at upstreams.
	 * @return true if joined, suspect or leaving
	 */
	public boolean mayHaveWorkInFlight() {
		return this == JOINED || this == SUSPECT || this == LEAVING;
	}

}
