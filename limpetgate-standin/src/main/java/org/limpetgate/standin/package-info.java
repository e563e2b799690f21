/**
 * Stand-ins for the platform and the upstreams, with faults that tests and operators can
 * set. Not part of the product.
 */
package org.limpetgate.standin;
