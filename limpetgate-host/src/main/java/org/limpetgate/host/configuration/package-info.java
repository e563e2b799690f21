/**
 * Keeps the tables of an entry host (routes and pools) up to date from the configuration
 * stream and the peers.
 */
package org.limpetgate.host.configuration;
