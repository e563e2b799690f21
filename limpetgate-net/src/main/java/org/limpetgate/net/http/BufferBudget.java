package org.limpetgate.net.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the bytes buffered for all messages at the same time.
 * <p>
 * Thread-safe.
 */
final class BufferBudget {

	private final long limit;

	private final AtomicLong used = new AtomicLong();

	BufferBudget(long limit) {
		this.limit = limit;
	}

	boolean tryReserve(long bytes) {
		if (this.used.addAndGet(bytes) <= this.limit) {
			return true;
		}
		this.used.addAndGet(-bytes);
		return false;
	}

	// Counts bytes that are allocated already, even over the limit.
	void add(long bytes) {
		this.used.addAndGet(bytes);
	}

	void release(long bytes) {
		this.used.addAndGet(-bytes);
	}

	long used() {
		return this.used.get();
	}

}
