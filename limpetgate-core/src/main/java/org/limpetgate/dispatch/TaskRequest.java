package org.limpetgate.dispatch;

import java.util.Objects;

import org.limpetgate.CallerId;
import org.limpetgate.PoolName;
import org.limpetgate.Resources;
import org.limpetgate.RouteName;
import org.limpetgate.TaskId;

/**
 * A task that is offered to a {@link Dispatcher}.
 *
 * @param id the id, unique at this host
 * @param caller the caller, whose quota and fair share apply
 * @param route the route, for which run times are learned
 * @param pool the pool
 * @param idempotent whether running the task twice has the same effect as once
 * @param resources the resources needed at a worker, {@link Resources#NONE} for runners
 * @param bytes the size of the body in bytes, which counts towards the queue's byte limit
 * @param deadlineNanos the time by which the response is needed, in nanoseconds since the
 * Unix epoch
 * @param job a number shared by the tasks of one job, 0 for a single request
 */
public record TaskRequest(TaskId id, CallerId caller, RouteName route, PoolName pool, boolean idempotent,
		Resources resources, int bytes, long deadlineNanos, long job) {

	public TaskRequest {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(caller, "caller");
		Objects.requireNonNull(route, "route");
		Objects.requireNonNull(pool, "pool");
		Objects.requireNonNull(resources, "resources");
	}

}
