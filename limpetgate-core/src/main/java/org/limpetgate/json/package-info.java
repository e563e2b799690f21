/**
 * Strict reading of JSON with all problems of a document reported at once.
 */
package org.limpetgate.json;
