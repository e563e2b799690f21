/**
 * The HTTP interface by which operators edit the tables and watch the system.
 */
package org.limpetgate.host.operator;
