package org.limpetgate.scheduling;

import java.util.List;

/**
 * Refuses a job whose queueing delay at its arrival exceeds its latest start, and a
 * waiting job some time after its latest start. Not thread-safe.
 */
final class LatestStartRefusal implements RefusalRule {

	static final String MESSAGE = "the queueing delay exceeds the time that the job can wait";

	private final SchedulerTables tables;

	private final Admission admission;

	LatestStartRefusal(SchedulerTables tables, Admission admission) {
		this.tables = tables;
		this.admission = admission;
	}

	@Override
	public Refusal onSubmission(JobEntity job, long nowNanos) {
		long waitNanos = this.admission.queueWaitNanos(job, this.tables.waitingJobs, nowNanos);
		return Admission.shouldRefuseOnArrival(job, waitNanos, nowNanos)
				? new Refusal(job, MESSAGE, Admission.retryAfterNanos(waitNanos)) : null;
	}

	@Override
	public Refusal onLateness(JobEntity job, long nowNanos) {
		return Admission.shouldRefuse(job, nowNanos)
				? new Refusal(job, MESSAGE, Admission.retryAfterNanos(nowNanos - job.arrivalNanos())) : null;
	}

	@Override
	public List<Refusal> afterPlacement(long nowNanos) {
		return List.of();
	}

	@Override
	public long nextCheckNanos() {
		return Long.MAX_VALUE;
	}

}
