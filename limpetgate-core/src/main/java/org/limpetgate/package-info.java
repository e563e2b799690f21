/**
 * Value types that every part of the dispatcher uses: ids, outcomes and typed errors.
 */
package org.limpetgate;
