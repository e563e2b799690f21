package org.limpetgate.fleet;

/** The share of the known hosts that a host can reach, itself included. */
public enum Reach {

	/** All. */
	ALL,
	/** More than half, but not all. */
	MOST,
	/** Exactly half. */
	HALF,
	/** Fewer than half. */
	FEW

}
