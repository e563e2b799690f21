package org.limpetgate.dispatch;

import java.util.List;
import java.util.Optional;

import org.limpetgate.DataCentreId;

/**
 * Decides whether a task is forwarded to an entry host of another data centre.
 * <p>
 * Implementations are not thread-safe; they are called only from the host's control
 * thread.
 */
public interface SpillPolicy {

	/**
	 * Returns the data centre to which a task should be forwarded.
	 * @param task the task, not null
	 * @param hops the number of data centres that have already forwarded the task; a task
	 * with 1 hop is never forwarded again
	 * @param localWaitNanos the expected wait at this host, in nanoseconds
	 * @param remotes the latest digests of the other data centres, not null
	 * @param nowNanos the current time
	 * @return the data centre, empty to run the task locally
	 */
	Optional<DataCentreId> destination(TaskRequest task, int hops, long localWaitNanos, List<RemotePoolState> remotes,
			long nowNanos);

}
