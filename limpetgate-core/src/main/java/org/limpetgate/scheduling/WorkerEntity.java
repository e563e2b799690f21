package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The state of one worker. Belongs to the thread of the scheduler.
 */
final class WorkerEntity {

	enum Ownership {

		/** Nothing may be ordered; a takeover is due. */
		NOT_OWNED,
		/** The first report under a new token is awaited. */
		TAKING_OVER,
		/** All that runs on the worker is known. */
		OWNED

	}

	/** One poll without an answer does not make a worker suspect; orders get lost. */
	private static final int MAX_POLL_FAILURES = 1;

	WorkerInfo info;

	/** Whether the worker stands in the list of upstreams. */
	boolean listed = true;

	/** When the worker left the list, nanoseconds since the Unix epoch. */
	long unlistedNanos;

	Ownership ownership = Ownership.NOT_OWNED;

	FencingToken token = FencingToken.NONE;

	/** Runs of this scheduler that may be present. */
	final Map<RunId, RunEntity> runs = new LinkedHashMap<>();

	/**
	 * Runs of earlier owners that no job has claimed, with the time of their discovery.
	 */
	final Map<RunId, Long> orphanRuns = new LinkedHashMap<>();

	private Capacity used = Capacity.NONE;

	/** The number of the last end that was taken note of. */
	long lastEndNumber;

	/** Numbers of ends that the worker must go on listing until they are saved. */
	final TreeSet<Long> unsavedEnds = new TreeSet<>();

	/** Ends of earlier owners' runs that wait for the stored jobs to be known. */
	final List<WorkerReport.Ended> deferredEnds = new ArrayList<>();

	/** Whether a poll is due to acknowledge ends. */
	boolean ackDue;

	/** Polls without an answer: their sequence numbers and when they were sent. */
	final Map<Long, Long> pendingPolls = new HashMap<>();

	/** Whether another owner was met since the last report. */
	boolean fenced;

	/** The worker is to be polled once after this time. */
	long verifySinceNanos;

	/** The latest time at which a poll was sent that this owner's token has passed. */
	long verifiedNanos;

	/** Failed polls in a row. */
	int pollFailures;

	/** No poll is sent before this time while the worker is not owned. */
	long retryNanos;

	private long clockMillis;

	private long clockReadNanos;

	/** When the last order that renews the lease was sent. */
	long renewedNanos;

	long lastReportNanos;

	/** Whether the present pass over the waiting jobs keeps it free for a large task. */
	boolean reserved;

	/** Failed runs in a row. */
	int failuresInRow;

	/** Until this time the worker gets work only if there is no other. */
	long suspectUntilNanos;

	/** Factor of its run times against those expected of a typical worker. */
	final SpeedEstimate speed = SpeedEstimate.ofFactor();

	/**
	 * The factor as last worked out, and the number of samples at which it is worked out
	 * anew.
	 */
	double factor;

	long factorRefreshSample;

	WorkerEntity(WorkerInfo info) {
		this.info = info;
	}

	void add(RunEntity run) {
		this.runs.put(run.id(), run);
		this.used = this.used.plus(run.demand());
	}

	void remove(RunEntity run) {
		if (this.runs.remove(run.id()) != null) {
			this.used = this.used.minus(run.demand());
		}
	}

	Capacity freeCapacity() {
		return this.info.capacity().minus(this.used);
	}

	// Tests whether new runs may be placed here.
	boolean isUsable() {
		return this.listed && !this.info.draining() && this.ownership == Ownership.OWNED && this.orphanRuns.isEmpty()
				&& this.pollFailures <= MAX_POLL_FAILURES;
	}

	boolean isBusy() {
		return !this.runs.isEmpty() || !this.orphanRuns.isEmpty();
	}

	// Returns the number up to which the worker may forget ends.
	long ackNumber() {
		return this.unsavedEnds.isEmpty() ? this.lastEndNumber : this.unsavedEnds.first() - 1;
	}

	void endSaved(long endNumber) {
		this.unsavedEnds.remove(endNumber);
		this.ackDue = true;
	}

	void markSuspect(long nanos, long nowNanos) {
		this.suspectUntilNanos = Math.max(this.suspectUntilNanos, nowNanos + nanos);
	}

	void loseOwnership(long retryAtNanos) {
		this.ownership = Ownership.NOT_OWNED;
		this.retryNanos = retryAtNanos;
	}

	long leaseEndMillis(SchedulerSettings settings, long nowNanos) {
		return clockMillis(nowNanos) + settings.leaseMillis();
	}

	void updateClock(long millis, long nowNanos) {
		this.clockMillis = millis;
		this.clockReadNanos = nowNanos;
	}

	long clockMillis(long nowNanos) {
		return this.clockMillis + (nowNanos - this.clockReadNanos) / 1_000_000;
	}

	// Forgets a life that has ended.
	void startIncarnation(WorkerInfo next) {
		this.info = next;
		this.runs.clear();
		this.orphanRuns.clear();
		this.pendingPolls.clear();
		this.used = Capacity.NONE;
		this.lastEndNumber = 0;
		this.unsavedEnds.clear();
		this.deferredEnds.clear();
		this.ownership = Ownership.NOT_OWNED;
		this.retryNanos = 0;
		this.failuresInRow = 0;
		this.suspectUntilNanos = 0;
	}

	@Override
	public String toString() {
		return this.info.id().toString();
	}

}
