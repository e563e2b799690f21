package org.limpetgate.config;

/**
 * A record of the configuration stream.
 */
public sealed interface ConfigurationRecord permits Edit, ConfigurationSnapshot {

}
