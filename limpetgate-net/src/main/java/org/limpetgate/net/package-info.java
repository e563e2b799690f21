/**
 * Code shared by the network adapters.
 */
package org.limpetgate.net;
