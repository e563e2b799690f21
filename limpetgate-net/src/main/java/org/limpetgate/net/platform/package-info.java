/**
 * Clients for the services of the platform, over HTTP/1.1.
 */
package org.limpetgate.net.platform;
