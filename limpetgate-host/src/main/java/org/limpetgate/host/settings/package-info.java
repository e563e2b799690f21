/**
 * The settings of an entry host.
 */
package org.limpetgate.host.settings;
