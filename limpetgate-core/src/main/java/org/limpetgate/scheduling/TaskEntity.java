package org.limpetgate.scheduling;

/**
 * The state of one task. Confined to the thread of the scheduler.
 */
final class TaskEntity {

	enum State {

		/** Waits for earlier steps. */
		BLOCKED,
		/** Waits for a worker. */
		WAITING,
		/** Has a current run, which may be present on a worker. */
		ACTIVE,
		/** A run of the task succeeded. */
		DONE

	}

	private final JobEntity job;

	private final TaskName name;

	private final StepSpec step;

	State state = State.BLOCKED;

	/** The failed runs; those of a gang are kept with its first task. */
	FailedRuns failures = FailedRuns.NONE;

	/** The number of consecutive restarts of a perpetual task. */
	int restarts;

	/** The attempt number of the next run. */
	int nextAttempt = 1;

	/** The task does not start before this time, nanoseconds since the Unix epoch. */
	long notBeforeNanos;

	/** The checkpoint from which the next run resumes, empty if there is none. */
	String checkpoint = "";

	/** The workers that crashed or fell silent under it. */
	CrashHistory crashes = CrashHistory.NONE;

	/** When its last run ended, nanoseconds since the Unix epoch, 0 if none did. */
	long lastRunEndNanos;

	/** The current run, whose result counts for the task; null if there is none. */
	RunEntity run;

	/** How often a run of it was stopped to start it on another worker. */
	int moves;

	/**
	 * The logarithm of the ratio of the duration of its run to that expected on its
	 * worker, from its end or its progress. Not a number while unknown.
	 */
	double durationLog = Double.NaN;

	/** The worker of that run, null if there is none. */
	WorkerEntity durationWorker;

	/** The worker on which the last run failed, null if none did. */
	WorkerEntity failedOn;

	TaskEntity(JobEntity job, TaskName name, StepSpec step) {
		this.job = job;
		this.name = name;
		this.step = step;
	}

	// Records that a run with an attempt number may have been started.
	void attemptKnown(int attempt) {
		this.nextAttempt = Math.max(this.nextAttempt, attempt + 1);
	}

	JobEntity job() {
		return this.job;
	}

	TaskName name() {
		return this.name;
	}

	StepSpec step() {
		return this.step;
	}

}
