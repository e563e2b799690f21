package org.limpetgate.bench.dispatch;

import org.limpetgate.Outcome;
import org.limpetgate.Resources;
import org.limpetgate.dispatch.TaskRequest;

/**
 * A task of a caller, with what the policy cannot know in advance.
 */
final class SimulatedTask {

	final TaskRequest request;

	/** The run time at an upstream of mean speed, stragglers aside, in nanoseconds. */
	final long workNanos;

	/** What the task really uses at a worker. */
	final Resources actual;

	/** Whether the task fails wherever it runs. */
	final boolean alwaysFails;

	final long arrivedAt;

	final boolean isLong;

	int offers;

	boolean accepted;

	long startedAt;

	int attemptsStarted;

	/** Whether an attempt ended without proof that it did not run. */
	boolean mayHaveRun;

	Outcome outcome;

	SimulatedTask(TaskRequest request, long workNanos, Resources actual, boolean alwaysFails, long arrivedAt) {
		this.request = request;
		this.workNanos = workNanos;
		this.actual = actual;
		this.alwaysFails = alwaysFails;
		this.arrivedAt = arrivedAt;
		this.isLong = workNanos >= Workload.LONG_RUN_NANOS;
	}

}
