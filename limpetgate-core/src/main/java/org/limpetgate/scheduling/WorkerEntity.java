package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * The state of one worker. Confined to the thread of the scheduler.
 */
final class WorkerEntity {

	enum Ownership {

		/** No orders may be sent; a takeover is due. */
		NOT_OWNED,
		/** The takeover poll was sent; its report has not arrived yet. */
		TAKING_OVER,
		/** All runs on the worker are known. */
		OWNED

	}

	/**
	 * The number of consecutive failed polls up to which a worker stays usable, since
	 * single messages get lost.
	 */
	private static final int MAX_POLL_FAILURES = 1;

	/**
	 * The age of the last report up to which ends are acknowledged; a worker takes longer
	 * to start again.
	 */
	private static final long MAX_ACK_REPORT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	/** The interval at which it is polled while another process has its address. */
	private static final long ENDED_POLL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

	WorkerInfo info;

	/** Whether the worker is in the current list of workers. */
	boolean listed = true;

	/**
	 * Whether only a report has shown its incarnation, which may be of another kind than
	 * the listed one.
	 */
	boolean entryOutdated;

	/**
	 * The incarnation that the known one has replaced, 0 for none. It may have a later
	 * start, since the clock of a machine may be set back.
	 */
	long formerIncarnationMillis;

	/** Whether the process that {@link #info} names has answered this owner. */
	boolean proven;

	/** Whether another process was found to listen at its address. */
	boolean processEnded;

	/**
	 * Whether another process listens at the address in its entry, which may be wrong, so
	 * that it cannot be asked.
	 */
	private boolean addressTaken;

	/** What an entry tells of another process in its place. */
	final EntryClaim claim = new EntryClaim();

	/** When the worker left the list, nanoseconds since the Unix epoch. */
	long unlistedNanos;

	/** Whether the list names the address at which it is known. */
	boolean located = true;

	/** A time at which the list still did, nanoseconds since the Unix epoch. */
	long lastLocatedNanos;

	/**
	 * Whether the next owner of the stored jobs finds it, by the list or by a saved
	 * record.
	 */
	boolean findable = true;

	/** Since when its entry names its address, nanoseconds since the Unix epoch. */
	long addressSinceNanos;

	/** Whether its data centre is drained, so that no run may start on it. */
	boolean drained;

	Ownership ownership = Ownership.NOT_OWNED;

	FencingToken token = FencingToken.NONE;

	/** Runs of this scheduler that may be present on the worker. */
	final Map<RunId, RunEntity> runs = new LinkedHashMap<>();

	/**
	 * Runs of earlier owners that no job has adopted, with the time at which each was
	 * first reported. A stop order replaces this time so that the next one is sent after
	 * the retry interval.
	 */
	final Map<RunId, Long> orphanRuns = new LinkedHashMap<>();

	private Capacity used = Capacity.NONE;

	/** Whether no other run is added to the present one. */
	boolean isolated;

	/** Whether a run was given up since the last report because the worker is silent. */
	boolean runsLost;

	/** The sequence number of the last end that was processed. */
	long lastEndNumber;

	/**
	 * Sequence numbers of ends that are not acknowledged to the worker until they are
	 * saved.
	 */
	final TreeSet<Long> unsavedEnds = new TreeSet<>();

	/**
	 * When its last takeover was completed, nanoseconds since the Unix epoch, 0 if never.
	 * Its earlier owner may have owned the stored jobs until then.
	 */
	long takenOverNanos;

	/**
	 * Ends of earlier owners' runs that are processed once it is certain which stored
	 * jobs there are.
	 */
	final List<WorkerReport.Ended> deferredEnds = new ArrayList<>();

	/**
	 * Whether a poll is due to acknowledge ends, which may be saved only now or could not
	 * be acknowledged by the last poll.
	 */
	boolean ackDue;

	/**
	 * The sequence number up to which the worker has confirmed the acknowledgement of its
	 * ends.
	 */
	private long confirmedAckNumber;

	/** Polls that are not answered yet, by sequence number. */
	final Map<Long, PendingPoll> pendingPolls = new HashMap<>();

	/** Whether the worker rejected an order as fenced since the last report. */
	boolean fenced;

	/** The worker must answer a poll sent at or after this time. */
	long verifySinceNanos;

	/**
	 * When the latest poll was sent that the worker answered under this owner's token
	 * with all of its runs and ends.
	 */
	long verifiedNanos;

	/** The same for its list of present runs alone, which is always complete. */
	private long runsVerifiedNanos;

	/** Whether the newest report does not list all of its ends. */
	boolean endsTruncated;

	/** When the poll was sent that the newest report answers. */
	private long listedNanos;

	/** The number of consecutive failed polls. */
	int pollFailures;

	/**
	 * The earliest time of the next takeover, or of the next poll after two failed ones.
	 */
	long retryNanos;

	final WorkerClock clock = new WorkerClock();

	/**
	 * When the last order that renews the lease was sent, or the report of the last
	 * takeover arrived if that is later, nanoseconds since the Unix epoch. Earlier owners
	 * cannot renew the lease after this time.
	 */
	long renewedNanos;

	/**
	 * The latest end of the lease that this scheduler has granted, nanoseconds since the
	 * Unix epoch.
	 */
	long grantedEndNanos;

	/**
	 * The latest end of the lease that an earlier owner can have granted, nanoseconds
	 * since the Unix epoch.
	 */
	long inheritedEndNanos;

	/** Whether its lease is too short for new runs and may not be prolonged. */
	boolean leaseTooShort;

	/**
	 * Whether no worker of its data centre answers at present.
	 */
	boolean dataCentreSilent;

	long lastReportNanos;

	/**
	 * Whether the current placement pass reserves the worker for the task of a starved
	 * job.
	 */
	boolean reserved;

	/** The number of consecutive failed runs. */
	int consecutiveFailures;

	/**
	 * Until this time the worker is suspect and gets tasks only if no other worker has
	 * capacity.
	 */
	long suspectUntilNanos;

	/**
	 * The ratio of the durations of its runs to those expected on a worker of speed 1.
	 */
	final GeometricMean durationRatio = GeometricMean.ofFactor();

	/** Its speed, if the speeds of workers are tracked. */
	final WorkerSpeed speed = new WorkerSpeed();

	/**
	 * The cached result of {@link RunTimeModel#factor}, and the number of samples at
	 * which it is recomputed.
	 */
	double factor;

	long factorRefreshSample;

	private final WarmUp warmUp = new WarmUp();

	/**
	 * Until when it serves its runs at least while it is draining, nanoseconds since the
	 * Unix epoch; unlimited if that is unknown.
	 */
	long drainEndNanos = Long.MAX_VALUE;

	WorkerEntity(WorkerInfo info) {
		this.info = info;
	}

	WorkerEntity(WorkerInfo info, long nowNanos) {
		this(info);
		this.addressSinceNanos = nowNanos;
		readTimes(info, nowNanos);
	}

	// Applies a listed entry of the present incarnation. An entry that was not read again
	// is listed as the same object, and its times still count from when it was read.
	void updateInfo(WorkerInfo next, long nowNanos) {
		if (next != this.info) {
			this.info = next;
			this.entryOutdated = false;
			readTimes(next, nowNanos);
		}
	}

	// Tests whether only its process can tell that it has ended. A process that has not
	// answered, or is silent and has no runs, is replaced by a listed one.
	boolean isWordOfItsProcessNeeded() {
		return this.proven && (this.pollFailures == 0 || isBusy());
	}

	// Has its process asked because an entry names another one in its place.
	void claim(WorkerInfo entry, long nowNanos) {
		if (this.claim.raise(entry, nowNanos)) {
			this.verifySinceNanos = nowNanos;
			this.retryNanos = this.fenced ? this.retryNanos : nowNanos;
		}
	}

	// Records that another process has its address. It is polled rarely from then on.
	void processEnded(long nowNanos) {
		this.proven = false;
		this.processEnded = true;
		this.claim.drop();
		loseOwnership(nowNanos + ENDED_POLL_INTERVAL_NANOS);
	}

	// Records that another process listens at the address in its entry, and that its own
	// one may still run. It is polled again when a wrong address would have been
	// corrected.
	void addressTaken(long retryAtNanos) {
		this.addressTaken = true;
		loseOwnership(retryAtNanos);
	}

	// Records that its own process has answered.
	void processAnswered() {
		this.proven = true;
		this.processEnded = false;
		this.addressTaken = false;
	}

	// Tests whether it has answered a poll that was sent at or after a time, or has no
	// process that could have runs.
	boolean isVerified(long sinceNanos) {
		return this.processEnded || this.verifiedNanos >= sinceNanos;
	}

	boolean areRunsVerified(long sinceNanos) {
		return this.processEnded || this.runsVerifiedNanos >= sinceNanos;
	}

	// Records what a report under this owner's token proves.
	void verify(WorkerReport report, long sentNanos) {
		this.runsVerifiedNanos = Math.max(this.runsVerifiedNanos, sentNanos);
		if (report.endsComplete()) {
			this.verifiedNanos = Math.max(this.verifiedNanos, sentNanos);
		}
		if (sentNanos >= this.listedNanos) {
			this.listedNanos = sentNanos;
			this.endsTruncated = !report.endsComplete();
		}
	}

	// Tests whether it may have ends that its reports do not list yet and that count,
	// since its lease has not run out since.
	boolean mayHaveUnreadEnds(long nowNanos) {
		return this.endsTruncated && (this.pollFailures == 0 || nowNanos < latestLeaseEndNanos());
	}

	// Tests whether an acknowledgement would make room for ends that are not listed yet.
	boolean isAckUrgent() {
		return this.endsTruncated && ackNumber() > this.confirmedAckNumber;
	}

	private void readTimes(WorkerInfo next, long nowNanos) {
		this.warmUp.read(TimeUnit.MILLISECONDS.toNanos(next.coldRemainingMillis()), nowNanos);
		boolean known = next.draining() && next.drainRemainingMillis() != WorkerInfo.UNKNOWN;
		this.drainEndNanos = known ? nowNanos + TimeUnit.MILLISECONDS.toNanos(next.drainRemainingMillis())
				: Long.MAX_VALUE;
	}

	boolean isCold(long nowNanos) {
		return this.warmUp.isCold(nowNanos);
	}

	// Tests whether a cold worker may take a demand: all tasks of a fully loaded cold
	// worker would be late, while the first few show how slow it is.
	boolean isWarmEnough(Capacity demand, long nowNanos) {
		if (!isCold(nowNanos) || this.runs.isEmpty()) {
			return true;
		}
		long limit = this.warmUp.loadLimit(this.info.capacity().cpuMillis(), nowNanos);
		return this.used.cpuMillis() + demand.cpuMillis() <= limit;
	}

	void add(RunEntity run) {
		this.runs.put(run.id(), run);
		this.used = this.used.plus(run.demand());
	}

	void remove(RunEntity run) {
		if (this.runs.remove(run.id()) != null) {
			this.used = this.used.minus(run.demand());
		}
		this.isolated &= !this.runs.isEmpty();
	}

	Capacity freeCapacity() {
		return this.info.capacity().minus(this.used);
	}

	// Tests whether new runs may be placed on the worker.
	boolean isUsable() {
		return isEligible() && this.ownership == Ownership.OWNED && this.orphanRuns.isEmpty()
				&& this.pollFailures <= MAX_POLL_FAILURES && !this.leaseTooShort;
	}

	// Tests whether new runs may be placed on the worker once its takeover is complete,
	// which is expected because it was not found silent.
	boolean isBeingTakenOver() {
		return isEligible() && this.pollFailures <= MAX_POLL_FAILURES
				&& (this.ownership != Ownership.OWNED || !this.orphanRuns.isEmpty());
	}

	private boolean isEligible() {
		return this.listed && !this.entryOutdated && !this.claim.isOpen() && !this.processEnded && !this.addressTaken
				&& !this.info.draining() && !this.drained && !this.dataCentreSilent;
	}

	// Tests whether nothing but the run may be present on the worker.
	boolean isAlone(RunEntity run) {
		return this.runs.size() == 1 && this.runs.containsKey(run.id()) && this.orphanRuns.isEmpty() && !this.runsLost;
	}

	boolean isBusy() {
		return !this.runs.isEmpty() || !this.orphanRuns.isEmpty();
	}

	// Returns the sequence number up to which ends may be acknowledged to the worker.
	long ackNumber() {
		return this.unsavedEnds.isEmpty() ? this.lastEndNumber : this.unsavedEnds.first() - 1;
	}

	// Records a poll that is sent now and returns the sequence number up to which it
	// acknowledges ends, 0 for none. The next incarnation numbers its ends anew, so that
	// an acknowledgement is sent only right after a report, and not again once a report
	// has confirmed it.
	long addPoll(long sequence, long nowNanos) {
		boolean due = ackNumber() > this.confirmedAckNumber;
		boolean known = this.pollFailures == 0 && nowNanos - this.lastReportNanos <= MAX_ACK_REPORT_AGE_NANOS;
		long number = (due && known) ? ackNumber() : 0;
		this.pendingPolls.put(sequence, new PendingPoll(nowNanos, number));
		this.ackDue = due && !known;
		return number;
	}

	// Records that the known incarnation has answered a poll.
	void pollAnswered(PendingPoll poll) {
		this.pollFailures = 0;
		this.confirmedAckNumber = Math.max(this.confirmedAckNumber, poll.ackNumber());
	}

	void removeUnsavedEnd(long endNumber) {
		this.unsavedEnds.remove(endNumber);
		this.ackDue = true;
	}

	// Tests whether the worker is suspect and gets no further run until it is idle.
	boolean isHeldBack(long nowNanos) {
		return this.suspectUntilNanos > nowNanos && !this.runs.isEmpty();
	}

	void markSuspect(long nanos, long nowNanos) {
		this.suspectUntilNanos = Math.max(this.suspectUntilNanos, nowNanos + nanos);
	}

	void loseOwnership(long retryAtNanos) {
		this.ownership = Ownership.NOT_OWNED;
		this.retryNanos = retryAtNanos;
	}

	// Returns when its lease ends at the latest, whoever granted it.
	long latestLeaseEndNanos() {
		return Math.max(this.grantedEndNanos, this.inheritedEndNanos);
	}

	// Resets the state for a new incarnation, which has no tokens, runs or ends of the
	// previous one. Whether the previous one was fenced stays, since its other owner may
	// have acknowledged ends there, and failed polls count until the new one reports.
	void startIncarnation(WorkerInfo next, long nowNanos) {
		if (next.incarnationMillis() != this.info.incarnationMillis()) {
			this.formerIncarnationMillis = this.info.incarnationMillis();
		}
		this.proven = false;
		this.processEnded = false;
		this.addressTaken = false;
		this.addressSinceNanos = nowNanos;
		this.claim.drop();
		this.speed.reset();
		this.factorRefreshSample = 0;
		this.clock.startIncarnation();
		this.warmUp.end();
		updateInfo(next, nowNanos);
		this.runs.clear();
		this.orphanRuns.clear();
		this.runsLost = false;
		this.isolated = false;
		this.pendingPolls.clear();
		this.used = Capacity.NONE;
		this.lastEndNumber = 0;
		this.confirmedAckNumber = 0;
		this.unsavedEnds.clear();
		this.deferredEnds.clear();
		this.ownership = Ownership.NOT_OWNED;
		this.verifiedNanos = 0;
		this.runsVerifiedNanos = 0;
		this.endsTruncated = false;
		this.listedNanos = 0;
		this.retryNanos = 0;
		this.grantedEndNanos = 0;
		this.inheritedEndNanos = 0;
		this.leaseTooShort = false;
		this.consecutiveFailures = 0;
		this.suspectUntilNanos = 0;
	}

	@Override
	public String toString() {
		return this.info.id().toString();
	}

}
