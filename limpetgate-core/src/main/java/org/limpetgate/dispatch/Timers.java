package org.limpetgate.dispatch;

import java.util.PriorityQueue;

/**
 * Actions that are due at a time.
 * <p>
 * Cancelling a timer takes O(1) amortised: it is only marked, and the marked ones are
 * removed together once they are the larger half.
 */
final class Timers {

	private static final int MIN_COMPACTION = 1024;

	private final PriorityQueue<Timer> queue = new PriorityQueue<>();

	private int cancelled;

	Timer schedule(long dueNanos, TimedAction action) {
		Timer timer = new Timer(dueNanos, action);
		this.queue.add(timer);
		return timer;
	}

	void cancel(Timer timer) {
		if (timer == null || timer.action == null) {
			return;
		}
		timer.action = null;
		this.cancelled++;
		if (this.cancelled > MIN_COMPACTION && this.cancelled * 2 > this.queue.size()) {
			this.queue.removeIf((queued) -> queued.action == null);
			this.cancelled = 0;
		}
	}

	void run(long nowNanos) {
		while (!this.queue.isEmpty() && this.queue.peek().dueNanos <= nowNanos) {
			Timer timer = this.queue.poll();
			TimedAction action = timer.action;
			timer.action = null;
			if (action == null) {
				this.cancelled--;
			}
			else {
				action.run(nowNanos);
			}
		}
	}

	long nextDueNanos() {
		while (!this.queue.isEmpty() && this.queue.peek().action == null) {
			this.queue.poll();
			this.cancelled--;
		}
		return this.queue.isEmpty() ? Long.MAX_VALUE : this.queue.peek().dueNanos;
	}

	/**
	 * An action that is due at a time.
	 */
	@FunctionalInterface
	interface TimedAction {

		void run(long nowNanos);

	}

	/**
	 * A scheduled action.
	 */
	static final class Timer implements Comparable<Timer> {

		private final long dueNanos;

		private TimedAction action;

		private Timer(long dueNanos, TimedAction action) {
			this.dueNanos = dueNanos;
			this.action = action;
		}

		@Override
		public int compareTo(Timer other) {
			return Long.compare(this.dueNanos, other.dueNanos);
		}

	}

}
