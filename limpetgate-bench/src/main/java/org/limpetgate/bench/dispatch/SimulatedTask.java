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
	final long work;

	/** What the task really uses at a worker. */
	final Resources actual;

	/** Whether the task fails wherever it runs. */
	final boolean bad;

	final long arrivedAt;

	final boolean isLong;

	int offers;

	boolean accepted;

	long startedAt;

	int attemptsStarted;

	/** Whether an attempt ended without proof that it did not run. */
	boolean mayHaveRun;

	Outcome ended;

	SimulatedTask(TaskRequest request, long work, Resources actual, boolean bad, long arrivedAt) {
		this.request = request;
		this.work = work;
		this.actual = actual;
		this.bad = bad;
		this.arrivedAt = arrivedAt;
		this.isLong = work >= Workload.LONG_WORK;
	}

}
