/**
 * Strict JSON reading that reports all problems of a document in one pass.
 */
package org.limpetgate.json;
