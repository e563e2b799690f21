/**
 * Conversions between the types of limpetgate-core and protobuf messages.
 */
package org.limpetgate.wire;
