package org.limpetgate.config;

/**
 * The kinds of pools.
 */
public enum PoolKind {

	/** HTTP services with slots. */
	RUNNERS,

	/** Hosts on which the platform runs tasks under leases. */
	WORKERS

}
