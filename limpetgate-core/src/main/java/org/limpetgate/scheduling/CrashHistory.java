package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.limpetgate.UpstreamId;

/**
 * The workers that crashed while a task ran on them, and those that fell silent.
 * <p>
 * A worker that comes back as another incarnation, or whose address belongs to a worker
 * that has started since, has crashed. One that falls silent is a loss, of which it is
 * not known yet whether it is a crash: it is resolved when the worker is heard of again,
 * or forgotten after a time.
 * <p>
 * A start order without an answer may not have been carried out. A crash of its worker is
 * then unconfirmed: it keeps the task apart from others like a confirmed one, but it
 * shows neither that the task ran alone nor that one more crash would be too many for a
 * best-effort job.
 * <p>
 * Immutable and thread-safe.
 *
 * @param crashes the number of workers that crashed under the task, at least 0
 * @param crashedAlone whether the task was the only run on one of these workers
 * @param unconfirmedCrashes the number of workers that crashed while it was not known
 * whether the task ran there, at least 0
 * @param losses the losses that are not resolved, not null
 */
public record CrashHistory(int crashes, boolean crashedAlone, int unconfirmedCrashes, List<Loss> losses) {

	/** The history of a task under which no worker has crashed or fallen silent. */
	public static final CrashHistory NONE = new CrashHistory(0, false, 0, List.of());

	/** How long an unresolved loss may keep its task from starting. */
	static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(6);

	/** How long after its loss a worker may come back so that it counts as crashed. */
	static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);

	/**
	 * The number of crashes and unresolved losses from which a task waits until the
	 * losses are resolved, and the number of crashes from which it runs alone.
	 */
	private static final int CRITICAL_COUNT = 2;

	/**
	 * The number of crashes, unconfirmed ones included, after which a task of a stored
	 * job is given up in any case. It may have five starts, and a new scheduler may not
	 * know of the last two.
	 */
	private static final int MAX_CRASHES = 3;

	/**
	 * The same for a best-effort job, whose starts are bounded by the patience of its
	 * caller.
	 */
	private static final int MAX_BEST_EFFORT_CRASHES = 4;

	public CrashHistory {
		losses = List.copyOf(losses);
	}

	/**
	 * Returns a copy with one more crash.
	 * @param evidence what is known of the run on the worker, not null
	 * @return the copy, not null
	 */
	public CrashHistory withCrash(Evidence evidence) {
		if (evidence == Evidence.UNCONFIRMED) {
			return new CrashHistory(this.crashes, this.crashedAlone, this.unconfirmedCrashes + 1, this.losses);
		}
		return new CrashHistory(this.crashes + 1, this.crashedAlone || evidence == Evidence.ALONE,
				this.unconfirmedCrashes, this.losses);
	}

	/**
	 * Returns a copy with one more unresolved loss.
	 * @param loss the loss, not null
	 * @return the copy, not null
	 */
	public CrashHistory withLoss(Loss loss) {
		List<Loss> changed = new ArrayList<>(this.losses);
		changed.add(loss);
		return new CrashHistory(this.crashes, this.crashedAlone, this.unconfirmedCrashes, changed);
	}

	/**
	 * Returns a copy in which the losses of workers that a later incarnation, of the same
	 * id or at the same address, has replaced are crashes.
	 * @param worker the later incarnation, not null
	 * @return the copy, or this history if it has no such loss
	 */
	public CrashHistory withIncarnation(WorkerInfo worker) {
		CrashHistory changed = this;
		for (Loss loss : this.losses) {
			if (loss.isReplacedBy(worker)) {
				changed = changed.withCrash(loss.evidence());
			}
		}
		return changed.withoutLosses((loss) -> loss.isReplacedBy(worker));
	}

	/**
	 * Returns a copy without the losses of an incarnation that has reported again, and
	 * has not crashed.
	 * @param worker the worker, not null
	 * @param incarnationMillis the incarnation that reported
	 * @return the copy, or this history if it has no such loss
	 */
	public CrashHistory withReport(UpstreamId worker, long incarnationMillis) {
		return withoutLosses((loss) -> loss.worker().equals(worker) && loss.incarnationMillis() == incarnationMillis);
	}

	/**
	 * Returns a copy without the losses whose workers have not come back in time.
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return the copy, or this history if it has no such loss
	 */
	public CrashHistory withoutExpired(long nowNanos) {
		return withoutLosses((loss) -> nowNanos - loss.lostNanos() >= RETENTION_NANOS);
	}

	/**
	 * Returns a copy in which no loss is later than a time.
	 * @param nowNanos the time, nanoseconds since the Unix epoch
	 * @return the copy, not null
	 */
	public CrashHistory withLossesUntil(long nowNanos) {
		return new CrashHistory(this.crashes, this.crashedAlone, this.unconfirmedCrashes,
				this.losses.stream().map((loss) -> loss.until(nowNanos)).toList());
	}

	private CrashHistory withoutLosses(Predicate<Loss> removed) {
		if (this.losses.stream().noneMatch(removed)) {
			return this;
		}
		return new CrashHistory(this.crashes, this.crashedAlone, this.unconfirmedCrashes,
				this.losses.stream().filter(removed.negate()).toList());
	}

	/**
	 * Tests whether the task may have crashed a worker.
	 * @return true if a worker crashed or fell silent under it
	 */
	public boolean isSuspect() {
		return totalCrashes() > 0 || !this.losses.isEmpty();
	}

	// Tests whether it shows that a run of the task has begun.
	boolean showsRun() {
		return this.crashes > 0 || this.losses.stream().anyMatch((loss) -> loss.evidence() != Evidence.UNCONFIRMED);
	}

	/**
	 * Returns the number of crashes of both kinds.
	 * @return the number, at least 0
	 */
	public int totalCrashes() {
		return this.crashes + this.unconfirmedCrashes;
	}

	/**
	 * Tests whether the task must be the only run on its worker, so that another crash
	 * shows that the task is to blame.
	 * @return true if it must be
	 */
	public boolean mustRunAlone() {
		return totalCrashes() >= CRITICAL_COUNT;
	}

	/**
	 * Tests whether the task waits until it is known whether it has crashed its workers.
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return true if it waits
	 */
	public boolean isHeldBack(long nowNanos) {
		return totalCrashes() + this.losses.size() >= CRITICAL_COUNT
				&& this.losses.stream().anyMatch((loss) -> nowNanos - loss.lostNanos() < HOLD_NANOS);
	}

	/**
	 * Tests whether the task is given up: one of two crashes took a worker on which
	 * nothing else ran, or the task is close to the limit of starts that it may have.
	 * @param stored whether its job is stored
	 * @return true if it is
	 */
	public boolean isDeadly(boolean stored) {
		if (this.crashes >= MAX_CRASHES || (this.crashes >= CRITICAL_COUNT && this.crashedAlone)) {
			return true;
		}
		return totalCrashes() >= (stored ? MAX_CRASHES : MAX_BEST_EFFORT_CRASHES);
	}

	/** What is known of a run on a worker that was lost. */
	public enum Evidence {

		/** The worker has confirmed the run, and nothing else may have run there. */
		ALONE,
		/** The worker has confirmed the run, and others may have run beside it. */
		SHARED,
		/** The worker has neither answered the order to start the run nor reported it. */
		UNCONFIRMED

	}

	/**
	 * A worker that fell silent while a task may have run on it.
	 *
	 * @param worker the worker, not null
	 * @param address its address without the result of a name lookup, not null
	 * @param incarnationMillis its incarnation at that time
	 * @param evidence what is known of the run on it, not null
	 * @param lostNanos when the run was given up, nanoseconds since the Unix epoch
	 */
	public record Loss(UpstreamId worker, InetSocketAddress address, long incarnationMillis, Evidence evidence,
			long lostNanos) {

		public Loss {
			Objects.requireNonNull(worker, "worker");
			Objects.requireNonNull(address, "address");
			Objects.requireNonNull(evidence, "evidence");
		}

		private Loss until(long nowNanos) {
			return new Loss(this.worker, this.address, this.incarnationMillis, this.evidence,
					Math.min(this.lostNanos, nowNanos));
		}

		private boolean isReplacedBy(WorkerInfo other) {
			boolean samePlace = this.worker.equals(other.id()) || this.address.equals(other.unresolvedAddress());
			return samePlace && this.incarnationMillis < other.incarnationMillis();
		}

	}

}
