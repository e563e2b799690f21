/**
 * The operators' two tables, routes and pools, and the rules for editing them.
 */
package org.limpetgate.config;
