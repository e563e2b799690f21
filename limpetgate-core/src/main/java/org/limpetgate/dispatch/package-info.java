/**
 * The dispatcher of an entry host: queueing, admission control, load balancing, outlier
 * detection, retries and hedging of tasks.
 */
package org.limpetgate.dispatch;
