/**
 * Ordering, limiting, placing and retrying tasks.
 */
package org.limpetgate.dispatch;
