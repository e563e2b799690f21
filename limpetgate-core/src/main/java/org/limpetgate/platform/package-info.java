/**
 * Interfaces to the services of the platform.
 */
package org.limpetgate.platform;
