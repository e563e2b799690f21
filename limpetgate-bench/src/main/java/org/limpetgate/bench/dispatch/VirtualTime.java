package org.limpetgate.bench.dispatch;

import java.util.PriorityQueue;

/**
 * Event queue of a discrete-event simulation. Events run in the order of their times;
 * events at the same time run in the order in which they were scheduled.
 */
final class VirtualTime {

	static final long MICRO = 1_000L;

	static final long MILLI = 1_000_000L;

	static final long SECOND = 1_000_000_000L;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private long now;

	private long sequence;

	long now() {
		return this.now;
	}

	void at(long time, Runnable action) {
		this.events.add(new Event(Math.max(time, this.now), this.sequence++, action));
	}

	void after(long delay, Runnable action) {
		at(this.now + delay, action);
	}

	void runUntil(long end) {
		while (!this.events.isEmpty() && this.events.peek().time <= end) {
			Event event = this.events.poll();
			this.now = event.time;
			event.action.run();
		}
		this.now = end;
	}

	/**
	 * A scheduled action.
	 *
	 * @param time the time
	 * @param sequence the order among events at the same time
	 * @param action the action
	 */
	private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.time, other.time);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
