/**
 * The entry host: the control thread and the parts that connect the decision library with
 * the network.
 */
package org.limpetgate.host;
