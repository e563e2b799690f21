/**
 * The entry host of a fleet that schedules jobs on shared workers. It accepts jobs from
 * callers, submits them to the host that schedules, and schedules the jobs of all hosts
 * itself when it is elected.
 */
package org.limpetgate.host.fleet;
