package org.limpetgate.fleet;

/** How many of the hosts that a host knows it reaches, itself included. */
public enum Reach {

	/** More than half. */
	MOST,
	/** Exactly half. */
	HALF,
	/** Fewer than half. */
	FEW

}
