package org.limpetgate.host.configuration;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;

/**
 * A clock, timer and control thread that run in virtual time on the calling thread.
 */
public final class VirtualTime implements Timer, Executor {

	static final long START_NANOS = Duration.ofDays(20_000).toNanos();

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::timeNanos).thenComparingLong(Task::number));

	private long nowNanos = START_NANOS;

	private long nextNumber;

	@Override
	public long nowNanos() {
		return this.nowNanos;
	}

	@Override
	public void schedule(long delayNanos, Runnable task) {
		this.tasks.add(new Task(this.nowNanos + delayNanos, this.nextNumber++, task));
	}

	@Override
	public void execute(Runnable task) {
		schedule(0, task);
	}

	public void runFor(Duration duration) {
		long end = this.nowNanos + duration.toNanos();
		while (!this.tasks.isEmpty() && this.tasks.peek().timeNanos <= end) {
			Task task = this.tasks.poll();
			this.nowNanos = task.timeNanos;
			task.action.run();
		}
		this.nowNanos = end;
	}

	private record Task(long timeNanos, long number, Runnable action) {
	}

}
