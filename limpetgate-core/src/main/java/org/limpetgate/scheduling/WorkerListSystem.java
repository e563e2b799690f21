package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.limpetgate.UpstreamId;

/**
 * Applies the list of workers.
 * <p>
 * Invariant: an entry neither ends a process that has answered this owner nor changes
 * what identifies it. An entry that names another process in its place is a claim, which
 * the next answer from the address of the worker settles. Not thread-safe.
 */
final class WorkerListSystem {

	/** A worker that left the list may still be running for this long. */
	private static final long UNLISTED_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(6);

	/**
	 * The age of the heartbeat and of the submission that tell when the workers of an
	 * earlier scheduler were listed; each is refused when it is 0.7 s old.
	 */
	private static final long MAX_MESSAGE_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

	/** An entry stays in the list for longer after its worker was last heard. */
	private static final long MAX_READ_GAP_NANOS = TimeUnit.SECONDS.toNanos(3);

	private final SchedulerTables tables;

	private final LossSystem losses;

	/** Workers that left the list and are no longer kept track of. */
	private final DepartedWorkers departed = new DepartedWorkers();

	/**
	 * The entries of workers that are asked first where an earlier owner used them, until
	 * the next list.
	 */
	private final Map<UpstreamId, WorkerInfo> displacedEntries = new HashMap<>();

	/**
	 * Since when every change of the list has been seen, nanoseconds since the Unix
	 * epoch, 0 before the first worker was listed.
	 */
	private long followedSinceNanos;

	/**
	 * What {@link #usedWorkersListedNanos} returned when this scheduler was active last.
	 */
	private long formerlyListedNanos = Long.MAX_VALUE;

	WorkerListSystem(SchedulerTables tables, LossSystem losses) {
		this.tables = tables;
		this.losses = losses;
	}

	// Replaces the list of workers.
	void replace(Collection<WorkerInfo> entries, long nowNanos) {
		this.tables.scanDue = true;
		this.displacedEntries.clear();
		Set<UpstreamId> listedIds = new HashSet<>();
		for (WorkerInfo entry : entries) {
			listedIds.add(entry.id());
			WorkerEntity worker = this.tables.workers.get(entry.id());
			if (worker == null) {
				this.tables.workers.put(entry.id(), new WorkerEntity(entry, nowNanos));
			}
			else {
				apply(entry, worker, nowNanos);
			}
		}
		claimSharedAddresses(entries, nowNanos);
		markListed(listedIds, nowNanos);
		markLocated(entries);
		markDrained();
		removeUnlisted(nowNanos);
		if (this.followedSinceNanos == 0 && !entries.isEmpty()) {
			this.followedSinceNanos = nowNanos;
		}
		this.tables.placementDue = true;
		this.tables.workerRecordsDue = true;
	}

	private void removeUnlisted(long nowNanos) {
		for (WorkerEntity worker : List.copyOf(this.tables.workers.values())) {
			boolean retained = worker.listed || worker.isBusy()
					|| nowNanos - worker.unlistedNanos <= UNLISTED_RETENTION_NANOS;
			if (!retained) {
				this.tables.workers.remove(worker.info.id());
				this.departed.add(worker.info, worker.unlistedNanos);
			}
		}
		this.departed.removeBefore(nowNanos - this.tables.settings.unrecordedUseNanos());
	}

	private void apply(WorkerInfo entry, WorkerEntity worker, long nowNanos) {
		if (entry.incarnationMillis() < worker.info.incarnationMillis()
				|| entry.incarnationMillis() == worker.formerIncarnationMillis) {
			return;
		}
		boolean sameIncarnation = entry.incarnationMillis() == worker.info.incarnationMillis();
		if (!worker.isWordOfItsProcessNeeded()) {
			adopt(entry, worker, nowNanos);
		}
		else if (!sameIncarnation) {
			worker.claim(entry, nowNanos);
		}
		else if (worker.info.isSameProcess(entry)) {
			worker.updateInfo(entry, nowNanos);
		}
	}

	// Takes the entry for the worker, about which nothing else is known. A process keeps
	// its address, so that another address is one of another process too.
	private void adopt(WorkerInfo entry, WorkerEntity worker, long nowNanos) {
		if (entry.incarnationMillis() == worker.info.incarnationMillis() && !entry.isSameLocation(worker.info)) {
			// One of the addresses is wrong.
			this.departed.add(worker.info, nowNanos);
		}
		if (entry.incarnationMillis() > worker.info.incarnationMillis()
				|| !entry.address().equals(worker.info.address())) {
			this.losses.startIncarnation(worker, entry, nowNanos);
		}
		else {
			worker.updateInfo(entry, nowNanos);
		}
	}

	// A process has ended if another one has its address. Its entry may stay in the list
	// for seconds, and the entry of the later one may be wrong.
	private void claimSharedAddresses(Collection<WorkerInfo> entries, long nowNanos) {
		Map<InetSocketAddress, WorkerInfo> latest = new HashMap<>();
		entries.forEach((entry) -> latest.merge(entry.address(), entry,
				(one, other) -> (one.incarnationMillis() > other.incarnationMillis()) ? one : other));
		for (WorkerEntity worker : this.tables.workers.values()) {
			WorkerInfo successor = latest.get(worker.info.address());
			if (successor != null && !successor.id().equals(worker.info.id())
					&& successor.incarnationMillis() > worker.info.incarnationMillis() && !worker.processEnded) {
				worker.claim(successor, nowNanos);
			}
		}
	}

	private void markListed(Set<UpstreamId> listedIds, long nowNanos) {
		for (WorkerEntity worker : this.tables.workers.values()) {
			boolean listed = listedIds.contains(worker.info.id());
			if (worker.listed && !listed) {
				worker.unlistedNanos = nowNanos;
			}
			worker.listed = listed;
		}
	}

	// Records which workers another scheduler can find by the list.
	private void markLocated(Collection<WorkerInfo> entries) {
		Set<UpstreamId> located = new HashSet<>();
		for (WorkerInfo entry : entries) {
			if (this.tables.workers.get(entry.id()).info.isSameLocation(entry)) {
				located.add(entry.id());
			}
		}
		for (WorkerEntity worker : this.tables.workers.values()) {
			boolean isLocated = located.contains(worker.info.id());
			if (worker.located && !isLocated) {
				worker.lastLocatedNanos = this.tables.listProvenNanos;
			}
			worker.located = isLocated;
		}
	}

	// Applies a change of the drained data centres.
	void drainsChanged() {
		markDrained();
		this.tables.placementDue = true;
	}

	private void markDrained() {
		for (WorkerEntity worker : this.tables.workers.values()) {
			worker.drained = this.tables.drainedDataCentres.contains(worker.info.dataCentre());
		}
	}

	// Records that the process of a worker has answered a poll from its address.
	void processAnswered(WorkerEntity worker, long sentNanos) {
		worker.processAnswered();
		WorkerInfo refuted = worker.claim.refute(sentNanos);
		if (refuted != null) {
			this.tables.emit(new SchedulingEffect.EntryRefuted(worker.info, refuted));
		}
	}

	// Records that another process has answered a poll from the address of a worker. An
	// entry may name a wrong address at first, and the worker may run at another one; it
	// would have written that since.
	void otherProcessAnswered(WorkerEntity worker, long nowNanos) {
		long correctedNanos = worker.addressSinceNanos + UNLISTED_RETENTION_NANOS;
		boolean taken = isProvenAt(worker.info.address(), worker);
		if (worker.proven || (taken && nowNanos > correctedNanos)) {
			this.losses.endIncarnation(worker, nowNanos);
			worker.processEnded(nowNanos);
			this.tables.placementDue = true;
		}
		else if (taken) {
			worker.addressTaken(correctedNanos);
			this.tables.placementDue = true;
		}
	}

	// The address in an entry may be wrong until a process has answered there.
	private boolean isProvenAt(InetSocketAddress address, WorkerEntity except) {
		return this.tables.workers.values()
			.stream()
			.anyMatch((worker) -> worker != except && worker.proven && worker.info.address().equals(address));
	}

	// Records that workers may have left the list unseen until now: those of other data
	// centres before the scope became wider, or any while the machine was suspended.
	void historyLost(long nowNanos) {
		this.followedSinceNanos = nowNanos;
	}

	// Records that the list includes every worker that registered before a time. A worker
	// that came and left between two reads that are far apart was never listed, so that
	// the list counts as new after them.
	void proven(long provenNanos) {
		if (provenNanos - this.tables.listProvenNanos > MAX_READ_GAP_NANOS) {
			historyLost(provenNanos);
		}
		this.tables.listProvenNanos = provenNanos;
	}

	// Tests whether every worker that was listed at a time is kept track of, although it
	// may have left the list since. An earlier scheduler may go on renewing runs on such
	// workers, and use them if the store refuses it.
	boolean includesWorkersListedAt(long listedNanos, long nowNanos) {
		return nowNanos - listedNanos <= UNLISTED_RETENTION_NANOS - MAX_MESSAGE_AGE_NANOS;
	}

	// Returns when all workers on which this scheduler has runs, or had some when it was
	// active last, and all that it may use were listed at their addresses.
	long usedWorkersListedNanos() {
		long listedNanos = Math.min(this.tables.listProvenNanos, this.formerlyListedNanos);
		for (WorkerEntity worker : this.tables.workers.values()) {
			if (!worker.located && worker.isBusy()) {
				listedNanos = Math.min(listedNanos, worker.lastLocatedNanos);
			}
		}
		return listedNanos;
	}

	// Keeps track of the workers that an earlier owner of the stored jobs may use though
	// the list does not name them: those that it has recorded, and those that left the
	// list so recently that it may not have recorded them.
	void trackUsedWorkers(List<WorkerInfo> recorded, long nowNanos) {
		this.departed.removeBefore(nowNanos - this.tables.settings.unrecordedUseNanos());
		this.departed.removeAll().forEach((info) -> track(info, nowNanos));
		recorded.forEach((info) -> track(info, nowNanos));
		this.tables.scanDue = true;
	}

	// An earlier owner had its answer from the address where it used the worker, so that
	// it is asked there first, wherever its entry says that it is.
	private void track(WorkerInfo info, long nowNanos) {
		WorkerEntity worker = this.tables.workers.get(info.id());
		if (worker == null) {
			worker = new WorkerEntity(info, nowNanos);
			worker.listed = false;
			worker.unlistedNanos = nowNanos;
			this.tables.workers.put(info.id(), worker);
		}
		else if (worker.proven || worker.info.isSameLocation(info)) {
			return;
		}
		else {
			this.displacedEntries.put(info.id(), worker.info);
			this.losses.startIncarnation(worker, info, nowNanos);
		}
		worker.proven = true;
		worker.located = false;
	}

	// Goes back to the entry of a worker that does not answer where an earlier owner used
	// it.
	void pollFailed(WorkerEntity worker, long nowNanos) {
		if (!worker.isWordOfItsProcessNeeded()) {
			WorkerInfo entry = this.displacedEntries.remove(worker.info.id());
			if (entry != null) {
				adopt(entry, worker, nowNanos);
				worker.located = true;
			}
		}
	}

	void activate() {
		this.displacedEntries.clear();
		this.formerlyListedNanos = Long.MAX_VALUE;
	}

	// Keeps what the hosts of the jobs that are handed over have to know.
	void deactivate() {
		this.formerlyListedNanos = usedWorkersListedNanos();
	}

	// Tests whether every worker that an earlier scheduler may have used until a time is
	// known: the list was read since then, and has been followed for so long that a
	// worker which is no longer listed has no runs.
	boolean isComplete(long sinceNanos, long nowNanos) {
		return isFollowed(sinceNanos, UNLISTED_RETENTION_NANOS, nowNanos);
	}

	// Tests whether every worker that an earlier owner of the stored jobs may have used
	// until a time is known, by the list or by its record.
	boolean isCompleteForStoredJobs(long sinceNanos, long nowNanos) {
		return isFollowed(sinceNanos, this.tables.settings.unrecordedUseNanos(), nowNanos);
	}

	private boolean isFollowed(long sinceNanos, long durationNanos, long nowNanos) {
		return this.tables.allDataCentres && this.tables.listProvenNanos >= sinceNanos && this.followedSinceNanos != 0
				&& nowNanos - this.followedSinceNanos > durationNanos;
	}

}
