package org.limpetgate.scheduling;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;

/**
 * An action that the scheduler requests. Its result is reported back to the scheduler.
 */
public sealed interface SchedulingEffect {

	/**
	 * Orders a worker to start a run.
	 *
	 * @param worker the worker
	 * @param run the run
	 * @param payload the payload of the job
	 * @param checkpoint the checkpoint from which the run resumes, empty for none
	 * @param leaseEndMillis the end of the lease on the worker's clock, in milliseconds
	 * @param token the fencing token of the owner
	 */
	record StartRun(WorkerInfo worker, RunId run, String payload, String checkpoint, long leaseEndMillis,
			FencingToken token) implements SchedulingEffect {

	}

	/**
	 * Orders a worker to stop a run.
	 *
	 * @param worker the worker
	 * @param run the run
	 * @param token the fencing token of the owner
	 * @param reason why the run must end, for the log
	 */
	record StopRun(WorkerInfo worker, RunId run, FencingToken token, Reason reason) implements SchedulingEffect {

		/** Why a run must end. */
		public enum Reason {

			/** No host waits for its job any longer. */
			JOB_WITHDRAWN,
			/** Its job has ended or was cancelled. */
			JOB_ENDED,
			/** Its stored job belongs to another scheduler. */
			JOB_RELEASED,
			/** It was started by an earlier owner and no job has adopted it. */
			ORPHAN,
			/** The order to start it was not answered. */
			START_UNANSWERED,
			/** It makes no progress. */
			HANGING,
			/** Another member of its gang has ended. */
			GANG_MEMBER_ENDED,
			/** Another run of its task succeeded. */
			REDUNDANT,
			/** A more urgent job needs its capacity. */
			PREEMPTED,
			/** Its worker has turned slow, and its end there would be of no use. */
			SLOW_WORKER,
			/** Its worker is under notice and leaves before it would end. */
			WORKER_LEAVING

		}

	}

	/**
	 * Asks a worker for its report.
	 *
	 * @param worker the worker
	 * @param sequence the sequence number of the poll, returned with its answer
	 * @param token the fencing token of the owner
	 * @param ackNumber the sequence number up to which ends are acknowledged, so that the
	 * worker may discard them
	 * @param leaseEndMillis the end of the lease on the worker's clock in milliseconds,
	 * or 0 to leave the lease unchanged
	 * @param waitNanos how long the worker waits for the end of a run before it answers,
	 * in nanoseconds
	 */
	record PollWorker(WorkerInfo worker, long sequence, FencingToken token, long ackNumber, long leaseEndMillis,
			long waitNanos) implements SchedulingEffect {

	}

	/**
	 * Tells that the scheduler concluded that a run has ended although its worker has not
	 * listed the end. It requires no action and is meant for the log.
	 *
	 * @param worker the worker
	 * @param run the run
	 * @param reason what the conclusion rests on
	 * @param confirmed whether the worker has confirmed, by its answer or a report, that
	 * it started the run
	 * @param sinceRenewalNanos the time since this scheduler last renewed the lease of
	 * the worker or completed a takeover of it, in nanoseconds, or -1 if it has done
	 * neither
	 * @param fenced whether the worker has rejected this scheduler's token since its last
	 * report
	 */
	record RunGivenUp(WorkerInfo worker, RunId run, Reason reason, boolean confirmed, long sinceRenewalNanos,
			boolean fenced) implements SchedulingEffect {

		/** What the conclusion that a run has ended rests on. */
		public enum Reason {

			/** The lease was not renewed in time, and the worker does not report. */
			LEASE_EXPIRED,
			/** The first report after a takeover does not list the run. */
			NOT_IN_TAKEOVER_REPORT,
			/** A later report does not list the run. */
			NOT_IN_REPORT,
			/** The worker has a new incarnation. */
			NEW_INCARNATION,
			/** The worker rejected the order to start the run. */
			START_REJECTED

		}

	}

	/**
	 * Tells that an entry names another process in the place of a worker whose process
	 * answers. It requires no action and is meant for the log.
	 *
	 * @param worker the worker
	 * @param entry the entry, of the same worker or of another one with its address
	 */
	record EntryRefuted(WorkerInfo worker, WorkerInfo entry) implements SchedulingEffect {

	}

	/**
	 * Tells that a run is stopped for a more urgent job. It requires no action and is
	 * meant for the log; the order to stop the run is an effect of its own.
	 *
	 * @param worker the worker
	 * @param run the run
	 * @param urgentJob the job that needs its capacity
	 * @param lostCoreSeconds the work that the run loses at most, in core seconds
	 * @param savedCost the cost if no run were stopped for the urgent job, where 1 is the
	 * value of a job of priority 0 that needs no work
	 * @param cost the cost of stopping all runs that are stopped for it, in the same unit
	 */
	record RunPreempted(WorkerInfo worker, RunId run, JobId urgentJob, double lostCoreSeconds, double savedCost,
			double cost) implements SchedulingEffect {

	}

	/**
	 * Tells that a worker has crashed while a task may have run on it. It requires no
	 * action and is meant for the log.
	 *
	 * @param worker the worker
	 * @param task the task
	 * @param history the crashes under the task, this one included
	 */
	record WorkerCrashed(UpstreamId worker, TaskName task, CrashHistory history) implements SchedulingEffect {

	}

	/**
	 * Tells that the workers of a data centre have stopped answering, or answer again. It
	 * requires no action and is meant for the log.
	 *
	 * @param dataCentre the data centre
	 * @param silent whether they have stopped answering
	 * @param sinceAnswerNanos the time since the last answer before, in nanoseconds
	 * @param workers the number of its workers with unanswered orders
	 */
	record DataCentreSilent(DataCentreId dataCentre, boolean silent, long sinceAnswerNanos,
			int workers) implements SchedulingEffect {

	}

	/**
	 * Tells that a worker has turned slow or has recovered. It requires no action and is
	 * meant for the log.
	 *
	 * @param worker the worker
	 * @param slow whether it is slow now
	 * @param factorBefore the factor on the expected duration of a task before
	 * @param factor the factor now
	 */
	record WorkerSpeedChanged(UpstreamId worker, boolean slow, double factorBefore,
			double factor) implements SchedulingEffect {

	}

	/**
	 * Tells why a run was stopped to start its task on another worker. It requires no
	 * action and is meant for the log. The times are relative to the decision.
	 *
	 * @param run the run
	 * @param worker its worker
	 * @param target the worker with room for it
	 * @param reason why it was moved
	 * @param endHereNanos the expected time until its end on its worker, in nanoseconds
	 * @param endThereNanos the expected time until its end on the target, in nanoseconds
	 * @param usefulNanos the time until its end would be of no use to the caller, in
	 * nanoseconds
	 * @param percent its progress in percent
	 * @param lostCoreNanos the work lost, in core nanoseconds
	 */
	record RunMoved(RunId run, UpstreamId worker, UpstreamId target, StopRun.Reason reason, long endHereNanos,
			long endThereNanos, long usefulNanos, int percent, long lostCoreNanos) implements SchedulingEffect {

	}

	/**
	 * Tells why a job that an earlier scheduler may have started may start tasks now. It
	 * requires no action and is meant for the log.
	 *
	 * @param job the job
	 * @param proof what shows that its earlier runs are known or have ended
	 * @param waitedNanos the time since no earlier scheduler acts on it, in nanoseconds
	 * @param workers the number of workers that the scheduler keeps track of
	 * @param listAgeNanos how long ago the list of workers was certainly complete, in
	 * nanoseconds
	 */
	record HandoverSettled(JobId job, Proof proof, long waitedNanos, int workers,
			long listAgeNanos) implements SchedulingEffect {

		/** What shows that the earlier runs of a job are known or have ended. */
		public enum Proof {

			/** All workers have reported their runs since the handover. */
			REPORTS,
			/** All leases that were granted before the handover have ended. */
			LEASES

		}

	}

	/**
	 * Saves a change of a stored job. Changes are saved in the order of the effects.
	 *
	 * @param sequence the sequence number of the change, increasing
	 * @param change the change
	 */
	record SaveChange(long sequence, StoredChange change) implements SchedulingEffect {

	}

	/**
	 * Notifies the host that submitted a job of its outcome.
	 *
	 * @param origin the host
	 * @param job the job
	 * @param outcome the outcome
	 * @param reason a message that explains the outcome, empty for an accepted or
	 * completed job
	 * @param retryAfterNanos the delay before the caller should retry, in nanoseconds, 0
	 * if there is none
	 */
	record JobEnded(HostId origin, JobId job, JobOutcome outcome, String reason,
			long retryAfterNanos) implements SchedulingEffect {

	}

	/**
	 * Tells why a job is refused because capacity is short. It requires no action and is
	 * meant for the log and the metrics.
	 *
	 * @param job the job
	 * @param queue its queue
	 * @param reason why it is refused
	 * @param projectedDelayNanos the time until its last task is projected to start, in
	 * nanoseconds
	 * @param limitNanos the time until its latest start, in nanoseconds, negative if that
	 * has passed
	 * @param workAheadCoreMillis the work of the waiting jobs ahead of it, in cores times
	 * milliseconds
	 * @param waitingJobs the number of waiting jobs
	 * @param sinceServableNanos the time since the latest projection that showed that it
	 * can be served in time, or since its submission if there was none, in nanoseconds
	 * @param retryAfterNanos the delay before the caller should retry, in nanoseconds
	 */
	record JobRefused(JobId job, String queue, Reason reason, long projectedDelayNanos, long limitNanos,
			long workAheadCoreMillis, int waitingJobs, long sinceServableNanos,
			long retryAfterNanos) implements SchedulingEffect {

		/** Why a job is refused. */
		public enum Reason {

			/** The first projection shows that it cannot be served in time. */
			AT_ARRIVAL,
			/** An earlier projection showed that it can be served in time. */
			DISPLACED,
			/** It has waited for longer than its limit, whatever was projected. */
			WAITED_TOO_LONG,
			/** It came late, and its answer would be of no use even if it started now. */
			OF_NO_USE

		}

	}

}
