package org.limpetgate.scheduling;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock that jumps from one scheduled event to the next. Events of the same time run in
 * the order in which they were scheduled. Not thread-safe.
 */
final class VirtualTime {

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));

	private long nowNanos;

	private long sequence;

	VirtualTime(long startNanos) {
		this.nowNanos = startNanos;
	}

	long nowNanos() {
		return this.nowNanos;
	}

	void schedule(long delayNanos, Runnable action) {
		this.events.add(new Event(this.nowNanos + delayNanos, this.sequence++, action));
	}

	// Advances to the next event and runs it.
	void runNextEvent() {
		Event event = this.events.poll();
		this.nowNanos = Math.max(this.nowNanos, event.atNanos());
		event.action().run();
	}

	private record Event(long atNanos, long sequence, Runnable action) {

	}

}
