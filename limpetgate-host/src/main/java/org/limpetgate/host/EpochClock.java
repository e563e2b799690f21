package org.limpetgate.host;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The clock of one process, in nanoseconds since the Unix epoch.
 * <p>
 * It is initialised from the wall clock and advances with the monotonic clock, so it
 * never decreases, even when the wall clock is set back. The monotonic clock stands still
 * while the machine is suspended; this clock then advances with the wall clock, so that
 * time-outs and leases expire during a suspension. Thread-safe.
 */
public final class EpochClock implements LongSupplier {

	/** A smaller lead of the wall clock is left to its corrections and its resolution. */
	private static final long MIN_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/**
	 * Longer than all time-outs between hosts. A larger step of the wall clock adds no
	 * more than this.
	 */
	private static final long MAX_SUSPENSION_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final LongSupplier wallMillis;

	private final LongSupplier monotonicNanos;

	/** The wall time minus the monotonic time when they were last compared. */
	private volatile long wallOffsetNanos;

	/** The time of this clock minus the monotonic time. */
	private volatile long offsetNanos;

	private EpochClock(LongSupplier wallMillis, LongSupplier monotonicNanos) {
		this.wallMillis = wallMillis;
		this.monotonicNanos = monotonicNanos;
		this.wallOffsetNanos = wallNanos() - monotonicNanos.getAsLong();
		this.offsetNanos = this.wallOffsetNanos;
	}

	/**
	 * Returns a clock that is initialised with the current wall time.
	 * @return the clock, not null
	 */
	public static EpochClock system() {
		return of(System::currentTimeMillis, System::nanoTime);
	}

	/**
	 * Returns a clock with other sources.
	 * @param wallMillis the wall clock, in milliseconds since the Unix epoch, not null
	 * @param monotonicNanos the monotonic clock, in nanoseconds, not null
	 * @return the clock, not null
	 */
	static EpochClock of(LongSupplier wallMillis, LongSupplier monotonicNanos) {
		return new EpochClock(wallMillis, monotonicNanos);
	}

	private long wallNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.wallMillis.getAsLong());
	}

	/**
	 * Returns the current time.
	 * @return nanoseconds since the Unix epoch
	 */
	@Override
	public long getAsLong() {
		long monotonic = this.monotonicNanos.getAsLong();
		if (Math.abs(wallNanos() - monotonic - this.wallOffsetNanos) > MIN_SUSPENSION_NANOS) {
			compare();
		}
		return this.offsetNanos + monotonic;
	}

	// Reads both clocks again, since the thread may have been paused between the first
	// two
	// readings. A wall clock that is set back changes only the base of the next
	// comparison.
	private synchronized void compare() {
		long wallOffset = wallNanos() - this.monotonicNanos.getAsLong();
		long lead = wallOffset - this.wallOffsetNanos;
		if (lead > MIN_SUSPENSION_NANOS) {
			this.offsetNanos += Math.min(lead, MAX_SUSPENSION_NANOS);
		}
		this.wallOffsetNanos = wallOffset;
	}

}
