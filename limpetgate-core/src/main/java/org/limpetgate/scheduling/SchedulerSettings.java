package org.limpetgate.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * The times and limits of a scheduler.
 * <p>
 * Immutable and thread-safe.
 *
 * @param hostNumber a number of which the low 16 bits differ between hosts
 * @param leaseNanos how long a worker keeps its runs without a renewal, in nanoseconds
 * @param pollWaitNanos how long a worker waits for an end before it answers a poll, in
 * nanoseconds; a renewal is sent at least this often
 * @param stopNanos how long a worker takes at most to stop a run, in nanoseconds
 * @param remoteFactor how much longer a task takes off the rack of its data
 * @param retentionNanos how long the state of a stored job is told after its end, in
 * nanoseconds
 */
public record SchedulerSettings(int hostNumber, long leaseNanos, long pollWaitNanos, long stopNanos,
		double remoteFactor, long retentionNanos) {

	/** Messages and polls between the end of a task and the answer to its caller. */
	static final long OVERHEAD_NANOS = TimeUnit.MILLISECONDS.toNanos(8);

	// A lost poll is noticed after its wait and the time-out of an order; two in a row
	// must
	// not end the lease.
	private static final int RENEWALS_PER_LEASE = 5;

	/** A worker that stays out of reach for longer holds no stored job back. */
	static final long MAX_GUARD_NANOS = TimeUnit.SECONDS.toNanos(10);

	/** For an order of the earlier scheduler that is still under way. */
	private static final long GUARD_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	/** How long an earlier owner of the stored jobs may take to notice its loss. */
	private static final long OWNER_LOSS_NANOS = TimeUnit.MILLISECONDS.toNanos(1200);

	/** Until settings name another time. */
	private static final long DEFAULT_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(120);

	/** The most by which a worker's clock may be slow. */
	private static final double CLOCK_DRIFT = 0.02;

	/**
	 * Returns settings for a lease.
	 * @param hostNumber a number of which the low 16 bits differ between hosts
	 * @param leaseMillis the longest lease that workers grant, in milliseconds
	 * @param stopMillis how long a worker takes at most to stop a run, in milliseconds
	 * @param remoteFactor how much longer a task takes off the rack of its data
	 * @return the settings, not null
	 */
	public static SchedulerSettings of(int hostNumber, long leaseMillis, long stopMillis, double remoteFactor) {
		long lease = TimeUnit.MILLISECONDS.toNanos(leaseMillis);
		return new SchedulerSettings(hostNumber, lease, lease / RENEWALS_PER_LEASE,
				TimeUnit.MILLISECONDS.toNanos(stopMillis), remoteFactor, DEFAULT_RETENTION_NANOS);
	}

	/**
	 * Returns a copy with another retention.
	 * @param seconds how long the state of a stored job is told after its end, in seconds
	 * @return the copy, not null
	 */
	public SchedulerSettings withRetentionSeconds(long seconds) {
		return new SchedulerSettings(this.hostNumber, this.leaseNanos, this.pollWaitNanos, this.stopNanos,
				this.remoteFactor, TimeUnit.SECONDS.toNanos(seconds));
	}

	/**
	 * Returns the time after its last renewal at which a lease has ended on every worker,
	 * whatever its clock.
	 * @return the time in nanoseconds
	 */
	public long leaseEndNanos() {
		return (long) (this.leaseNanos * (1 + CLOCK_DRIFT)) + this.stopNanos;
	}

	/**
	 * Returns how long a job that was resubmitted waits if not every worker can be asked
	 * for its runs. An earlier scheduler has renewed nothing since, and its leases have
	 * ended by then.
	 * @return the time in nanoseconds
	 */
	public long resubmitGuardNanos() {
		return leaseEndNanos() + GUARD_MARGIN_NANOS;
	}

	/**
	 * Returns how long a stored job waits if not every worker can be asked for its runs.
	 * An earlier owner of the stored jobs that cannot be reached renews leases until it
	 * notices its loss, and its leases have ended by then.
	 * @return the time in nanoseconds
	 */
	public long storedGuardNanos() {
		return resubmitGuardNanos() + OWNER_LOSS_NANOS;
	}

	/**
	 * Returns the lease in milliseconds.
	 * @return the lease
	 */
	public long leaseMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.leaseNanos);
	}

}
