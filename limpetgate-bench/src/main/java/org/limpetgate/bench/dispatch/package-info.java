/**
 * The experiment that measures the dispatch policy in virtual time.
 */
package org.limpetgate.bench.dispatch;
