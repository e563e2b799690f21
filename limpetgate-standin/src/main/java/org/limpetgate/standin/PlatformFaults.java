package org.limpetgate.standin;

/**
 * Faults injected into a {@link PlatformStandIn}. In the JSON of {@code POST /faults}, a
 * missing field means no such fault.
 *
 * @param logDown whether log requests fail with status 503 and without an outcome;
 * nothing is stored
 * @param logHangs whether log requests get no response; nothing is stored
 * @param logDelayMillis delay of each response of the log, after the request took effect,
 * in milliseconds
 * @param lostAppendAnswers number of upcoming appends that are stored but get no
 * response; the connection is closed instead
 * @param truncatedReads whether responses to reads are truncated
 * @param staleReads whether reads hide the records that were stored after this fault was
 * set
 * @param hostListDown whether host list requests fail with status 503
 * @param hostListFrozen whether the host list stays in the state it had when this fault
 * was set
 */
public record PlatformFaults(boolean logDown, boolean logHangs, long logDelayMillis, int lostAppendAnswers,
		boolean truncatedReads, boolean staleReads, boolean hostListDown, boolean hostListFrozen) {

	/** No faults. */
	public static final PlatformFaults NONE = new PlatformFaults(false, false, 0, 0, false, false, false, false);

	/**
	 * Returns a copy with or without an unavailable log.
	 * @param logDown whether it is down
	 * @return the faults, not null
	 */
	public PlatformFaults withLogDown(boolean logDown) {
		return new PlatformFaults(logDown, this.logHangs, this.logDelayMillis, this.lostAppendAnswers,
				this.truncatedReads, this.staleReads, this.hostListDown, this.hostListFrozen);
	}

	/**
	 * Returns a copy with or without a hanging log.
	 * @param logHangs whether it hangs
	 * @return the faults, not null
	 */
	public PlatformFaults withLogHangs(boolean logHangs) {
		return new PlatformFaults(this.logDown, logHangs, this.logDelayMillis, this.lostAppendAnswers,
				this.truncatedReads, this.staleReads, this.hostListDown, this.hostListFrozen);
	}

	/**
	 * Returns a copy with a different delay of the log.
	 * @param logDelayMillis the delay of each response in milliseconds
	 * @return the faults, not null
	 */
	public PlatformFaults withLogDelayMillis(long logDelayMillis) {
		return new PlatformFaults(this.logDown, this.logHangs, logDelayMillis, this.lostAppendAnswers,
				this.truncatedReads, this.staleReads, this.hostListDown, this.hostListFrozen);
	}

	/**
	 * Returns a copy with lost append responses.
	 * @param lostAppendAnswers the number of upcoming appends whose responses are lost
	 * @return the faults, not null
	 */
	public PlatformFaults withLostAppendAnswers(int lostAppendAnswers) {
		return new PlatformFaults(this.logDown, this.logHangs, this.logDelayMillis, lostAppendAnswers,
				this.truncatedReads, this.staleReads, this.hostListDown, this.hostListFrozen);
	}

	/**
	 * Returns a copy with or without truncated reads.
	 * @param truncatedReads whether they are truncated
	 * @return the faults, not null
	 */
	public PlatformFaults withTruncatedReads(boolean truncatedReads) {
		return new PlatformFaults(this.logDown, this.logHangs, this.logDelayMillis, this.lostAppendAnswers,
				truncatedReads, this.staleReads, this.hostListDown, this.hostListFrozen);
	}

	/**
	 * Returns a copy with or without stale reads.
	 * @param staleReads whether they are stale
	 * @return the faults, not null
	 */
	public PlatformFaults withStaleReads(boolean staleReads) {
		return new PlatformFaults(this.logDown, this.logHangs, this.logDelayMillis, this.lostAppendAnswers,
				this.truncatedReads, staleReads, this.hostListDown, this.hostListFrozen);
	}

	/**
	 * Returns a copy with different faults of the host list.
	 * @param hostListDown whether it is down
	 * @param hostListFrozen whether it is frozen
	 * @return the faults, not null
	 */
	public PlatformFaults withHostList(boolean hostListDown, boolean hostListFrozen) {
		return new PlatformFaults(this.logDown, this.logHangs, this.logDelayMillis, this.lostAppendAnswers,
				this.truncatedReads, this.staleReads, hostListDown, hostListFrozen);
	}

}
