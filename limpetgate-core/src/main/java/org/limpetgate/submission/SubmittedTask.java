package org.limpetgate.submission;

import java.util.Map;
import java.util.Objects;

import org.limpetgate.PoolName;
import org.limpetgate.Resources;

/**
 * One task of a submission, as its caller described it.
 *
 * @param id the caller's id of the task, unique within the submission
 * @param method the HTTP method in upper case
 * @param path the path and query of the request, which determine the route
 * @param headers the headers, names in lower case
 * @param body the body, possibly empty; not to be modified
 * @param pool the pool that the caller requested, null for the pool of the route
 * @param idempotent whether running the task twice has the same effect as once
 * @param resources the resources that the task needs on a worker, {@link Resources#NONE}
 * for runners
 * @param runNanos the declared run time in nanoseconds, 0 if not declared
 */
public record SubmittedTask(String id, String method, String path, Map<String, String> headers, byte[] body,
		PoolName pool, boolean idempotent, Resources resources, long runNanos) {

	public SubmittedTask {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(body, "body");
		Objects.requireNonNull(resources, "resources");
		headers = Map.copyOf(headers);
	}

	/**
	 * Returns a task that needs no resources and declares no run time.
	 * @param id the caller's id, not null
	 * @param method the HTTP method, not null
	 * @param path the path and query, not null
	 * @param body the body, not null
	 * @param idempotent whether the task is idempotent
	 * @return the task, not null
	 */
	public static SubmittedTask of(String id, String method, String path, byte[] body, boolean idempotent) {
		return new SubmittedTask(id, method, path, Map.of(), body, null, idempotent, Resources.NONE, 0);
	}

}
