package org.limpetgate.host.fleet;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import org.limpetgate.host.HostClock;

/**
 * The clocks of a host whose machine can be suspended. Thread-safe.
 */
final class SuspendableClock implements HostClock {

	private final LongSupplier wallClock;

	private final AtomicLong suspendedNanos = new AtomicLong();

	SuspendableClock(LongSupplier wallClock) {
		this.wallClock = wallClock;
	}

	// Records that the machine was suspended until now.
	void suspended(long millis) {
		this.suspendedNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
	}

	@Override
	public long getAsLong() {
		return this.wallClock.getAsLong() - this.suspendedNanos.get();
	}

	@Override
	public long wallNanos() {
		return this.wallClock.getAsLong();
	}

}
