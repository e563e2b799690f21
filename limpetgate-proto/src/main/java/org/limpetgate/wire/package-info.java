/**
 * Conversions between the types of the decision library and protobuf messages.
 */
package org.limpetgate.wire;
