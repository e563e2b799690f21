/**
 * The HTTP API with which operators edit the tables and monitor the hosts.
 */
package org.limpetgate.host.operator;
