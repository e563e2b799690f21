package org.limpetgate.membership;

/**
 * What a host believes about another entry host.
 */
public enum MemberState {

	/** Known from settings or the host list only; never heard from. */
	LISTED,

	/** Heard from recently, or by a live peer. */
	JOINED,

	/** Not heard from for a while; it may be paused or cut off. */
	SUSPECT,

	/** Not heard from for long, or replaced by a later incarnation. */
	DEAD,

	/** It announced that it is leaving and takes no new work. */
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
	public boolean isHoldingCapacity() {
		return this == JOINED || this == SUSPECT || this == LEAVING;
	}

}
