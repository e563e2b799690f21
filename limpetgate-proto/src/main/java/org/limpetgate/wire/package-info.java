/**
 * Conversion between the core's values and the protobuf messages.
 */
package org.limpetgate.wire;
