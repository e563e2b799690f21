package org.limpetgate.host;

import org.limpetgate.dispatch.DispatchEffect;
import org.limpetgate.net.http.HttpReply;

/**
 * Learns how a task ended. Called once, on the control thread.
 */
@FunctionalInterface
public interface TaskListener {

	/**
	 * Takes the end of the task.
	 * @param ended the outcome, not null
	 * @param reply the upstream's whole answer; null if there is none
	 * @param nowNanos the present time
	 */
	void ended(DispatchEffect.TaskEnded ended, HttpReply reply, long nowNanos);

}
