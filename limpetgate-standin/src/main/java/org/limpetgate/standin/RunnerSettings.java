package org.limpetgate.standin;

import java.util.Objects;

import org.limpetgate.UpstreamId;

/**
 * Settings of a {@link RunnerStandIn}.
 *
 * @param id the id, which each response carries in the header {@code x-upstream}
 * @param slots the maximum number of concurrent requests
 * @param maxConnections the maximum number of connections; further ones are closed when
 * accepted
 * @param maxQueued the maximum number of queued requests; further ones are refused as not
 * run
 * @param speed the relative speed; run times are divided by it
 * @param defaultRunMillis the run time in milliseconds of requests without the header
 * {@code X-Run-Millis}
 */
public record RunnerSettings(UpstreamId id, int slots, int maxConnections, int maxQueued, double speed,
		long defaultRunMillis) {

	public RunnerSettings {
		Objects.requireNonNull(id, "id");
		if (slots < 1 || maxConnections < 1 || maxQueued < 0 || !(speed > 0) || defaultRunMillis < 0) {
			throw new IllegalArgumentException(
					"slots and maxConnections must be at least 1, speed above 0, maxQueued and defaultRunMillis at least 0");
		}
	}

	/**
	 * Returns the settings of the runners in both deployments of the design document: 8
	 * slots and 60 connections.
	 * @param id the id, not null
	 * @return the settings, not null
	 */
	public static RunnerSettings of(UpstreamId id) {
		return new RunnerSettings(id, 8, 60, 60, 1, 0);
	}

	/**
	 * Returns a copy with a different speed.
	 * @param speed the relative speed, above 0
	 * @return the settings, not null
	 */
	public RunnerSettings withSpeed(double speed) {
		return new RunnerSettings(this.id, this.slots, this.maxConnections, this.maxQueued, speed,
				this.defaultRunMillis);
	}

	/**
	 * Returns a copy with different limits.
	 * @param slots the number of slots, at least 1
	 * @param maxConnections the maximum number of connections, at least 1
	 * @param maxQueued the maximum number of queued requests, at least 0
	 * @return the settings, not null
	 */
	public RunnerSettings withLimits(int slots, int maxConnections, int maxQueued) {
		return new RunnerSettings(this.id, slots, maxConnections, maxQueued, this.speed, this.defaultRunMillis);
	}

}
