package org.limpetgate.host;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.limpetgate.UpstreamId;
import org.limpetgate.dispatch.Dispatcher;
import org.limpetgate.platform.WorkerService;
import org.limpetgate.platform.WorkerUsage;

/**
 * Reads the resource usage of the workers that run tasks of this host.
 * <p>
 * At most {@value #MAX_READS_PER_SECOND} workers are read per second, in turn, so that
 * the traffic does not grow with the pool. A failed read is not retried; the next one
 * replaces it. Not thread-safe: confined to the control thread.
 */
final class UsageWatcher implements TickedComponent {

	static final int MAX_READS_PER_SECOND = 20;

	private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final WorkerService workers;

	private final Supplier<Collection<UpstreamId>> busyWorkers;

	private final Dispatcher dispatcher;

	private final Executor control;

	private final LongSupplier clock;

	private final Deque<UpstreamId> pendingReads = new ArrayDeque<>();

	private long nextReadNanos;

	UsageWatcher(WorkerService workers, Supplier<Collection<UpstreamId>> busyWorkers, Dispatcher dispatcher,
			Executor control, LongSupplier clock) {
		this.workers = workers;
		this.busyWorkers = busyWorkers;
		this.dispatcher = dispatcher;
		this.control = control;
		this.clock = clock;
	}

	@Override
	public void tick(long nowNanos) {
		if (nowNanos < this.nextReadNanos) {
			return;
		}
		this.nextReadNanos = nowNanos + INTERVAL_NANOS;
		if (this.pendingReads.isEmpty()) {
			this.pendingReads.addAll(this.busyWorkers.get());
		}
		for (int reads = 0; reads < MAX_READS_PER_SECOND && !this.pendingReads.isEmpty(); reads++) {
			read(this.pendingReads.poll());
		}
	}

	private void read(UpstreamId worker) {
		this.workers.usage(worker).thenAcceptAsync((usage) -> report(worker, usage), this.control);
	}

	private void report(UpstreamId worker, WorkerUsage usage) {
		long now = this.clock.getAsLong();
		this.dispatcher.usageReported(worker, usage.used(), now - usage.ageNanos(), now);
	}

	@Override
	public long nextWakeNanos() {
		return this.nextReadNanos;
	}

}
