package org.limpetgate.host.fleet;

import org.limpetgate.host.HostMetrics;
import org.limpetgate.scheduling.Scheduler;

/**
 * Registers the gauges of a scheduler. They show 0, or what was last known, while the
 * host does not schedule.
 */
final class SchedulerGauges {

	private static final double NANOS_PER_SECOND = 1e9;

	private SchedulerGauges() {
	}

	static void register(HostMetrics metrics, Scheduler scheduler) {
		metrics.gauge("limpetgate.scheduling", "1 while this host schedules", () -> scheduler.isActive() ? 1 : 0);
		metrics.gauge("limpetgate.jobs.waiting", "Jobs that wait for room on a worker, where this host schedules",
				scheduler::waitingJobs);
		metrics.gauge("limpetgate.runs.moved", "Runs stopped to start their tasks on other workers",
				scheduler::movedRuns);
		metrics.gauge("limpetgate.runs.moved.wasted", "Work wasted by moves of runs, in core seconds",
				() -> scheduler.wastedCoreNanos() / NANOS_PER_SECOND);
		metrics.gauge("limpetgate.workers.slow", "Workers that count as slow, where this host schedules",
				scheduler::slowWorkers);
		metrics.gauge("limpetgate.workers.speed.changes", "Sudden changes of the speeds of workers",
				scheduler::speedChanges);
	}

}
