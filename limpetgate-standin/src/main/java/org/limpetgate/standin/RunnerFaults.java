package org.limpetgate.standin;

import java.util.Objects;

/**
 * The faults of a {@link RunnerStandIn}. In the JSON of the control path, {@code fault}
 * is required; {@code share} defaults to 0.
 *
 * @param fault the fault of the requests that are hit
 * @param share the share of requests that are hit, 0 to 1
 * @param delayMillis the delay of {@link Fault#LATE} and {@link Fault#SLOW}
 * @param leaving whether the runner announces that it is leaving and refuses all requests
 * as not run
 */
public record RunnerFaults(Fault fault, double share, long delayMillis, boolean leaving) {

	/** No faults. */
	public static final RunnerFaults NONE = new RunnerFaults(Fault.NONE, 0, 0, false);

	public RunnerFaults {
		Objects.requireNonNull(fault, "fault");
		if (!(share >= 0 && share <= 1) || delayMillis < 0) {
			throw new IllegalArgumentException("share must be from 0 to 1 and delayMillis at least 0");
		}
	}

	/**
	 * Returns a fault that hits all requests.
	 * @param fault the fault, not null
	 * @return the faults, not null
	 */
	public static RunnerFaults always(Fault fault) {
		return new RunnerFaults(fault, 1, 0, false);
	}

	/**
	 * Returns a copy in which a share of the requests is hit.
	 * @param share the share, 0 to 1
	 * @return the faults, not null
	 */
	public RunnerFaults withShare(double share) {
		return new RunnerFaults(this.fault, share, this.delayMillis, this.leaving);
	}

	/**
	 * Returns a copy with another delay.
	 * @param delayMillis the delay in milliseconds, at least 0
	 * @return the faults, not null
	 */
	public RunnerFaults withDelayMillis(long delayMillis) {
		return new RunnerFaults(this.fault, this.share, delayMillis, this.leaving);
	}

	/**
	 * Returns a copy that is leaving or not.
	 * @param leaving whether it is leaving
	 * @return the faults, not null
	 */
	public RunnerFaults withLeaving(boolean leaving) {
		return new RunnerFaults(this.fault, this.share, this.delayMillis, leaving);
	}

	/**
	 * What happens to a request.
	 */
	public enum Fault {

		/** Nothing. */
		NONE,

		/** It starts and fails at once with status 500. */
		FAIL,

		/**
		 * It starts, keeps its slot and is never answered while the connection is open.
		 */
		HANG,

		/** Half of its answer is sent, then the connection is closed. */
		TRUNCATE,

		/** It starts, and the connection is closed at once without an answer. */
		CLOSE,

		/** It runs longer by the delay. */
		SLOW,

		/** It runs normally and its answer is sent later by the delay. */
		LATE

	}

}
