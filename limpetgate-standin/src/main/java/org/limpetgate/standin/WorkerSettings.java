package org.limpetgate.standin;

import java.time.Duration;
import java.util.Objects;

import org.limpetgate.Resources;
import org.limpetgate.UpstreamId;

/**
 * Settings of a {@link WorkerStandIn}.
 *
 * @param id the id
 * @param capacity the resources
 * @param speed the relative speed; run times are divided by it
 * @param usageLag the lag of the reported resource usage
 * @param defaultRunMillis the run time in milliseconds of tasks whose body specifies none
 * @param clockSkew the bound on the skew between the clocks of the worker and the lease
 * holders
 * @param firstIncarnation whether no earlier process ran as this worker; if false,
 * nothing is proved about leases issued up to {@code clockSkew} after the start of this
 * process
 */
public record WorkerSettings(UpstreamId id, Resources capacity, double speed, Duration usageLag, long defaultRunMillis,
		Duration clockSkew, boolean firstIncarnation) {

	public WorkerSettings {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(capacity, "capacity");
		Objects.requireNonNull(usageLag, "usageLag");
		Objects.requireNonNull(clockSkew, "clockSkew");
		if (!(speed > 0) || defaultRunMillis < 0) {
			throw new IllegalArgumentException("speed must be above 0 and defaultRunMillis at least 0");
		}
	}

	/**
	 * Returns the settings of a worker with 16 cores and 32 GB of memory and no earlier
	 * process.
	 * @param id the id, not null
	 * @return the settings, not null
	 */
	public static WorkerSettings of(UpstreamId id) {
		return new WorkerSettings(id, new Resources(16, 32_768, 0), 1, Duration.ofSeconds(1), 0, Duration.ofSeconds(2),
				true);
	}

	/**
	 * Returns a copy with different resources.
	 * @param capacity the resources, not null
	 * @return the settings, not null
	 */
	public WorkerSettings withCapacity(Resources capacity) {
		return new WorkerSettings(this.id, capacity, this.speed, this.usageLag, this.defaultRunMillis, this.clockSkew,
				this.firstIncarnation);
	}

	/**
	 * Returns a copy with a different speed.
	 * @param speed the relative speed, above 0
	 * @return the settings, not null
	 */
	public WorkerSettings withSpeed(double speed) {
		return new WorkerSettings(this.id, this.capacity, speed, this.usageLag, this.defaultRunMillis, this.clockSkew,
				this.firstIncarnation);
	}

	/**
	 * Returns a copy with a different lag of the reported resource usage.
	 * @param usageLag the lag, not null
	 * @return the settings, not null
	 */
	public WorkerSettings withUsageLag(Duration usageLag) {
		return new WorkerSettings(this.id, this.capacity, this.speed, usageLag, this.defaultRunMillis, this.clockSkew,
				this.firstIncarnation);
	}

	/**
	 * Returns a copy for a restarted worker, of which an earlier process may have run.
	 * @return the settings, not null
	 */
	public WorkerSettings restarted() {
		return new WorkerSettings(this.id, this.capacity, this.speed, this.usageLag, this.defaultRunMillis,
				this.clockSkew, false);
	}

}
