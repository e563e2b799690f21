package org.limpetgate.host;

import org.limpetgate.dispatch.DispatchEffect;
import org.limpetgate.net.http.HttpReply;

/**
 * Receives the outcome of a task. Called once, on the control thread.
 */
@FunctionalInterface
public interface TaskListener {

	/**
	 * Called when the task has ended.
	 * @param ended the outcome, not null
	 * @param reply the upstream's complete answer; null if there is none
	 * @param nowNanos the current time
	 */
	void taskEnded(DispatchEffect.TaskEnded ended, HttpReply reply, long nowNanos);

}
