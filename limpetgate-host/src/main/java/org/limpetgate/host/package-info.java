/**
 * The entry host: the control thread and the components that connect the core library
 * with the network.
 */
package org.limpetgate.host;
