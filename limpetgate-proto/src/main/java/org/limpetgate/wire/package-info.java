/**
 * Conversion between the value types of the core and protobuf messages.
 */
package org.limpetgate.wire;
