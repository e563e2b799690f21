package org.limpetgate.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.Resources;
import org.limpetgate.platform.LeaseId;
import org.limpetgate.platform.LeaseState;
import org.limpetgate.platform.LeaseStatus;
import org.limpetgate.platform.WorkerTask;
import org.limpetgate.platform.WorkerUsage;

/**
 * The leases of a {@link WorkerStandIn}.
 * <p>
 * A lease is retained at least as long as a start with its id would be accepted, so that
 * a task never starts twice and a tombstone never expires too early. For leases issued
 * before this process could have seen every request for them, the worker neither starts a
 * task nor proves that none was started. {@code docs/decisions/worker-leases.md} gives
 * the reasons.
 * <p>
 * Not thread-safe. Times are nanoseconds since the Unix epoch.
 */
final class LeaseTable {

	/** Maximum age of a lease at its start. */
	static final Duration MAX_START_AGE = Duration.ofSeconds(60);

	private static final int MAX_LEASES = 200_000;

	private static final long MAX_RESPONSE_BYTES = 64L * 1024 * 1024;

	private static final long BUSY_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private static final String CHECKPOINT_PREFIX = "done-nanos-";

	private static final byte[] EMPTY = {};

	private final WorkerSettings settings;

	private final long proofWindowStartNanos;

	private final Map<LeaseId, Lease> leases = new LinkedHashMap<>();

	private final Set<Lease> running = new HashSet<>();

	private final Deque<Lease> completed = new ArrayDeque<>();

	private final Deque<UsageSample> samples = new ArrayDeque<>();

	private Resources used = Resources.NONE;

	private long responseBytes;

	private boolean leaving;

	LeaseTable(WorkerSettings settings, long startNanos) {
		this.settings = settings;
		this.proofWindowStartNanos = settings.firstIncarnation() ? Long.MIN_VALUE
				: startNanos + settings.clockSkew().toNanos();
		this.samples.add(new UsageSample(startNanos, Resources.NONE, 0));
	}

	void setLeaving(boolean leaving) {
		this.leaving = leaving;
	}

	boolean isSeen(LeaseId id) {
		return this.leases.containsKey(id);
	}

	boolean isEnded(LeaseId id) {
		Lease lease = this.leases.get(id);
		return lease != null && lease.state.isEnded();
	}

	/**
	 * Starts a task, or returns the current state if the lease is already known.
	 * @param id the lease
	 * @param task the task
	 * @param simulatedRun the work and the result of the task
	 * @param leaseNanos the duration of the lease
	 * @param nowNanos the current time
	 * @return the state
	 * @throws DispatchException if the start is refused
	 */
	LeaseStatus start(LeaseId id, WorkerTask task, SimulatedRun simulatedRun, long leaseNanos, long nowNanos) {
		tick(nowNanos);
		Lease seen = this.leases.get(id);
		if (seen != null) {
			return status(seen, nowNanos);
		}
		if (!isWithinProofWindow(id, nowNanos)) {
			throw DispatchException.of(ErrorKind.PLATFORM_UNAVAILABLE, Outcome.UNKNOWN,
					"lease " + id + " was issued before this worker started or too long ago");
		}
		if (this.leases.size() >= MAX_LEASES) {
			throw DispatchException.of(ErrorKind.PLATFORM_UNAVAILABLE, Outcome.UNKNOWN,
					"the lease table is full with " + MAX_LEASES + " leases");
		}
		checkStartable(id, task, nowNanos);
		Lease lease = new Lease(id, task, simulatedRun, nowNanos);
		lease.leaseEndNanos = nowNanos + leaseNanos;
		lease.completedWorkNanos = parseCheckpoint(task.checkpoint());
		this.leases.put(id, lease);
		this.running.add(lease);
		setUsed(this.used.plus(task.resources()), nowNanos);
		tick(nowNanos);
		return status(lease, nowNanos);
	}

	private void checkStartable(LeaseId id, WorkerTask task, long nowNanos) {
		if (this.leaving) {
			throw refusal(id, ErrorKind.SHUTTING_DOWN, "the worker is leaving", 0, nowNanos);
		}
		if (id.issuedNanos() > nowNanos + this.settings.clockSkew().toNanos()) {
			throw refusal(id, ErrorKind.PLATFORM_UNAVAILABLE, "the lease was issued in the future", 0, nowNanos);
		}
		if (task.deadlineNanos() <= nowNanos) {
			throw refusal(id, ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed", 0, nowNanos);
		}
		if (!task.resources().isWithin(this.settings.capacity())) {
			throw refusal(id, ErrorKind.IMPOSSIBLE, "the task needs " + task.resources(), 0, nowNanos);
		}
		if (!this.used.plus(task.resources()).isWithin(this.settings.capacity())) {
			throw refusal(id, ErrorKind.OVERLOADED, "the worker has no free capacity", BUSY_RETRY_NANOS, nowNanos);
		}
	}

	// The tombstone extends the refusal to delayed requests with the same lease id.
	private DispatchException refusal(LeaseId id, ErrorKind kind, String detail, long retryNanos, long nowNanos) {
		addTombstone(id, nowNanos);
		if (retryNanos > 0) {
			return DispatchException.withRetryAfter(kind, Outcome.NOT_RUN, detail, retryNanos);
		}
		return DispatchException.of(kind, Outcome.NOT_RUN, detail);
	}

	private void addTombstone(LeaseId id, long nowNanos) {
		Lease tombstone = new Lease(id, null, null, nowNanos);
		tombstone.state = LeaseState.TOMBSTONE;
		tombstone.lastProgressNanos = nowNanos;
		this.leases.put(id, tombstone);
	}

	private boolean isWithinProofWindow(LeaseId id, long nowNanos) {
		return id.issuedNanos() > this.proofWindowStartNanos && nowNanos - id.issuedNanos() <= MAX_START_AGE.toNanos();
	}

	private static long parseCheckpoint(String checkpoint) {
		if (checkpoint.isEmpty()) {
			return 0;
		}
		if (!checkpoint.startsWith(CHECKPOINT_PREFIX)) {
			throw new IllegalArgumentException("'" + checkpoint + "' is not a checkpoint of the platform");
		}
		return Long.parseLong(checkpoint.substring(CHECKPOINT_PREFIX.length()));
	}

	LeaseStatus renew(LeaseId id, long leaseNanos, long nowNanos) {
		tick(nowNanos);
		Lease lease = this.leases.get(id);
		if (lease != null && lease.state == LeaseState.RUNNING) {
			lease.leaseEndNanos = nowNanos + leaseNanos;
		}
		return status(lease, nowNanos);
	}

	LeaseStatus stop(LeaseId id, long nowNanos) {
		tick(nowNanos);
		Lease lease = this.leases.get(id);
		if (lease != null) {
			if (lease.state == LeaseState.RUNNING) {
				end(lease, LeaseState.STOPPED, nowNanos);
			}
			return status(lease, nowNanos);
		}
		if (isWithinProofWindow(id, nowNanos) && this.leases.size() < MAX_LEASES) {
			addTombstone(id, nowNanos);
		}
		return status(this.leases.get(id), nowNanos);
	}

	/**
	 * Returns the state of a lease.
	 * @param id the lease
	 * @param nowNanos the current time
	 * @return the state
	 */
	LeaseStatus status(LeaseId id, long nowNanos) {
		tick(nowNanos);
		return status(this.leases.get(id), nowNanos);
	}

	LeaseStatus throttle(LeaseId id, double share, long nowNanos) {
		if (!(share > 0 && share <= 1)) {
			throw new IllegalArgumentException("share must be above 0 and at most 1");
		}
		tick(nowNanos);
		Lease lease = this.leases.get(id);
		if (lease != null && lease.state == LeaseState.RUNNING) {
			lease.advance(nowNanos);
			lease.share = share;
		}
		return status(lease, nowNanos);
	}

	String checkpoint(LeaseId id, long nowNanos) {
		tick(nowNanos);
		Lease lease = this.leases.get(id);
		if (lease == null || lease.state != LeaseState.RUNNING) {
			throw new IllegalArgumentException("the task of lease " + id + " is not running");
		}
		lease.advance(nowNanos);
		return CHECKPOINT_PREFIX + lease.completedWorkNanos;
	}

	WorkerUsage usage(long nowNanos) {
		tick(nowNanos);
		UsageSample sample = this.samples.getFirst();
		long ageNanos = Math.max(0, Math.min(this.settings.usageLag().toNanos(), nowNanos - sample.nanos));
		return new WorkerUsage(this.settings.capacity(), sample.used, sample.running, ageNanos);
	}

	/**
	 * Ends the tasks that have finished, reached their deadline or lost their lease, and
	 * removes old leases and usage samples.
	 * @param nowNanos the current time
	 */
	void tick(long nowNanos) {
		for (Lease lease : List.copyOf(this.running)) {
			if (lease.endNanos() <= nowNanos) {
				end(lease, lease.endState(), lease.endNanos());
			}
		}
		removeOldLeases(nowNanos);
		dropSamples(nowNanos);
	}

	/**
	 * Returns when the next task ends.
	 * @return the time, {@link Long#MAX_VALUE} if no running task has an end
	 */
	long nextWakeNanos() {
		return this.running.stream().mapToLong(Lease::endNanos).min().orElse(Long.MAX_VALUE);
	}

	private void end(Lease lease, LeaseState state, long nanos) {
		lease.advance(nanos);
		lease.state = state;
		this.running.remove(lease);
		Resources remaining = minus(this.used, lease.task.resources());
		setUsed(this.running.isEmpty() ? Resources.NONE : remaining, nanos);
		if (state == LeaseState.COMPLETE) {
			lease.response = lease.task.body();
			this.completed.add(lease);
			this.responseBytes += lease.response.length;
		}
		while (this.responseBytes > MAX_RESPONSE_BYTES) {
			dropResponse(this.completed.remove());
		}
		lease.task = null;
	}

	private void dropResponse(Lease lease) {
		this.responseBytes -= lease.response.length;
		lease.response = null;
	}

	private static Resources minus(Resources from, Resources amount) {
		return new Resources(Math.max(0, from.cores() - amount.cores()), from.memoryMb() - amount.memoryMb(),
				from.accelerators() - amount.accelerators());
	}

	private void setUsed(Resources used, long nanos) {
		this.used = used;
		this.samples.addLast(new UsageSample(nanos, used, this.running.size()));
	}

	private void dropSamples(long nowNanos) {
		long cutoffNanos = nowNanos - this.settings.usageLag().toNanos();
		while (this.samples.size() > 1) {
			UsageSample first = this.samples.removeFirst();
			if (this.samples.getFirst().nanos > cutoffNanos) {
				this.samples.addFirst(first);
				return;
			}
		}
	}

	// Leases are ordered by the time from which they are retained. A lease that must be
	// retained longer moves to the end, so that it does not delay the removal of others.
	private void removeOldLeases(long nowNanos) {
		Iterator<Lease> iterator = this.leases.values().iterator();
		while (iterator.hasNext()) {
			Lease lease = iterator.next();
			if (nowNanos - lease.retainedSinceNanos <= MAX_START_AGE.toNanos()) {
				return;
			}
			iterator.remove();
			boolean retained = lease.state == LeaseState.RUNNING || isRecent(lease, nowNanos);
			if (retained) {
				lease.retainedSinceNanos = nowNanos;
				this.leases.put(lease.id, lease);
				return;
			}
			if (this.completed.remove(lease)) {
				dropResponse(lease);
			}
		}
	}

	private boolean isRecent(Lease lease, long nowNanos) {
		return nowNanos - lease.id.issuedNanos() <= MAX_START_AGE.toNanos()
				|| nowNanos - lease.lastProgressNanos <= MAX_START_AGE.toNanos();
	}

	private LeaseStatus status(Lease lease, long nowNanos) {
		if (lease == null) {
			return new LeaseStatus(LeaseState.UNSEEN, EMPTY, 0, 0, this.leaving);
		}
		if (lease.response == null) {
			throw DispatchException.of(ErrorKind.PLATFORM_UNAVAILABLE, Outcome.UNKNOWN,
					"the response of lease " + lease.id + " is no longer stored");
		}
		boolean isRunning = lease.state == LeaseState.RUNNING;
		long runNanos = (isRunning ? nowNanos : lease.lastProgressNanos) - lease.startNanos;
		return new LeaseStatus(lease.state, lease.response, runNanos, isRunning ? lease.leaseEndNanos - nowNanos : 0,
				this.leaving);
	}

	/**
	 * The simulated run of a task.
	 *
	 * @param workNanos the run time at speed 1 with all cores; {@link Long#MAX_VALUE} for
	 * a task that hangs
	 * @param fail whether the task fails at its end
	 */
	record SimulatedRun(long workNanos, boolean fail) {
	}

	/**
	 * The resource usage from a point in time on.
	 *
	 * @param nanos the time
	 * @param used the reserved resources
	 * @param running the number of running tasks
	 */
	private record UsageSample(long nanos, Resources used, int running) {
	}

	private final class Lease {

		private final LeaseId id;

		private final SimulatedRun simulatedRun;

		private final long startNanos;

		private WorkerTask task;

		private LeaseState state = LeaseState.RUNNING;

		private byte[] response = EMPTY;

		private long retainedSinceNanos;

		private long leaseEndNanos;

		private double share = 1;

		private long completedWorkNanos;

		private long lastProgressNanos;

		private Lease(LeaseId id, WorkerTask task, SimulatedRun simulatedRun, long nowNanos) {
			this.id = id;
			this.task = task;
			this.simulatedRun = simulatedRun;
			this.startNanos = nowNanos;
			this.retainedSinceNanos = nowNanos;
			this.lastProgressNanos = nowNanos;
		}

		private double rate() {
			return this.share * LeaseTable.this.settings.speed();
		}

		private void advance(long nowNanos) {
			this.completedWorkNanos += (long) ((nowNanos - this.lastProgressNanos) * rate());
			this.lastProgressNanos = nowNanos;
		}

		private long finishNanos() {
			if (this.simulatedRun.workNanos == Long.MAX_VALUE) {
				return Long.MAX_VALUE;
			}
			return this.lastProgressNanos
					+ (long) (Math.max(0, this.simulatedRun.workNanos - this.completedWorkNanos) / rate());
		}

		private long endNanos() {
			return Math.min(finishNanos(), Math.min(this.leaseEndNanos, this.task.deadlineNanos()));
		}

		private LeaseState endState() {
			long endNanos = endNanos();
			if (endNanos == finishNanos()) {
				return this.simulatedRun.fail ? LeaseState.FAILED : LeaseState.COMPLETE;
			}
			return (endNanos == this.leaseEndNanos) ? LeaseState.LAPSED : LeaseState.STOPPED;
		}

	}

}
