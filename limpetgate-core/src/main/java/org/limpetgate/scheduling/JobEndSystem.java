package org.limpetgate.scheduling;

import org.limpetgate.HostId;
import org.limpetgate.scheduling.SchedulingEffect.StopRun;

/**
 * Ends jobs: stops their runs, and answers the hosts that wait for them or has the end
 * saved.
 * <p>
 * Invariants: a job that is not stored leaves the tables when it ends; a stored job stays
 * there until its end is saved. Not thread-safe.
 */
final class JobEndSystem {

	private final SchedulerTables tables;

	private final StoredJobSystem storedJobs;

	private final RunSystem runs;

	JobEndSystem(SchedulerTables tables, StoredJobSystem storedJobs, RunSystem runs) {
		this.tables = tables;
		this.storedJobs = storedJobs;
		this.runs = runs;
	}

	void refuse(RefusalRule.Refusal refusal, long nowNanos) {
		end(refusal.job(), JobOutcome.REFUSED, refusal.message(), refusal.retryAfterNanos(), nowNanos);
	}

	void end(JobEntity job, JobOutcome outcome, String reason, long nowNanos) {
		end(job, outcome, reason, 0, nowNanos);
	}

	private void end(JobEntity job, JobOutcome outcome, String reason, long retryAfterNanos, long nowNanos) {
		if (job.spec().stored()) {
			endStored(job, (outcome == JobOutcome.FAILED) ? StoredState.FAILED : StoredState.COMPLETED, nowNanos);
			return;
		}
		this.tables.jobs.remove(job.id());
		this.tables.waitingJobs.remove(job);
		job.end(this.tables.heartbeats, nowNanos);
		stopRuns(job, (outcome != null) ? StopRun.Reason.JOB_ENDED : StopRun.Reason.JOB_WITHDRAWN, nowNanos);
		if (outcome != null) {
			notifyOrigins(job, outcome, reason, retryAfterNanos);
		}
	}

	void endStored(JobEntity job, StoredState state, long nowNanos) {
		this.tables.waitingJobs.remove(job);
		job.end(this.tables.heartbeats, nowNanos);
		stopRuns(job, StopRun.Reason.JOB_ENDED, nowNanos);
		job.endChange = this.storedJobs.jobEnded(job, state, nowNanos);
	}

	void stopRuns(JobEntity job, StopRun.Reason reason, long nowNanos) {
		job.runs().forEach((run) -> this.runs.stop(run, reason, nowNanos));
	}

	void notifyOrigins(JobEntity job, JobOutcome outcome, String reason, long retryAfterNanos) {
		for (HostId origin : job.origins) {
			this.tables.emit(new SchedulingEffect.JobEnded(origin, job.id(), outcome, reason, retryAfterNanos));
		}
	}

}
