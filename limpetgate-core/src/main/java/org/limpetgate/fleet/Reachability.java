package org.limpetgate.fleet;

/** The share of the known hosts that a host can reach, itself included. */
public enum Reachability {

	/** All. */
	ALL,
	/** More than half, but not all. */
	MAJORITY,
	/** Exactly half. */
	HALF,
	/** Fewer than half. */
	MINORITY

}
