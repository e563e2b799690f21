package org.limpetgate.platform;

import java.util.Objects;

import org.limpetgate.Resources;

/**
 * A snapshot of the resource usage of a worker, with its age.
 *
 * @param capacity the resources of the worker
 * @param used the resources reserved for running tasks
 * @param running the number of running tasks
 * @param ageNanos the age of the figures when the worker sent them, in nanoseconds
 */
public record WorkerUsage(Resources capacity, Resources used, int running, long ageNanos) {

	public WorkerUsage {
		Objects.requireNonNull(capacity, "capacity");
		Objects.requireNonNull(used, "used");
	}

}
