package org.limpetgate.scheduling;

import org.limpetgate.HostId;
import org.limpetgate.JobId;

/**
 * Tells when the hosts that submitted jobs were last known to wait for them.
 * <p>
 * Times are nanoseconds since the Unix epoch, by the clock of the scheduler. Called on
 * the thread of the scheduler.
 */
@FunctionalInterface
public interface OriginHeartbeats {

	/** Every host waits for its jobs until it withdraws them. */
	OriginHeartbeats CURRENT = (origin, job, nowNanos) -> nowNanos;

	/**
	 * Returns the newest time at which a host certainly waited for a job. The caller of
	 * the job cannot have been disconnected from the host before that time.
	 * @param origin the host that submitted the job, not null
	 * @param job the job, not null
	 * @param nowNanos the current time
	 * @return the time, 0 if the host is not known to wait for the job
	 */
	long lastWaitedNanos(HostId origin, JobId job, long nowNanos);

}
