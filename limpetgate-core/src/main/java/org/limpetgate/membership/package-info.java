/**
 * The entry hosts of a data centre and their heartbeats.
 */
package org.limpetgate.membership;
