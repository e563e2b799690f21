package org.limpetgate.scheduling;

/**
 * The claim of an entry that another process has replaced that of a worker.
 * <p>
 * An entry may come from another writer, so that only an answer from the address of the
 * worker settles its claim. A claim that was refuted is not raised again. Not
 * thread-safe.
 */
final class EntryClaim {

	/** The entry that makes the claim, null if there is none. */
	private WorkerInfo entry;

	/** When it was raised, nanoseconds since the Unix epoch. */
	private long raisedNanos;

	/** The incarnation of the last claim that was refuted, 0 if none was. */
	private long refutedMillis;

	boolean isOpen() {
		return this.entry != null;
	}

	/**
	 * Raises the claim of an entry.
	 * @param claimant the entry, not null
	 * @param nowNanos the current time
	 * @return false if it was refuted, or if there is a claim of a later incarnation
	 */
	boolean raise(WorkerInfo claimant, long nowNanos) {
		boolean refuted = claimant.incarnationMillis() == this.refutedMillis;
		if (refuted || (isOpen() && this.entry.incarnationMillis() >= claimant.incarnationMillis())) {
			return false;
		}
		this.entry = claimant;
		this.raisedNanos = nowNanos;
		return true;
	}

	/**
	 * Returns the entry that claims an incarnation of the same worker.
	 * @param worker the worker, not null
	 * @param incarnationMillis the incarnation that has answered
	 * @return the entry, null if there is none
	 */
	WorkerInfo entryOf(WorkerInfo worker, long incarnationMillis) {
		boolean found = isOpen() && this.entry.isSameLocation(worker)
				&& this.entry.incarnationMillis() == incarnationMillis;
		return found ? this.entry : null;
	}

	/**
	 * Drops the claim if the process of the worker has answered a poll that was sent
	 * since.
	 * @param sentNanos when the poll was sent
	 * @return the entry that made the claim, null if no claim is refuted
	 */
	WorkerInfo refute(long sentNanos) {
		if (!isOpen() || sentNanos < this.raisedNanos) {
			return null;
		}
		WorkerInfo refuted = this.entry;
		this.refutedMillis = refuted.incarnationMillis();
		this.entry = null;
		return refuted;
	}

	void drop() {
		this.entry = null;
	}

}
