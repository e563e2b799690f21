/**
 * Simulation and benchmark of the dispatch policy.
 */
package org.limpetgate.bench.dispatch;
