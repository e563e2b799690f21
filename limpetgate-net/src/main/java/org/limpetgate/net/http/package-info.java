/**
 * HTTP/1.1 server and client over Netty.
 */
package org.limpetgate.net.http;
