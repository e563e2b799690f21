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
 * Reads the use of the workers that run tasks of this host.
 * <p>
 * At most {@value #MAX_READS} workers are read in a second, each in turn, so that the
 * traffic does not grow with the pool. A read that fails is not repeated; the next one
 * replaces it. Not thread-safe: it belongs to the control thread.
 */
final class UsageWatcher implements TickedSystem {

	static final int MAX_READS = 20;

	private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final WorkerService workers;

	private final Supplier<Collection<UpstreamId>> busy;

	private final Dispatcher dispatcher;

	private final Executor control;

	private final LongSupplier clock;

	private final Deque<UpstreamId> due = new ArrayDeque<>();

	private long nextNanos;

	UsageWatcher(WorkerService workers, Supplier<Collection<UpstreamId>> busy, Dispatcher dispatcher, Executor control,
			LongSupplier clock) {
		this.workers = workers;
		this.busy = busy;
		this.dispatcher = dispatcher;
		this.control = control;
		this.clock = clock;
	}

	@Override
	public void tick(long nowNanos) {
		if (nowNanos < this.nextNanos) {
			return;
		}
		this.nextNanos = nowNanos + INTERVAL_NANOS;
		if (this.due.isEmpty()) {
			this.due.addAll(this.busy.get());
		}
		for (int reads = 0; reads < MAX_READS && !this.due.isEmpty(); reads++) {
			read(this.due.poll());
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
		return this.nextNanos;
	}

}
