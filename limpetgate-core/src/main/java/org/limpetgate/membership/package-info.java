/**
 * Failure detection among the entry hosts, by heartbeats within a data centre and digests
 * between data centres.
 */
package org.limpetgate.membership;
