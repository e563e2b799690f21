package org.limpetgate.standin;

import java.util.Objects;

import org.limpetgate.UpstreamId;

/**
 * Settings of a {@link RunnerStandIn}.
 *
 * @param id the id, which each answer carries in the header {@code x-upstream}
 * @param slots the number of requests that run at the same time
 * @param maxConnections the most connections; further ones are closed when accepted
 * @param maxQueued the most requests that wait for a slot; further ones are refused as
 * not run
 * @param speed the speed; run times are divided by it
 * @param defaultRunMillis the run time of requests without the header
 * {@code X-Run-Millis}
 */
public record RunnerSettings(UpstreamId id, int slots, int maxConnections, int maxQueued, double speed,
		long defaultRunMillis) {

	public RunnerSettings {
		Objects.requireNonNull(id, "id");
		if (slots < 1 || maxConnections < 1 || maxQueued < 0 || !(speed > 0) || defaultRunMillis < 0) {
			throw new IllegalArgumentException(
					"slots and maxConnections must be at least 1, speed above 0, the rest at least 0");
		}
	}

	/**
	 * Returns the settings of a runner as both deployments have them: 8 slots and 60
	 * connections.
	 * @param id the id, not null
	 * @return the settings, not null
	 */
	public static RunnerSettings of(UpstreamId id) {
		return new RunnerSettings(id, 8, 60, 60, 1, 0);
	}

	/**
	 * Returns a copy with another speed.
	 * @param speed the speed, above 0
	 * @return the settings, not null
	 */
	public RunnerSettings withSpeed(double speed) {
		return new RunnerSettings(this.id, this.slots, this.maxConnections, this.maxQueued, speed,
				this.defaultRunMillis);
	}

	/**
	 * Returns a copy with other limits.
	 * @param slots the number of slots, at least 1
	 * @param maxConnections the most connections, at least 1
	 * @param maxQueued the most requests that wait for a slot, at least 0
	 * @return the settings, not null
	 */
	public RunnerSettings withLimits(int slots, int maxConnections, int maxQueued) {
		return new RunnerSettings(this.id, slots, maxConnections, maxQueued, this.speed, this.defaultRunMillis);
	}

}
