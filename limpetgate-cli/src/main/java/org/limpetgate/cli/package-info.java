/**
 * The command line.
 */
package org.limpetgate.cli;
