package org.limpetgate.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * The time-outs and limits of a scheduler.
 * <p>
 * Immutable and thread-safe.
 *
 * @param hostNumber a number of which the low 16 bits differ between hosts
 * @param leaseNanos the longest lease that workers grant, in nanoseconds
 * @param stopNanos how long a worker takes at most to stop a run, in nanoseconds
 * @param remoteFactor the factor on the duration of a task that runs on another rack than
 * its data
 * @param retentionNanos how long the state of a stored job stays available after its end,
 * in nanoseconds
 * @param callerRetryNanos how long after its connection broke a caller sends its job
 * again, in nanoseconds
 * @param policy how it decides while capacity is short, not null
 * @param detectsSilentDataCentres whether a data centre whose workers have all stopped
 * answering gets no new runs
 */
public record SchedulerSettings(int hostNumber, long leaseNanos, long stopNanos, double remoteFactor,
		long retentionNanos, long callerRetryNanos, SchedulingPolicy policy, boolean detectsSilentDataCentres) {

	/**
	 * The time for messages and polls between the end of a task and the answer to its
	 * caller.
	 */
	static final long OVERHEAD_NANOS = TimeUnit.MILLISECONDS.toNanos(8);

	// A lost poll is noticed after its wait plus the time-out of an order; two lost
	// polls in a row must not let the lease expire.
	private static final int RENEWALS_PER_LEASE = 5;

	/**
	 * A worker that is unreachable for longer than this no longer delays a job.
	 */
	static final long MAX_GUARD_NANOS = TimeUnit.SECONDS.toNanos(10);

	/** Allows for orders of the earlier scheduler that are still in transit. */
	private static final long GUARD_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	/**
	 * The longest time for which a host keeps the stored jobs without a confirmation that
	 * it owns them. Shorter than the time for which hosts remember lost peers.
	 */
	public static final long MAX_UNCONFIRMED_OWNERSHIP_NANOS = TimeUnit.SECONDS.toNanos(6);

	/**
	 * A list of workers that was read longer ago may miss changes that other hosts know.
	 */
	static final long MAX_LIST_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * The longest time that an earlier owner of the stored jobs takes to notice that it
	 * lost them.
	 */
	private static final long OWNER_LOSS_NANOS = TimeUnit.MILLISECONDS.toNanos(1200);

	/** Applies unless the settings of the host name another retention. */
	private static final long DEFAULT_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(120);

	/** Applies unless the settings of the host name another delay. */
	private static final long DEFAULT_CALLER_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1300);

	/**
	 * The time by which the runs of a job have ended, stops included, before its caller
	 * sends it again.
	 */
	private static final long CALLER_RETRY_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	/**
	 * The time since a host was last heard up to which its jobs may share the newest
	 * leases of other runs. Hosts send heartbeats every 200 ms, each of which proves when
	 * the one before was answered.
	 */
	private static final long SHARING_HEARTBEAT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	/** The largest share by which a worker's clock may run slow. */
	static final double CLOCK_DRIFT = 0.02;

	/**
	 * Returns settings for a lease.
	 * @param hostNumber a number of which the low 16 bits differ between hosts
	 * @param leaseMillis the longest lease that workers grant, in milliseconds
	 * @param stopMillis how long a worker takes at most to stop a run, in milliseconds
	 * @param remoteFactor the factor on the duration of a task that runs on another rack
	 * than its data
	 * @return the settings, not null
	 */
	public static SchedulerSettings of(int hostNumber, long leaseMillis, long stopMillis, double remoteFactor) {
		long lease = TimeUnit.MILLISECONDS.toNanos(leaseMillis);
		return new SchedulerSettings(hostNumber, lease, TimeUnit.MILLISECONDS.toNanos(stopMillis), remoteFactor,
				DEFAULT_RETENTION_NANOS, DEFAULT_CALLER_RETRY_NANOS, SchedulingPolicy.DEFAULT, false);
	}

	/**
	 * Returns a copy with another retention.
	 * @param seconds how long the state of a stored job stays available after its end, in
	 * seconds
	 * @return the copy, not null
	 */
	public SchedulerSettings withRetentionSeconds(long seconds) {
		return new SchedulerSettings(this.hostNumber, this.leaseNanos, this.stopNanos, this.remoteFactor,
				TimeUnit.SECONDS.toNanos(seconds), this.callerRetryNanos, this.policy, this.detectsSilentDataCentres);
	}

	/**
	 * Returns a copy with another delay of callers.
	 * @param millis how long after its connection broke a caller sends its job again, in
	 * milliseconds
	 * @return the copy, not null
	 */
	public SchedulerSettings withCallerRetryMillis(long millis) {
		return new SchedulerSettings(this.hostNumber, this.leaseNanos, this.stopNanos, this.remoteFactor,
				this.retentionNanos, TimeUnit.MILLISECONDS.toNanos(millis), this.policy, this.detectsSilentDataCentres);
	}

	/**
	 * Returns a copy with another policy.
	 * @param value how the scheduler decides while capacity is short, not null
	 * @return the copy, not null
	 */
	public SchedulerSettings withPolicy(SchedulingPolicy value) {
		return new SchedulerSettings(this.hostNumber, this.leaseNanos, this.stopNanos, this.remoteFactor,
				this.retentionNanos, this.callerRetryNanos, value, this.detectsSilentDataCentres);
	}

	/**
	 * Returns a copy with or without the detection of silent data centres.
	 * @param value whether a data centre whose workers have all stopped answering gets no
	 * new runs
	 * @return the copy, not null
	 */
	public SchedulerSettings withSilentDataCentreDetection(boolean value) {
		return new SchedulerSettings(this.hostNumber, this.leaseNanos, this.stopNanos, this.remoteFactor,
				this.retentionNanos, this.callerRetryNanos, this.policy, value);
	}

	/**
	 * Returns how long after a host was last known to wait for a job the leases of its
	 * runs may last. The workers have stopped the runs then before a caller that lost its
	 * connection to the host sends the job again.
	 * @return the time in nanoseconds
	 */
	public long runLimitNanos() {
		return this.callerRetryNanos - this.stopNanos - CALLER_RETRY_MARGIN_NANOS;
	}

	/**
	 * Returns how long a lease lasts that is granted now.
	 * @return the time in nanoseconds, at most {@link #leaseNanos}
	 */
	public long grantNanos() {
		return Math.min(this.leaseNanos, runLimitNanos() - SHARING_HEARTBEAT_AGE_NANOS);
	}

	/**
	 * Returns how long a worker waits for the end of a run before it answers a poll. A
	 * renewal is sent at least this often.
	 * @return the time in nanoseconds
	 */
	public long pollWaitNanos() {
		return grantNanos() / RENEWALS_PER_LEASE;
	}

	/**
	 * Returns the time from the last renewal of a lease until its runs have ended on any
	 * worker. It allows for the largest clock drift and for the time to stop a run.
	 * @return the time in nanoseconds
	 */
	public long leaseEndNanos() {
		return (long) (this.leaseNanos * (1 + CLOCK_DRIFT)) + this.stopNanos;
	}

	/**
	 * Returns how long a resubmitted job waits, after no earlier scheduler acts on it any
	 * longer, if not every worker can be polled for its runs. Their leases have expired
	 * by then.
	 * @return the time in nanoseconds
	 */
	public long resubmitGuardNanos() {
		return leaseEndNanos() + GUARD_MARGIN_NANOS;
	}

	/**
	 * Returns how long a stored job waits if not every worker can be polled for its runs.
	 * An unreachable earlier owner of the stored jobs renews leases until it notices that
	 * it lost them. After this time those leases have expired too. The loss of a host is
	 * noticed in less time.
	 * @return the time in nanoseconds
	 */
	public long storedGuardNanos() {
		return resubmitGuardNanos() + OWNER_LOSS_NANOS;
	}

	/**
	 * Returns how long after a worker left the list an owner of the stored jobs may have
	 * runs there without a saved record of it. An owner requests the record once its list
	 * is outdated, and releases the jobs if the store does not confirm it.
	 * @return the time in nanoseconds
	 */
	public long unrecordedUseNanos() {
		return MAX_LIST_AGE_NANOS + MAX_UNCONFIRMED_OWNERSHIP_NANOS + resubmitGuardNanos();
	}

}
