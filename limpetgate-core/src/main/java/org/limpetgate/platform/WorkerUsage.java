package org.limpetgate.platform;

import java.util.Objects;

import org.limpetgate.Resources;

/**
 * The use of a worker as it was some time ago.
 *
 * @param capacity the resources of the worker
 * @param used the resources that running tasks had set aside
 * @param running the number of running tasks
 * @param ageNanos how old the figures were when the worker answered, in nanoseconds
 */
public record WorkerUsage(Resources capacity, Resources used, int running, long ageNanos) {

	public WorkerUsage {
		Objects.requireNonNull(capacity, "capacity");
		Objects.requireNonNull(used, "used");
	}

}
