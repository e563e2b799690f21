package org.limpetgate.dispatch;

import org.limpetgate.AttemptId;
import org.limpetgate.Resources;

/**
 * An attempt in flight. It occupies its slot until the host reports its end, even if its
 * task has already ended. Times are in nanoseconds.
 */
final class AttemptEntity {

	final AttemptId id;

	final TaskEntity task;

	final UpstreamEntity upstream;

	final long startedAt;

	final boolean hedge;

	/** The run time expected at the start. */
	double expectedRun;

	/** The resources booked at a worker. */
	Resources booked = Resources.NONE;

	boolean isLong;

	boolean overdue;

	boolean probe;

	Timers.Timer overdueTimer;

	AttemptEntity(AttemptId id, TaskEntity task, UpstreamEntity upstream, long startedAt, boolean hedge) {
		this.id = id;
		this.task = task;
		this.upstream = upstream;
		this.startedAt = startedAt;
		this.hedge = hedge;
	}

}
