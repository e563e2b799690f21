/**
 * The coordination of the entry hosts of a fleet: the heartbeats between them, the
 * election of the scheduler, the queues, and the interfaces to the platform's store and
 * workers.
 */
package org.limpetgate.fleet;
