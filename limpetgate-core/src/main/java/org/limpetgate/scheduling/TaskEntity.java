package org.limpetgate.scheduling;

/**
 * The state of one task. Belongs to the thread of the scheduler.
 */
final class TaskEntity {

	enum State {

		/** Waits for earlier steps. */
		BLOCKED,
		/** Waits for a worker. */
		WAITING,
		/** Has a run that may be present on a worker. */
		ACTIVE,
		/** Done. */
		DONE

	}

	private final JobEntity job;

	private final TaskName name;

	private final StepSpec step;

	State state = State.BLOCKED;

	/** Runs that ended as failed. */
	int failures;

	/** The highest attempt that was counted as failed, for the first task of a gang. */
	int failedAttempt;

	/** How often a perpetual task was restarted in a row. */
	int restarts;

	/** The attempt number of the next run. */
	int nextAttempt = 1;

	/** The task does not start before this time, nanoseconds since the Unix epoch. */
	long notBeforeNanos;

	/** The checkpoint from which the next run resumes, empty if there is none. */
	String checkpoint = "";

	/** The run that counts, null if none is present. */
	RunEntity run;

	/** The worker on which the last run failed, null if none did. */
	WorkerEntity failedOn;

	TaskEntity(JobEntity job, TaskName name, StepSpec step) {
		this.job = job;
		this.name = name;
		this.step = step;
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
