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
 * @param speed the speed; run times are divided by it
 * @param usageLag how far the reported use lags behind
 * @param defaultRunMillis the run time of tasks whose body does not name one
 * @param clockSkew the bound on the difference between the clocks of worker and holders
 * @param firstIncarnation whether no earlier process ran as this worker; if one may have,
 * nothing is proved about leases issued up to the start of this process
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
	 * Returns the settings of a worker with 16 cores and 32 GB that has not run before.
	 * @param id the id, not null
	 * @return the settings, not null
	 */
	public static WorkerSettings of(UpstreamId id) {
		return new WorkerSettings(id, new Resources(16, 32_768, 0), 1, Duration.ofSeconds(1), 0, Duration.ofSeconds(2),
				true);
	}

	/**
	 * Returns a copy with other resources.
	 * @param capacity the resources, not null
	 * @return the settings, not null
	 */
	public WorkerSettings withCapacity(Resources capacity) {
		return new WorkerSettings(this.id, capacity, this.speed, this.usageLag, this.defaultRunMillis, this.clockSkew,
				this.firstIncarnation);
	}

	/**
	 * Returns a copy with another speed.
	 * @param speed the speed, above 0
	 * @return the settings, not null
	 */
	public WorkerSettings withSpeed(double speed) {
		return new WorkerSettings(this.id, this.capacity, speed, this.usageLag, this.defaultRunMillis, this.clockSkew,
				this.firstIncarnation);
	}

	/**
	 * Returns a copy with another lag of the reported use.
	 * @param usageLag the lag, not null
	 * @return the settings, not null
	 */
	public WorkerSettings withUsageLag(Duration usageLag) {
		return new WorkerSettings(this.id, this.capacity, this.speed, usageLag, this.defaultRunMillis, this.clockSkew,
				this.firstIncarnation);
	}

	/**
	 * Returns a copy for a process that may have had a predecessor.
	 * @return the settings, not null
	 */
	public WorkerSettings restarted() {
		return new WorkerSettings(this.id, this.capacity, this.speed, this.usageLag, this.defaultRunMillis,
				this.clockSkew, false);
	}

}
