package org.limpetgate.scheduling;

import java.util.concurrent.TimeUnit;

import org.limpetgate.scheduling.RunListener.RunEnd;
import org.limpetgate.scheduling.SchedulingEffect.StopRun;

/**
 * One run, which occupies capacity on a worker until the worker no longer reports it.
 * Confined to the thread of the scheduler.
 */
final class RunEntity {

	enum State {

		/** The start order was sent; no answer has arrived yet. */
		STARTING,
		/** The worker has confirmed or reported the run. */
		RUNNING,
		/** The run is to be stopped and may still be present. */
		STOPPING,
		/**
		 * The worker has confirmed the stop; the run occupies capacity until the next
		 * report.
		 */
		STOPPED

	}

	/** The minimum time without progress after which an overdue run counts as hanging. */
	private static final long HANG_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * A run counts as hanging only after it could have progressed by this many percent at
	 * its previous rate.
	 */
	private static final int HANG_PERCENT_STEPS = 5;

	private static final double HANG_DURATION_FACTOR = 2;

	private final RunId id;

	private final WorkerEntity worker;

	private final StepSpec step;

	private final long startedNanos;

	private final JobEntity job;

	/** Whether its worker was cold when it started. */
	private final boolean startedCold;

	/**
	 * The task whose current run this is, null once the result of the run no longer
	 * counts.
	 */
	TaskEntity task;

	State state = State.STARTING;

	/** The token of the order to start it. */
	FencingToken token = FencingToken.NONE;

	/** The expected duration, in nanoseconds. */
	double expectedNanos;

	/** When the state was entered, nanoseconds since the Unix epoch. */
	long stateSinceNanos;

	/** When the last stop order was sent, nanoseconds since the Unix epoch. */
	long stopSentNanos;

	int stopsSent;

	/** Whether a stop was sent again because the first one was not confirmed. */
	boolean stopRepeated;

	/** Why it must end, null if no stop was sent. */
	StopRun.Reason stopReason;

	/** The work for which the budget of preemption was charged, in core seconds. */
	double chargedCoreSeconds;

	int progressPercent;

	/** The last checkpoint that the worker reported, empty if there is none. */
	String checkpoint = "";

	/** When that checkpoint was first reported, nanoseconds since the Unix epoch. */
	long checkpointNanos;

	/**
	 * Whether it belongs to a released stored job, which another scheduler may have taken
	 * over.
	 */
	boolean released;

	/**
	 * The sequence number of its end in the worker's reports, 0 if no end was reported.
	 */
	long endSequence;

	/**
	 * Whether no other run may have been on the worker when the worker was lost.
	 */
	boolean alone;

	/**
	 * Whether any incarnation of its worker has confirmed, by its answer or a report,
	 * that it carried out the order to start it. Unlike {@link #reported}, an answer
	 * suffices, which does not tell the incarnation.
	 */
	boolean confirmed;

	/**
	 * Its end if the next incarnation of its worker has not carried out the order to
	 * start it; null while the incarnation is the one for which the order was meant.
	 */
	RunEnd endWithoutReport;

	/** Whether it was started by an earlier owner, at an unknown time. */
	boolean adopted;

	/**
	 * Whether the known incarnation of its worker has reported it. Until then a later
	 * incarnation may carry out the order to start it.
	 */
	boolean reported;

	/** Its pace, from the reports since it was started or adopted. */
	RunPace pace;

	/** When the percentage last rose, nanoseconds since the Unix epoch. */
	long progressNanos;

	RunEntity(RunId id, WorkerEntity worker, StepSpec step, TaskEntity task, long nowNanos) {
		this.id = id;
		this.worker = worker;
		this.step = step;
		this.task = task;
		this.job = task.job();
		this.startedCold = worker.isCold(nowNanos);
		this.startedNanos = nowNanos;
		this.stateSinceNanos = nowNanos;
		this.progressNanos = nowNanos;
		this.pace = new RunPace(nowNanos);
	}

	RunId id() {
		return this.id;
	}

	WorkerEntity worker() {
		return this.worker;
	}

	StepSpec step() {
		return this.step;
	}

	Capacity demand() {
		return this.step.demand();
	}

	long startedNanos() {
		return this.startedNanos;
	}

	CrashHistory.Evidence evidence() {
		if (!this.confirmed) {
			return CrashHistory.Evidence.UNCONFIRMED;
		}
		return this.alone ? CrashHistory.Evidence.ALONE : CrashHistory.Evidence.SHARED;
	}

	// Returns the job for which it was started or adopted, which may have ended since.
	JobEntity job() {
		return this.job;
	}

	boolean startedCold() {
		return this.startedCold;
	}

	boolean isStored() {
		return this.job.spec().stored();
	}

	// Tests whether another scheduler may have its stored job, and rely on the end of its
	// lease.
	boolean isForeign() {
		boolean ended = this.task == null || this.job.ended;
		return this.released || (isStored() && ended && this.stopRepeated);
	}

	void enter(State next, long nowNanos) {
		this.state = next;
		this.stateSinceNanos = nowNanos;
	}

	// Records that an incarnation of its worker has carried out the order to start it.
	void confirm() {
		this.confirmed = true;
		this.job.runBegan();
	}

	// Records that the known incarnation of its worker lists it.
	void markReported() {
		this.reported = true;
		confirm();
		this.endWithoutReport = null;
	}

	// Marks it as started by an earlier owner.
	void adopt() {
		this.adopted = true;
		this.pace = new RunPace(0);
	}

	void checkpoint(String value, long nowNanos) {
		if (!value.isEmpty() && !value.equals(this.checkpoint)) {
			this.checkpoint = value;
			this.checkpointNanos = nowNanos;
		}
	}

	// The progress of a long run rises at long intervals, since it is reported in
	// integer percents.
	boolean isHanging(long nowNanos) {
		if (this.step.has(StepTrait.PERPETUAL)) {
			return false;
		}
		long nanosPerPercent = (this.progressNanos - this.startedNanos) / Math.max(1, this.progressPercent);
		return nowNanos - this.progressNanos > Math.max(HANG_NANOS, HANG_PERCENT_STEPS * nanosPerPercent)
				&& nowNanos - this.startedNanos > HANG_DURATION_FACTOR * this.expectedNanos;
	}

	void updateProgress(int percent, long nowNanos) {
		if (percent > this.progressPercent) {
			this.progressPercent = percent;
			this.progressNanos = nowNanos;
		}
	}

}
