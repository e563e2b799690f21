/**
 * Keyed jobs, their claims, tickets and results.
 */
package org.limpetgate.submission;
