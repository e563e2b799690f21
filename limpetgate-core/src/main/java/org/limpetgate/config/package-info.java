/**
 * The two tables that operators edit, routes and pools, and the rules for editing them.
 */
package org.limpetgate.config;
