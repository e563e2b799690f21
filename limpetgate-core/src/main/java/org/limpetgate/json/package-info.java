/**
 * Strict JSON reading that reports all problems of a document at once.
 */
package org.limpetgate.json;
