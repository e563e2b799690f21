/**
 * Interfaces to the services of the platform: host list, log and workers.
 */
package org.limpetgate.platform;
