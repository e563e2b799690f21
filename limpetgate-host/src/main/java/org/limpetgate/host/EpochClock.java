package org.limpetgate.host;

/**
 * The clock of one process, in nanoseconds since the Unix epoch.
 * <p>
 * It is initialised from the wall clock and advances with the monotonic clock, so it
 * never decreases, even when the wall clock is set back. Thread-safe.
 */
public final class EpochClock implements HostClock {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final long startEpochNanos;

	private final long startMonotonicNanos;

	private EpochClock(long startEpochNanos, long startMonotonicNanos) {
		this.startEpochNanos = startEpochNanos;
		this.startMonotonicNanos = startMonotonicNanos;
	}

	/**
	 * Returns a clock that is initialised with the current wall time.
	 * @return the clock, not null
	 */
	public static EpochClock system() {
		return new EpochClock(System.currentTimeMillis() * NANOS_PER_MILLI, System.nanoTime());
	}

	/**
	 * Returns the current time.
	 * @return nanoseconds since the Unix epoch
	 */
	@Override
	public long getAsLong() {
		return this.startEpochNanos + (System.nanoTime() - this.startMonotonicNanos);
	}

	@Override
	public long wallNanos() {
		return System.currentTimeMillis() * NANOS_PER_MILLI;
	}

}
