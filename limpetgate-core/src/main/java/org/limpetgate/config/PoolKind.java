package org.limpetgate.config;

/**
 * The kinds of pools.
 */
public enum PoolKind {

	/** HTTP services that handle a fixed number of concurrent requests (slots). */
	RUNNERS,

	/** Hosts on which the platform runs tasks under leases. */
	WORKERS

}
