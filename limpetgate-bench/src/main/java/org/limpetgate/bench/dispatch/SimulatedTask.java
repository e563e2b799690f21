package org.limpetgate.bench.dispatch;

import org.limpetgate.Outcome;
import org.limpetgate.Resources;
import org.limpetgate.dispatch.TaskRequest;

/**
 * A task of a caller, with the properties that the policy cannot know in advance.
 */
final class SimulatedTask {

	final TaskRequest request;

	/**
	 * The run time at an upstream of average speed that is no straggler, in nanoseconds.
	 */
	final long workNanos;

	/** The resources that the task actually uses at a worker. */
	final Resources actual;

	/** Whether the task fails at every upstream. */
	final boolean alwaysFails;

	final long arrivedAt;

	final boolean isLong;

	int offers;

	boolean accepted;

	long startedAt;

	int attemptsStarted;

	/** Whether an attempt ended with an outcome other than not run. */
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
