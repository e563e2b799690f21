package org.limpetgate.host.fleet;

import java.util.concurrent.TimeUnit;

import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.RequestId;
import org.limpetgate.host.EventLog;
import org.limpetgate.host.HostMetrics;
import org.limpetgate.host.LogEvent;
import org.limpetgate.scheduling.JobSpec;
import org.limpetgate.scheduling.SchedulingEffect;

/**
 * Logs the events of jobs, and records ended jobs in the metrics. Thread-safe.
 */
final class JobEvents {

	private final EventLog log;

	private final HostMetrics metrics;

	JobEvents(EventLog log, HostMetrics metrics) {
		this.log = log;
		this.metrics = metrics;
	}

	void accepted(JobSpec spec, RequestId request) {
		this.log.write(LogEvent.JOB_ACCEPTED, spec.id(), spec.queue(), spec.taskCount(),
				spec.steps().get(0).estimatedNanos() / 1_000_000, request);
	}

	void joined(JobId job, RequestId request) {
		this.log.write(LogEvent.JOB_JOINED, job, request);
	}

	void resubmissionScheduled(JobId job, HostId scheduler, String reason) {
		this.log.write(LogEvent.JOB_TAKEN_BACK, job, scheduler, reason);
	}

	void withdrawn(JobId job) {
		this.log.write(LogEvent.JOB_WITHDRAWN, job);
	}

	void refused(SchedulingEffect.JobRefused refused) {
		this.metrics.jobRefused(refused.queue(), refused.reason());
		this.log.write(LogEvent.JOB_REFUSED, refused.job(), refused.queue(), refused.reason(),
				TimeUnit.NANOSECONDS.toMillis(refused.projectedDelayNanos()),
				TimeUnit.NANOSECONDS.toMillis(refused.limitNanos()), refused.workAheadCoreMillis(),
				refused.waitingJobs(), TimeUnit.NANOSECONDS.toMillis(refused.sinceServableNanos()),
				TimeUnit.NANOSECONDS.toSeconds(refused.retryAfterNanos()));
	}

	void ended(JobId job, JobAnswer answer, long durationNanos, HostId scheduler) {
		this.metrics.jobEnded(answer.outcome(), durationNanos);
		this.log.write(LogEvent.JOB_ENDED, job, answer.outcome(), durationNanos / 1_000_000, scheduler,
				answer.reason());
	}

}
