/**
 * Authenticated links between entry hosts.
 */
package org.limpetgate.net.peer;
