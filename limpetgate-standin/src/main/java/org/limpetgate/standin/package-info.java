/**
 * Stand-ins for the platform and the upstreams for tests and local trials, with fault
 * injection. Not part of the product.
 */
package org.limpetgate.standin;
