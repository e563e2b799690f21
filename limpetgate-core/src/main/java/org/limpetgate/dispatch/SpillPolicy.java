package org.limpetgate.dispatch;

import java.util.List;
import java.util.Optional;

import org.limpetgate.DataCentreId;

/**
 * Decides whether a task is forwarded to an entry host of another data centre.
 * <p>
 * Implementations are not thread-safe and belong to the control thread.
 */
public interface SpillPolicy {

	/**
	 * Returns where a task is done sooner than here.
	 * @param task the task, not null
	 * @param hops the number of data centres that have forwarded the task already; a task
	 * with 1 is never forwarded again
	 * @param localWaitNanos the expected wait here
	 * @param remotes the last digests of the other data centres, not null
	 * @param nowNanos the current time
	 * @return the data centre, empty to keep the task
	 */
	Optional<DataCentreId> destination(TaskRequest task, int hops, long localWaitNanos, List<RemotePool> remotes,
			long nowNanos);

}
