/**
 * Measurements of claims and tickets.
 */
package org.limpetgate.bench.submission;
