package org.limpetgate.host;

import org.limpetgate.TaskId;
import org.limpetgate.dispatch.Admission;
import org.limpetgate.dispatch.TaskRequest;
import org.limpetgate.net.http.HttpCall;

/**
 * Accepts tasks and runs them.
 * <p>
 * Each accepted task ends with exactly one call of its listener. Not thread-safe:
 * confined to the control thread.
 */
public interface TaskService {

	/**
	 * Returns an id for a new task.
	 * @return the id, not used before
	 */
	TaskId nextTaskId();

	/**
	 * Offers a task.
	 * @param request the task, with an id from {@link #nextTaskId()}, not null
	 * @param call the request to send, not null
	 * @param listener receives the outcome if the task is accepted, not null
	 * @param nowNanos the current time
	 * @return the admission, not null
	 */
	Admission offer(TaskRequest request, HttpCall call, TaskListener listener, long nowNanos);

	/**
	 * Cancels a task. Its listener is still called.
	 * @param task the task, not null
	 * @param nowNanos the current time
	 * @return false if the task has ended or cannot be cancelled
	 */
	boolean cancel(TaskId task, long nowNanos);

}
