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
 * Immutable and thread-safe.
 *
 * @param crashes the number of workers that crashed under the task, at least 0
 * @param crashedAlone whether the task was the only run on one of these workers
 * @param losses the losses that are not resolved, not null
 */
public record CrashHistory(int crashes, boolean crashedAlone, List<Loss> losses) {

	/** The history of a task under which no worker has crashed or fallen silent. */
	public static final CrashHistory NONE = new CrashHistory(0, false, List.of());

	/** How long an unresolved loss may keep its task from starting. */
	static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(6);

	/** How long after its loss a worker may come back so that it counts as crashed. */
	static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);

	/**
	 * The number of crashes and unresolved losses from which a task waits until the
	 * losses are resolved, and the number of crashes from which it runs alone.
	 */
	private static final int CRITICAL_COUNT = 2;

	/** The number of crashes after which a task is given up in any case. */
	private static final int MAX_CRASHES = 3;

	public CrashHistory {
		losses = List.copyOf(losses);
	}

	/**
	 * Returns a copy with one more crash.
	 * @param alone whether the task was the only run on the worker
	 * @return the copy, not null
	 */
	public CrashHistory withCrash(boolean alone) {
		return new CrashHistory(this.crashes + 1, this.crashedAlone || alone, this.losses);
	}

	/**
	 * Returns a copy with one more unresolved loss.
	 * @param loss the loss, not null
	 * @return the copy, not null
	 */
	public CrashHistory withLoss(Loss loss) {
		List<Loss> changed = new ArrayList<>(this.losses);
		changed.add(loss);
		return new CrashHistory(this.crashes, this.crashedAlone, changed);
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
				changed = changed.withCrash(loss.alone());
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
		return new CrashHistory(this.crashes, this.crashedAlone,
				this.losses.stream().map((loss) -> loss.until(nowNanos)).toList());
	}

	private CrashHistory withoutLosses(Predicate<Loss> removed) {
		if (this.losses.stream().noneMatch(removed)) {
			return this;
		}
		return new CrashHistory(this.crashes, this.crashedAlone,
				this.losses.stream().filter(removed.negate()).toList());
	}

	/**
	 * Tests whether the task may have crashed a worker.
	 * @return true if a worker crashed or fell silent under it
	 */
	public boolean isSuspect() {
		return this.crashes > 0 || !this.losses.isEmpty();
	}

	/**
	 * Tests whether the task must be the only run on its worker, so that another crash
	 * shows that the task is to blame.
	 * @return true if it must be
	 */
	public boolean mustRunAlone() {
		return this.crashes >= CRITICAL_COUNT;
	}

	/**
	 * Tests whether the task waits until it is known whether it has crashed its workers.
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return true if it waits
	 */
	public boolean isHeldBack(long nowNanos) {
		return this.crashes + this.losses.size() >= CRITICAL_COUNT
				&& this.losses.stream().anyMatch((loss) -> nowNanos - loss.lostNanos() < HOLD_NANOS);
	}

	/**
	 * Tests whether the task is given up: one of two crashes took a worker on which
	 * nothing else ran, or the task is close to the limit of starts that it may have.
	 * @return true if it is
	 */
	public boolean isDeadly() {
		return this.crashes >= MAX_CRASHES || (this.crashes >= CRITICAL_COUNT && this.crashedAlone);
	}

	/**
	 * A worker that fell silent while a task may have run on it.
	 *
	 * @param worker the worker, not null
	 * @param address its address without the result of a name lookup, not null
	 * @param incarnationMillis its incarnation at that time
	 * @param alone whether the task was the only run on it
	 * @param lostNanos when the run was given up, nanoseconds since the Unix epoch
	 */
	public record Loss(UpstreamId worker, InetSocketAddress address, long incarnationMillis, boolean alone,
			long lostNanos) {

		public Loss {
			Objects.requireNonNull(worker, "worker");
			Objects.requireNonNull(address, "address");
		}

		private Loss until(long nowNanos) {
			return new Loss(this.worker, this.address, this.incarnationMillis, this.alone,
					Math.min(this.lostNanos, nowNanos));
		}

		private boolean isReplacedBy(WorkerInfo other) {
			boolean samePlace = this.worker.equals(other.id()) || this.address.equals(other.unresolvedAddress());
			return samePlace && this.incarnationMillis < other.incarnationMillis();
		}

	}

}
