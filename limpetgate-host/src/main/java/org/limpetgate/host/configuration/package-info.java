/**
 * Keeps the tables of an entry host in step with the configuration stream and the peers.
 */
package org.limpetgate.host.configuration;
