package org.limpetgate.fleet;

/** How many of the hosts that a host knows it reaches, itself included. */
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
