/**
 * Schedules the tasks of jobs on workers.
 * <p>
 * A set of workers is owned by one scheduler at a time. It fences earlier owners, reads
 * the runs that are present on each worker before it starts any there, and holds leases
 * on its own runs. {@link org.limpetgate.scheduling.Scheduler} combines the systems. None
 * of them does I/O, and time-dependent methods take the current time as a parameter.
 */
package org.limpetgate.scheduling;
