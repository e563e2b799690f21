package org.limpetgate.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.limpetgate.UpstreamId;

/**
 * The list of workers in the store of {@link FleetSimulation}. Workers write their
 * entries, and hosts read them, over the simulated network, in which the store has a name
 * of its own. An entry that is not written again for three intervals expires.
 * <p>
 * Invariant: an answered read contains every entry that was written, and has not expired,
 * before the read was sent. Not thread-safe.
 */
final class SimulatedWorkerList {

	/** The name of the store in the network. */
	static final String NAME = "store";

	private static final long WRITE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

	private static final int MAX_ANSWER_MILLIS = 20;

	/** One in so many answers takes longer. */
	private static final int SLOW_ANSWERS = 4;

	private static final int MAX_SLOW_ANSWER_MILLIS = 500;

	private static final long EXPIRY_NANOS = 3 * WRITE_INTERVAL_NANOS;

	private final FleetNetwork network;

	private final VirtualTime time;

	private final FleetTrace.Writer trace;

	/** The workers that run. */
	private final Map<UpstreamId, FakeWorker> workers;

	private final Map<UpstreamId, Entry> entries = new TreeMap<>();

	/** Until when the store refuses a host. */
	private final Map<String, Long> refusedUntilNanos = new HashMap<>();

	private long awayUntilNanos;

	/** Counts the writes and the expired entries. */
	private long version;

	SimulatedWorkerList(FleetNetwork network, FleetTrace trace, Map<UpstreamId, FakeWorker> workers) {
		this.network = network;
		this.time = network.time();
		this.trace = trace.writer(NAME);
		this.workers = workers;
	}

	/**
	 * Lets the present incarnation of a worker write its entry, now and at intervals that
	 * do not coincide with those of others.
	 * @param worker the worker, which has started
	 */
	void register(FakeWorker worker) {
		long firstIntervalNanos = (long) (this.network.random().nextDouble() * WRITE_INTERVAL_NANOS);
		writePeriodically(worker, worker.info().incarnationMillis(), firstIntervalNanos);
	}

	private void writePeriodically(FakeWorker worker, long incarnationMillis, long intervalNanos) {
		if (this.workers.get(worker.id()) != worker || worker.info().incarnationMillis() != incarnationMillis) {
			return;
		}
		WorkerInfo info = worker.info();
		deliver(worker.id().value(), () -> write(info));
		this.time.schedule(intervalNanos, () -> writePeriodically(worker, incarnationMillis, WRITE_INTERVAL_NANOS));
	}

	// Carries out a request of a worker unless it is lost.
	private void deliver(String worker, Runnable request) {
		this.time.schedule(this.network.delayNanos(), () -> {
			if (this.network.isOpen(worker, NAME) && !isAway()) {
				request.run();
			}
		});
	}

	private void write(WorkerInfo info) {
		Entry replaced = this.entries.get(info.id());
		if (replaced == null || replaced.info().incarnationMillis() != info.incarnationMillis()) {
			this.trace.event("ENTRY_ADDED " + info.id() + " of " + info.incarnationMillis());
		}
		Entry entry = new Entry(info, this.time.nowNanos());
		this.entries.put(info.id(), entry);
		this.version++;
		this.time.schedule(EXPIRY_NANOS, () -> {
			if (this.entries.remove(info.id(), entry)) {
				this.version++;
				this.trace.event("ENTRY_EXPIRED " + info.id());
			}
		});
	}

	/**
	 * Removes the entry of a worker that leaves, unless the request is lost.
	 * @param worker the worker
	 */
	void unregister(FakeWorker worker) {
		deliver(worker.id().value(), () -> {
			if (this.entries.remove(worker.id()) != null) {
				this.version++;
				this.trace.event("ENTRY_REMOVED " + worker.id());
			}
		});
	}

	private boolean isAway() {
		return this.time.nowNanos() < this.awayUntilNanos;
	}

	// Makes the store unavailable to all hosts and workers.
	void takeAway(long nanos) {
		this.trace.event("AWAY for " + nanos / FleetNetwork.MILLI + " ms");
		this.awayUntilNanos = Math.max(this.awayUntilNanos, this.time.nowNanos() + nanos);
	}

	// Makes the store refuse the reads of one host.
	void refuse(String host, long nanos) {
		this.trace.event("REFUSES " + host + " for " + nanos / FleetNetwork.MILLI + " ms");
		this.refusedUntilNanos.merge(host, this.time.nowNanos() + nanos, Math::max);
	}

	/**
	 * Answers a read of a host, unless the read or its answer is lost.
	 * @param host the host
	 * @param answered receives the list, or null if the store refuses the host
	 */
	void read(String host, Consumer<Contents> answered) {
		this.time.schedule(this.network.delayNanos(), () -> {
			if (!this.network.isOpen(host, NAME)) {
				return;
			}
			boolean refused = isAway() || this.time.nowNanos() < this.refusedUntilNanos.getOrDefault(host, 0L);
			Contents contents = refused ? null
					: new Contents(this.entries.values().stream().map(Entry::info).toList(), this.version);
			this.time.schedule(answerNanos(), () -> {
				if (this.network.isOpen(NAME, host)) {
					answered.accept(contents);
				}
			});
		});
	}

	private long answerNanos() {
		boolean slow = this.network.random().nextInt(SLOW_ANSWERS) == 0;
		int maxMillis = slow ? MAX_SLOW_ANSWER_MILLIS : MAX_ANSWER_MILLIS;
		return this.network.delayNanos() + this.network.random().nextInt(maxMillis) * FleetNetwork.MILLI;
	}

	private record Entry(WorkerInfo info, long writtenNanos) {

	}

	/**
	 * The list at one time.
	 *
	 * @param workers the workers that are listed
	 * @param version a number that increases with each write
	 */
	record Contents(Collection<WorkerInfo> workers, long version) {

		Contents {
			workers = List.copyOf(workers);
		}

	}

}
