/**
 * Measurements of the cost of state and messages as a deployment grows.
 */
package org.limpetgate.bench.capacity;
