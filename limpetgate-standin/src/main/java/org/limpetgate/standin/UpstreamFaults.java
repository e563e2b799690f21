package org.limpetgate.standin;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The faults of a {@link RunnerStandIn} or a {@link WorkerStandIn}. In the JSON of the
 * control path, {@code fault} is required; {@code share} defaults to 0.
 *
 * @param fault the fault of the requests that are hit
 * @param share the share of requests that are hit, 0 to 1
 * @param delayMillis the delay of {@link Fault#LATE} and {@link Fault#SLOW}
 * @param leaving whether the upstream announces that it is leaving and refuses all
 * requests as not run
 */
public record UpstreamFaults(Fault fault, double share, long delayMillis, boolean leaving) {

	/** No faults. */
	public static final UpstreamFaults NONE = new UpstreamFaults(Fault.NONE, 0, 0, false);

	public UpstreamFaults {
		Objects.requireNonNull(fault, "fault");
		if (!(share >= 0 && share <= 1) || delayMillis < 0) {
			throw new IllegalArgumentException("share must be from 0 to 1 and delayMillis at least 0");
		}
	}

	@JsonCreator
	static UpstreamFaults parse(@JsonProperty("fault") Fault fault, @JsonProperty("share") Double share,
			@JsonProperty("delayMillis") long delayMillis, @JsonProperty("leaving") boolean leaving) {
		return new UpstreamFaults((fault != null) ? fault : Fault.NONE, (share != null) ? share : 1, delayMillis,
				leaving);
	}

	/**
	 * Returns a fault that hits all requests.
	 * @param fault the fault, not null
	 * @return the faults, not null
	 */
	public static UpstreamFaults always(Fault fault) {
		return new UpstreamFaults(fault, 1, 0, false);
	}

	/**
	 * Returns a copy in which a share of the requests is hit.
	 * @param share the share, 0 to 1
	 * @return the faults, not null
	 */
	public UpstreamFaults withShare(double share) {
		return new UpstreamFaults(this.fault, share, this.delayMillis, this.leaving);
	}

	/**
	 * Returns a copy with another delay.
	 * @param delayMillis the delay in milliseconds, at least 0
	 * @return the faults, not null
	 */
	public UpstreamFaults withDelayMillis(long delayMillis) {
		return new UpstreamFaults(this.fault, this.share, delayMillis, this.leaving);
	}

	/**
	 * Returns a copy that is leaving or not.
	 * @param leaving whether it is leaving
	 * @return the faults, not null
	 */
	public UpstreamFaults withLeaving(boolean leaving) {
		return new UpstreamFaults(this.fault, this.share, this.delayMillis, leaving);
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
		 * It starts and never ends; a runner answers nothing, a worker reports it as
		 * running.
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
