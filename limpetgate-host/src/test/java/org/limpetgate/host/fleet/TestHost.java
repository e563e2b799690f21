package org.limpetgate.host.fleet;

import java.io.OutputStream;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoopGroup;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.RequestId;
import org.limpetgate.host.EventLog;
import org.limpetgate.host.HostMetrics;
import org.limpetgate.scheduling.JobSpec;
import org.limpetgate.scheduling.WorkerInfo;

/**
 * A {@link FleetHost} with an event loop of its own, a fake directory and fake workers.
 * <p>
 * Thread-safe: calls are passed to the event loop of the host.
 */
final class TestHost implements AutoCloseable {

	private final FleetSettings settings;

	private final EventLoopGroup group;

	private final FakeDirectory directory = new FakeDirectory();

	private final FakeWorkerOrders orders;

	private final EventLog log;

	private final FleetHost host;

	private final SuspendableClock clock;

	TestHost(FleetSettings settings, EventLoopGroup group, LongSupplier wallClock, FakeWorkers workers,
			OutputStream logOutput) {
		this.settings = settings;
		this.group = group;
		this.clock = new SuspendableClock(wallClock);
		this.orders = new FakeWorkerOrders(settings.host(), workers, group.next(), this.clock);
		this.log = EventLog.writingTo(logOutput);
		this.host = FleetHost.start(settings, group, this.clock, this.directory, new FakeJobLog(), this.orders,
				this.log, new HostMetrics());
	}

	FleetSettings settings() {
		return this.settings;
	}

	HostId id() {
		return this.settings.host();
	}

	DataCentreId dataCentre() {
		return this.settings.dataCentre();
	}

	// Makes the host stand for election.
	void listWorkers(List<WorkerInfo> workers) {
		this.group.next().execute(() -> this.directory.listWorkers(workers));
	}

	// Changes the workers in the store, which the host does not read before its next
	// read.
	void storeWorkers(List<WorkerInfo> workers) {
		this.group.next().execute(() -> this.directory.store(workers));
	}

	// Lets the store refuse the host.
	void setStoreAway() {
		this.group.next().execute(() -> this.directory.setStoreAway(true));
	}

	// Lets the host read the drained data centres of a version from the store.
	void readDrains(long version, DataCentreId... dataCentres) {
		this.group.next().submit(() -> this.directory.drain(version, Set.of(dataCentres))).syncUninterruptibly();
	}

	boolean isScheduling() {
		return this.directory.isScheduling();
	}

	// Tests whether the host knows a scheduler.
	boolean knowsScheduler() {
		return this.group.next().submit(this.host::isReady).syncUninterruptibly().getNow();
	}

	FakeWorkerOrders orders() {
		return this.orders;
	}

	// Submits a job. The answer may be cancelled on any thread.
	CompletableFuture<JobAnswer> submit(JobSpec job, long remainingNanos) {
		return this.group.next()
			.submit(() -> this.host.submit(job, RequestId.NONE, remainingNanos))
			.syncUninterruptibly()
			.getNow();
	}

	// Cancels a caller's request, as the end of its connection does.
	void disconnect(CompletableFuture<JobAnswer> answer) {
		this.group.next().submit(() -> answer.cancel(false)).syncUninterruptibly();
	}

	// Blocks the event loop, as a pause of the process does.
	void pause(long millis) {
		this.group.next().execute(() -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis)));
	}

	// Blocks the event loop and stops the host's clock, as a suspension of the machine
	// does.
	void suspend(long millis) {
		this.group.next().execute(() -> {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
			this.clock.suspended(millis);
		});
	}

	@Override
	public void close() {
		this.host.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
		this.log.close();
	}

}
