package org.limpetgate.dispatch;

/**
 * How {@link SimpleDispatcher} chooses among the upstreams that may take an attempt.
 */
public enum ChoiceRule {

	/** Any. */
	RANDOM,

	/** The one with the fewest attempts in flight from this host. */
	LEAST_IN_FLIGHT,

	/** The one with fewer attempts in flight from this host out of two random ones. */
	POWER_OF_TWO

}
