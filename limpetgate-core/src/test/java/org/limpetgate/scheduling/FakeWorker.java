package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.limpetgate.DataCentreId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

/**
 * A simulated worker in virtual time. It implements fencing tokens, leases, runs and ends
 * as the platform's documentation specifies them, but does not enforce its capacity.
 * <p>
 * An order names the worker and not its incarnation, so that every incarnation carries
 * out what reaches it. Not thread-safe.
 */
final class FakeWorker {

	static final Capacity CAPACITY = new Capacity(16_000, 32_768, 0);

	private static final long MAX_LEASE_MILLIS = 1000;

	private static final long STOP_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

	private final UpstreamId id;

	private final DataCentreId dataCentre;

	private final InetSocketAddress address;

	/** Nanoseconds of the worker's clock for each nanosecond of real time. */
	private final double clockRate;

	private final RunObserver observer;

	private final Map<RunId, Run> running = new LinkedHashMap<>();

	private final List<WorkerReport.Ended> ended = new ArrayList<>();

	private final Map<TaskName, Integer> endedAttempts = new HashMap<>();

	private long incarnationNanos;

	private long highestToken;

	private long lastEndNumber;

	private long leaseEndMillis;

	/** When the lease was last renewed after it had expired. */
	private long leaseRestartNanos;

	private final Map<Long, Long> endNanosByNumber = new HashMap<>();

	boolean draining;

	/** How much longer it serves its runs while draining, in milliseconds. */
	long drainMillis = WorkerInfo.UNKNOWN;

	/** The number of ends that it lists at most in one report. */
	int maxListedEnds = 500;

	/** Whether its reports tell the progress of its runs. */
	boolean reportsProgress = true;

	/** The factor on the duration of its runs. */
	private double slowness = 1;

	FakeWorker(String id, long nowNanos, double clockRate, RunObserver observer) {
		this(id, DataCentreId.of("dc"), nowNanos, clockRate, observer);
	}

	// Creates a worker that listens at the address of another one, which has ended.
	FakeWorker(String id, FakeWorker former, long nowNanos, RunObserver observer) {
		this(id, former.dataCentre, former.address, nowNanos, 1, observer);
	}

	FakeWorker(String id, DataCentreId dataCentre, long nowNanos, double clockRate, RunObserver observer) {
		this(id, dataCentre, InetSocketAddress.createUnresolved(id, 1), nowNanos, clockRate, observer);
	}

	private FakeWorker(String id, DataCentreId dataCentre, InetSocketAddress address, long nowNanos, double clockRate,
			RunObserver observer) {
		this.id = UpstreamId.of(id);
		this.dataCentre = dataCentre;
		this.address = address;
		this.incarnationNanos = nowNanos;
		this.clockRate = clockRate;
		this.observer = observer;
	}

	WorkerInfo info() {
		return new WorkerInfo(this.id, this.incarnationNanos / 1_000_000, "service", this.address, this.dataCentre,
				CAPACITY, Set.of("a", "r1-1"), this.draining, 0, this.draining ? this.drainMillis : WorkerInfo.UNKNOWN);
	}

	private long clockMillis(long nowNanos) {
		return (long) ((nowNanos - this.incarnationNanos) * this.clockRate / 1_000_000);
	}

	StartAnswer start(SchedulingEffect.StartRun order, Capacity demand, long durationNanos, EndKind endKind,
			long nowNanos) {
		advance(nowNanos);
		if (order.token().value() < this.highestToken) {
			return StartAnswer.FENCED;
		}
		this.highestToken = order.token().value();
		if (this.running.containsKey(order.run())) {
			return StartAnswer.STARTED;
		}
		if (order.run().attempt() <= this.endedAttempts.getOrDefault(order.run().task(), 0)) {
			extendLease(order.leaseEndMillis(), nowNanos);
			return StartAnswer.OLD_ATTEMPT;
		}
		if (order.leaseEndMillis() <= clockMillis(nowNanos)) {
			return StartAnswer.LEASE_EXPIRED;
		}
		extendLease(order.leaseEndMillis(), nowNanos);
		this.running.put(order.run(), Run.start(demand, nowNanos, (long) (durationNanos * this.slowness), endKind));
		this.observer.started(this, order.run(), nowNanos);
		return StartAnswer.STARTED;
	}

	private void extendLease(long leaseEnd, long nowNanos) {
		if (this.leaseEndMillis <= clockMillis(nowNanos)) {
			this.leaseRestartNanos = nowNanos;
		}
		long cappedLeaseEnd = Math.min(leaseEnd, clockMillis(nowNanos) + MAX_LEASE_MILLIS);
		this.leaseEndMillis = Math.max(this.leaseEndMillis, cappedLeaseEnd);
	}

	boolean stop(SchedulingEffect.StopRun order, long nowNanos) {
		advance(nowNanos);
		if (order.token().value() < this.highestToken) {
			return false;
		}
		this.highestToken = order.token().value();
		this.endedAttempts.merge(order.run().task(), order.run().attempt(), Math::max);
		Run run = this.running.get(order.run());
		if (run != null && run.endNanos() > nowNanos + STOP_NANOS) {
			this.running.put(order.run(), run.stopAt(nowNanos, nowNanos + STOP_NANOS));
		}
		return true;
	}

	// Sets the factor on the duration of its runs, the remaining part of present ones
	// included.
	void slowDown(double factor, long nowNanos) {
		advance(nowNanos);
		this.running.replaceAll((id, run) -> run.slowDown(factor / this.slowness, nowNanos));
		this.slowness = factor;
	}

	// Returns the report, or null if the token is fenced.
	WorkerReport poll(SchedulingEffect.PollWorker order, long nowNanos) {
		advance(nowNanos);
		if (order.token().value() < this.highestToken) {
			return null;
		}
		this.highestToken = order.token().value();
		acknowledge(order.ackNumber(), nowNanos);
		if (order.leaseEndMillis() > 0) {
			extendLease(order.leaseEndMillis(), nowNanos);
		}
		return report(nowNanos);
	}

	// The observer is notified only of ends of successful runs, and only if the lease
	// has not expired since the end.
	private void acknowledge(long number, long nowNanos) {
		for (WorkerReport.Ended ended : List.copyOf(this.ended)) {
			if (ended.number() <= number) {
				this.ended.remove(ended);
				long endNanos = this.endNanosByNumber.remove(ended.number());
				if (ended.kind() == EndKind.DONE && this.leaseEndMillis > clockMillis(nowNanos)
						&& this.leaseRestartNanos < endNanos) {
					this.observer.acknowledged(this, ended.run());
				}
			}
		}
	}

	WorkerReport report(long nowNanos) {
		advance(nowNanos);
		return new WorkerReport(this.incarnationNanos / 1_000_000, clockMillis(nowNanos),
				this.running.entrySet()
					.stream()
					.map((entry) -> new WorkerReport.Running(entry.getKey(),
							this.reportsProgress ? entry.getValue().percent(nowNanos) : 0, ""))
					.toList(),
				this.ended.subList(0, Math.min(this.maxListedEnds, this.ended.size())),
				this.ended.size() < this.maxListedEnds);
	}

	boolean hasEnds(long nowNanos) {
		advance(nowNanos);
		return !this.ended.isEmpty();
	}

	// Ends the runs that are completed, or whose lease has expired, by a time.
	void advance(long nowNanos) {
		for (RunId id : List.copyOf(this.running.keySet())) {
			Run run = this.running.get(id);
			if (run.endNanos() <= nowNanos) {
				endRun(id, run.endKind(), run.endNanos());
			}
			else if (this.leaseEndMillis <= clockMillis(nowNanos)) {
				endRun(id, EndKind.LEASE_EXPIRED, nowNanos);
			}
		}
	}

	// Completes all runs now.
	void completeAll(long nowNanos) {
		advance(nowNanos);
		List.copyOf(this.running.keySet()).forEach((id) -> endRun(id, EndKind.DONE, nowNanos));
	}

	private void endRun(RunId id, EndKind kind, long nowNanos) {
		this.running.remove(id);
		this.endedAttempts.merge(id.task(), id.attempt(), Math::max);
		this.ended.add(new WorkerReport.Ended(++this.lastEndNumber, id, kind, ""));
		this.endNanosByNumber.put(this.lastEndNumber, nowNanos);
		this.observer.ended(this, id, kind);
	}

	// Begins a new incarnation without any state of the current one.
	void restart(long nowNanos) {
		this.running.keySet().forEach((run) -> this.observer.ended(this, run, EndKind.LEASE_EXPIRED));
		this.running.clear();
		this.ended.clear();
		this.endNanosByNumber.clear();
		this.endedAttempts.clear();
		this.highestToken = 0;
		this.lastEndNumber = 0;
		this.leaseEndMillis = 0;
		this.incarnationNanos = nowNanos;
	}

	Capacity used() {
		return this.running.values().stream().map(Run::demand).reduce(Capacity.NONE, Capacity::plus);
	}

	// Returns the jobs that have runs here.
	Set<JobId> jobs() {
		return this.running.keySet().stream().map((run) -> run.task().job()).collect(Collectors.toSet());
	}

	boolean isRunning(RunId run) {
		return this.running.containsKey(run);
	}

	UpstreamId id() {
		return this.id;
	}

	InetSocketAddress address() {
		return this.address;
	}

	/** Observes every start and end on every worker. */
	interface RunObserver {

		void started(FakeWorker worker, RunId run, long nowNanos);

		void ended(FakeWorker worker, RunId run, EndKind kind);

		// Called when the end of a successful run was acknowledged and the lease has
		// not expired since the end.
		void acknowledged(FakeWorker worker, RunId run);

	}

	/**
	 * A present run, which progresses evenly from a share at one time to all of it at its
	 * end.
	 */
	private record Run(Capacity demand, double share, long sinceNanos, long endNanos, EndKind endKind) {

		static Run start(Capacity demand, long nowNanos, long durationNanos, EndKind endKind) {
			return new Run(demand, 0, nowNanos, nowNanos + durationNanos, endKind);
		}

		Run stopAt(long nowNanos, long atNanos) {
			return new Run(this.demand, shareAt(nowNanos), nowNanos, atNanos, EndKind.STOPPED);
		}

		// Changes the duration of its remaining part by a factor.
		Run slowDown(double factor, long nowNanos) {
			long remaining = (long) ((this.endNanos - nowNanos) * factor);
			return (this.endKind == EndKind.STOPPED) ? this
					: new Run(this.demand, shareAt(nowNanos), nowNanos, nowNanos + remaining, this.endKind);
		}

		private double shareAt(long nowNanos) {
			double total = Math.max(1, this.endNanos - this.sinceNanos);
			return this.share + (1 - this.share) * Math.max(0, Math.min(1, (nowNanos - this.sinceNanos) / total));
		}

		int percent(long nowNanos) {
			return (this.endKind == EndKind.STOPPED) ? (int) (100 * this.share) : (int) (100 * shareAt(nowNanos));
		}

	}

}
