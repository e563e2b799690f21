package org.limpetgate.standin;

/**
 * The faults of a {@link PlatformStandIn}. In the JSON of the control path, fields that
 * are left out have no fault.
 *
 * @param logDown whether requests to the log are answered with status 503 and without an
 * outcome; nothing is stored
 * @param logHangs whether requests to the log are never answered; nothing is stored
 * @param logDelayMillis a delay of each answer of the log, after the change took effect
 * @param lostAppendAnswers how many of the next appends are stored but not answered; the
 * connection is closed instead
 * @param truncatedReads whether answers to reads are cut short
 * @param staleReads whether reads return no records that were stored since this was set
 * @param hostListDown whether the host list is answered with status 503
 * @param hostListFrozen whether the host list stays as it was when this was set
 */
public record PlatformFaults(boolean logDown, boolean logHangs, long logDelayMillis, int lostAppendAnswers,
		boolean truncatedReads, boolean staleReads, boolean hostListDown, boolean hostListFrozen) {

	/** No faults. */
	public static final PlatformFaults NONE = new PlatformFaults(false, false, 0, 0, false, false, false, false);

	/**
	 * Returns a copy in which the log is down or not.
	 * @param logDown whether it is down
	 * @return the faults, not null
	 */
	public PlatformFaults withLogDown(boolean logDown) {
		return new PlatformFaults(logDown, this.logHangs, this.logDelayMillis, this.lostAppendAnswers,
				this.truncatedReads, this.staleReads, this.hostListDown, this.hostListFrozen);
	}

	/**
	 * Returns a copy in which the log hangs or not.
	 * @param logHangs whether it hangs
	 * @return the faults, not null
	 */
	public PlatformFaults withLogHangs(boolean logHangs) {
		return new PlatformFaults(this.logDown, logHangs, this.logDelayMillis, this.lostAppendAnswers,
				this.truncatedReads, this.staleReads, this.hostListDown, this.hostListFrozen);
	}

	/**
	 * Returns a copy with another delay of the log.
	 * @param logDelayMillis the delay of each answer in milliseconds
	 * @return the faults, not null
	 */
	public PlatformFaults withLogDelayMillis(long logDelayMillis) {
		return new PlatformFaults(this.logDown, this.logHangs, logDelayMillis, this.lostAppendAnswers,
				this.truncatedReads, this.staleReads, this.hostListDown, this.hostListFrozen);
	}

	/**
	 * Returns a copy in which append answers are lost.
	 * @param lostAppendAnswers how many of the next answers
	 * @return the faults, not null
	 */
	public PlatformFaults withLostAppendAnswers(int lostAppendAnswers) {
		return new PlatformFaults(this.logDown, this.logHangs, this.logDelayMillis, lostAppendAnswers,
				this.truncatedReads, this.staleReads, this.hostListDown, this.hostListFrozen);
	}

	/**
	 * Returns a copy in which reads are truncated or not.
	 * @param truncatedReads whether they are truncated
	 * @return the faults, not null
	 */
	public PlatformFaults withTruncatedReads(boolean truncatedReads) {
		return new PlatformFaults(this.logDown, this.logHangs, this.logDelayMillis, this.lostAppendAnswers,
				truncatedReads, this.staleReads, this.hostListDown, this.hostListFrozen);
	}

	/**
	 * Returns a copy in which reads are stale or not.
	 * @param staleReads whether they are stale
	 * @return the faults, not null
	 */
	public PlatformFaults withStaleReads(boolean staleReads) {
		return new PlatformFaults(this.logDown, this.logHangs, this.logDelayMillis, this.lostAppendAnswers,
				this.truncatedReads, staleReads, this.hostListDown, this.hostListFrozen);
	}

	/**
	 * Returns a copy with other faults of the host list.
	 * @param hostListDown whether it is down
	 * @param hostListFrozen whether it is frozen
	 * @return the faults, not null
	 */
	public PlatformFaults withHostList(boolean hostListDown, boolean hostListFrozen) {
		return new PlatformFaults(this.logDown, this.logHangs, this.logDelayMillis, this.lostAppendAnswers,
				this.truncatedReads, this.staleReads, hostListDown, hostListFrozen);
	}

}
