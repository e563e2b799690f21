/**
 * What the adapters to the network share.
 */
package org.limpetgate.net;
