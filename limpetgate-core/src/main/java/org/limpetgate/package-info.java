/**
 * Value types used throughout the dispatcher: ids, outcomes and typed errors.
 */
package org.limpetgate;
