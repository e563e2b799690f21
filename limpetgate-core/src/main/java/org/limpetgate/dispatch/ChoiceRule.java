package org.limpetgate.dispatch;

/**
 * The rules by which {@link SimpleDispatcher} selects one of the available upstreams.
 */
public enum ChoiceRule {

	/** A random upstream. */
	RANDOM,

	/** The upstream with the fewest attempts in flight from this host. */
	LEAST_IN_FLIGHT,

	/** Of two random upstreams, the one with fewer attempts in flight from this host. */
	POWER_OF_TWO

}
