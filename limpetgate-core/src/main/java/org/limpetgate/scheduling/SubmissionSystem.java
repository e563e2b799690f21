package org.limpetgate.scheduling;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.limpetgate.HostId;

/**
 * Takes jobs from their hosts and from the job store: refuses them, or admits them and
 * adopts the runs that an earlier scheduler left.
 * <p>
 * Invariants: no task of a refused job has started; a stored job waits for workers only
 * after its acceptance is saved; a task of a job that an earlier scheduler may hold
 * starts only after the workers are verified. Not thread-safe.
 */
final class SubmissionSystem {

	/**
	 * The limit of open jobs above which stored jobs are refused; more would not fit into
	 * the memory of a host.
	 */
	private static final int MAX_STORED_JOBS = 20_000;

	private final SchedulerTables tables;

	private final Admission admission;

	private final RefusalRule refusals;

	private final StoredJobSystem storedJobs;

	private final RunSystem runs;

	private final CrashSystem crashes;

	private final JobEndSystem jobEnds;

	private long nextSequence;

	SubmissionSystem(SchedulerTables tables, Admission admission, RefusalRule refusals, StoredJobSystem storedJobs,
			RunSystem runs, CrashSystem crashes, JobEndSystem jobEnds) {
		this.tables = tables;
		this.admission = admission;
		this.refusals = refusals;
		this.storedJobs = storedJobs;
		this.runs = runs;
		this.crashes = crashes;
		this.jobEnds = jobEnds;
	}

	void submit(HostId origin, JobSpec spec, long waitedNanos, long remainingNanos, EarlierSubmission earlier,
			long nowNanos) {
		JobEntity existing = this.tables.jobs.get(spec.id());
		if (spec.stored()) {
			submitStored(origin, spec, existing, waitedNanos, nowNanos);
			return;
		}
		if (existing != null) {
			existing.origins.add(origin);
			recordEarlierSubmission(existing, earlier, nowNanos);
			return;
		}
		JobEntity job = new JobEntity(spec, this.nextSequence++, nowNanos - waitedNanos);
		job.origins.add(origin);
		boolean resubmitted = earlier.mayHaveRun();
		this.admission.computeTimes(job, remainingNanos, nowNanos);
		if (!resubmitted && !this.admission.isFeasible(spec)) {
			refuseInfeasible(job);
			return;
		}
		RefusalRule.Refusal refusal = resubmitted ? null : this.refusals.onSubmission(job, nowNanos);
		if (refusal != null) {
			this.jobEnds.notifyOrigins(job, JobOutcome.REFUSED, refusal.message(), refusal.retryAfterNanos());
			return;
		}
		this.tables.jobs.put(spec.id(), job);
		this.tables.waitingJobs.add(job);
		recordEarlierSubmission(job, earlier, nowNanos);
		this.runs.adoptRuns(job, nowNanos);
		this.tables.placementDue = true;
	}

	private void recordEarlierSubmission(JobEntity job, EarlierSubmission earlier, long nowNanos) {
		if (earlier.mayHaveRun()) {
			job.resubmitted = true;
			job.handedOverNanos = Math.max(job.handedOverNanos, nowNanos + earlier.heldNanos());
			job.earlierListNanos = Math.min(job.earlierListNanos, nowNanos - earlier.listAgeNanos());
			verifyWorkers(nowNanos);
		}
	}

	private void refuseInfeasible(JobEntity job) {
		this.jobEnds.notifyOrigins(job, JobOutcome.REFUSED, Admission.INFEASIBLE, Admission.MAX_RETRY_AFTER_NANOS);
	}

	private void verifyWorkers(long nowNanos) {
		this.tables.verifySinceNanos = nowNanos;
		this.tables.scanDue = true;
	}

	private void submitStored(HostId origin, JobSpec spec, JobEntity existing, long waitedNanos, long nowNanos) {
		JobEntity job = (existing != null) ? existing
				: new JobEntity(spec, this.nextSequence++, nowNanos - waitedNanos);
		job.origins.add(origin);
		if (this.storedJobs.hasEnded(spec.id()) || job.acceptanceSaved) {
			notifyAccepted(job);
		}
		else if (!this.storedJobs.isLoaded()) {
			this.jobEnds.notifyOrigins(job, JobOutcome.REFUSED, "the job store is unavailable",
					TimeUnit.SECONDS.toNanos(1));
		}
		else if (existing == null && this.tables.jobs.size() >= MAX_STORED_JOBS) {
			this.jobEnds.notifyOrigins(job, JobOutcome.REFUSED, "too many jobs are open",
					Admission.MAX_RETRY_AFTER_NANOS);
		}
		else if (existing == null && !this.admission.isFeasible(spec)) {
			refuseInfeasible(job);
		}
		else if (existing == null) {
			this.admission.computeTimes(job, 0, nowNanos);
			this.tables.jobs.put(spec.id(), job);
			this.storedJobs.saveAcceptance(job, (savedNanos) -> acceptanceSaved(job));
		}
	}

	private void acceptanceSaved(JobEntity job) {
		if (!job.acceptanceSaved && !job.ended) {
			this.tables.waitingJobs.add(job);
			this.tables.placementDue = true;
		}
		job.acceptanceSaved = true;
		notifyAccepted(job);
	}

	private void notifyAccepted(JobEntity job) {
		this.jobEnds.notifyOrigins(job, JobOutcome.ACCEPTED, "", 0);
		job.origins.clear();
	}

	// Takes over the stored jobs that an earlier scheduler left.
	void loadStoredJobs(List<StoredJob> stored, long nowNanos) {
		this.storedJobs.load(stored.stream().filter((job) -> job.progress().state() != StoredState.OPEN).toList(),
				nowNanos);
		for (StoredJob storedJob : stored) {
			if (storedJob.progress().state() == StoredState.OPEN && storedJob.spec() != null) {
				restore(storedJob, nowNanos);
			}
		}
		this.runs.applyDeferredEnds(nowNanos);
		verifyWorkers(nowNanos);
		this.tables.placementDue = true;
	}

	private void restore(StoredJob storedJob, long nowNanos) {
		JobEntity job = new JobEntity(storedJob.spec(), this.nextSequence++,
				TimeUnit.MILLISECONDS.toNanos(storedJob.acceptedMillis()));
		job.restore(storedJob.progress());
		job.acceptanceSaved = true;
		job.resubmitted = true;
		job.handedOverNanos = nowNanos;
		this.admission.computeTimes(job, 0, nowNanos);
		this.tables.jobs.put(job.id(), job);
		this.tables.waitingJobs.add(job);
		this.crashes.restored(job, nowNanos);
		this.runs.adoptRuns(job, nowNanos);
		if (job.isDone()) {
			this.jobEnds.end(job, JobOutcome.COMPLETED, "", nowNanos);
		}
	}

}
