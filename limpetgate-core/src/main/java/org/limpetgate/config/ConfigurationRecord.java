package org.limpetgate.config;

/**
 * The content of a record of the configuration stream.
 */
public sealed interface ConfigurationRecord permits Edit, ConfigurationSnapshot {

}
