/**
 * Simulation that compares claims and tickets.
 */
package org.limpetgate.bench.submission;
