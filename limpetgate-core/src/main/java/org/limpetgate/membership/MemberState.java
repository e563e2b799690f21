package org.limpetgate.membership;

/**
 * The state of another entry host, as seen by this host.
 */
public enum MemberState {

	/** Known only from the settings or the host list; no heartbeat has been received. */
	LISTED,

	/** A heartbeat was recently received, or reported by a live peer. */
	JOINED,

	/** No heartbeat within the suspect timeout; the host may be paused or unreachable. */
	SUSPECT,

	/** No heartbeat within the dead timeout. */
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
