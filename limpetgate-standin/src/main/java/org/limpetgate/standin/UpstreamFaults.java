package org.limpetgate.standin;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Faults injected into a {@link RunnerStandIn} or a {@link WorkerStandIn}. In the JSON of
 * {@code POST /faults}, {@code fault} defaults to {@code NONE} and {@code share} to 1.
 *
 * @param fault the fault of the affected requests
 * @param share the share of affected requests, 0 to 1
 * @param delayMillis the delay in milliseconds of {@link Fault#LATE} and
 * {@link Fault#SLOW}
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
	 * Returns faults in which all requests are affected.
	 * @param fault the fault, not null
	 * @return the faults, not null
	 */
	public static UpstreamFaults always(Fault fault) {
		return new UpstreamFaults(fault, 1, 0, false);
	}

	/**
	 * Returns a copy in which a share of the requests is affected.
	 * @param share the share, 0 to 1
	 * @return the faults, not null
	 */
	public UpstreamFaults withShare(double share) {
		return new UpstreamFaults(this.fault, share, this.delayMillis, this.leaving);
	}

	/**
	 * Returns a copy with a different delay.
	 * @param delayMillis the delay in milliseconds, at least 0
	 * @return the faults, not null
	 */
	public UpstreamFaults withDelayMillis(long delayMillis) {
		return new UpstreamFaults(this.fault, this.share, delayMillis, this.leaving);
	}

	/**
	 * Returns a copy in which the upstream is leaving or not.
	 * @param leaving whether the upstream is leaving
	 * @return the faults, not null
	 */
	public UpstreamFaults withLeaving(boolean leaving) {
		return new UpstreamFaults(this.fault, this.share, this.delayMillis, leaving);
	}

	/**
	 * The fault of a request.
	 */
	public enum Fault {

		/** No fault. */
		NONE,

		/**
		 * The request starts and fails immediately; a runner responds with status 500.
		 */
		FAIL,

		/**
		 * The request starts and never ends; a runner sends no response, a worker reports
		 * the task as running.
		 */
		HANG,

		/** Half of the response body is sent, then the connection is closed. */
		TRUNCATE,

		/**
		 * The request starts, and the connection is closed immediately without a
		 * response.
		 */
		CLOSE,

		/** The run time is extended by the delay. */
		SLOW,

		/** The request runs normally, and its response is delayed. */
		LATE

	}

}
