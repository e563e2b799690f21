package org.limpetgate.host.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.limpetgate.DataCentreId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.Capacity;
import org.limpetgate.scheduling.FencingToken;
import org.limpetgate.scheduling.RunId;
import org.limpetgate.scheduling.SchedulingEffect;
import org.limpetgate.scheduling.StartAnswer;
import org.limpetgate.scheduling.TaskName;
import org.limpetgate.scheduling.WorkerInfo;
import org.limpetgate.scheduling.WorkerReport;
import org.limpetgate.scheduling.WorkerReport.EndKind;

/**
 * A worker in memory with fencing tokens, a lease, runs and ends as the platform's
 * documentation specifies them. It has no limit of capacity.
 * <p>
 * Times are nanoseconds since the Unix epoch and do not decrease. Not thread-safe.
 */
final class FakeWorker {

	static final Capacity CAPACITY = new Capacity(16_000, 32_768, 0);

	private static final long MAX_LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

	private static final long STOP_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final WorkerInfo info;

	private final long startNanos;

	private final Map<RunId, Run> running = new LinkedHashMap<>();

	private final List<WorkerReport.Ended> ended = new ArrayList<>();

	/** The highest attempt of each task that was stopped or has ended. */
	private final Map<TaskName, Integer> endedAttempts = new HashMap<>();

	private final Set<TaskName> doneTasks;

	private FencingToken highestToken = FencingToken.NONE;

	private long leaseEndNanos;

	private long lastEndNumber;

	FakeWorker(String id, DataCentreId dataCentre, Set<TaskName> doneTasks, long nowNanos) {
		this.info = new WorkerInfo(UpstreamId.of(id), nowNanos / NANOS_PER_MILLI, "service",
				InetSocketAddress.createUnresolved(id, 1), dataCentre, CAPACITY, Set.of("kind", "r1-1"), false);
		this.doneTasks = doneTasks;
		this.startNanos = nowNanos;
	}

	WorkerInfo info() {
		return this.info;
	}

	StartAnswer start(SchedulingEffect.StartRun order, long durationNanos, long nowNanos) {
		advance(nowNanos);
		if (!acceptToken(order.token())) {
			return StartAnswer.FENCED;
		}
		if (this.running.containsKey(order.run())) {
			return StartAnswer.STARTED;
		}
		if (order.run().attempt() <= this.endedAttempts.getOrDefault(order.run().task(), 0)) {
			return StartAnswer.OLD_ATTEMPT;
		}
		if (order.leaseEndMillis() <= clockMillis(nowNanos)) {
			return StartAnswer.LEASE_EXPIRED;
		}
		extendLease(order.leaseEndMillis(), nowNanos);
		this.running.put(order.run(), new Run(nowNanos, nowNanos + durationNanos, EndKind.DONE));
		return StartAnswer.STARTED;
	}

	boolean stop(SchedulingEffect.StopRun order, long nowNanos) {
		advance(nowNanos);
		if (!acceptToken(order.token())) {
			return false;
		}
		this.endedAttempts.merge(order.run().task(), order.run().attempt(), Math::max);
		this.running.computeIfPresent(order.run(), (id, run) -> (run.endNanos() <= nowNanos + STOP_NANOS) ? run
				: new Run(run.startNanos(), nowNanos + STOP_NANOS, EndKind.STOPPED));
		return true;
	}

	// Returns the report, or null if the token is fenced.
	WorkerReport poll(SchedulingEffect.PollWorker order, long nowNanos) {
		advance(nowNanos);
		if (!acceptToken(order.token())) {
			return null;
		}
		this.ended.removeIf((end) -> end.number() <= order.ackNumber());
		if (order.leaseEndMillis() > 0) {
			extendLease(order.leaseEndMillis(), nowNanos);
		}
		return new WorkerReport(this.info.incarnationMillis(), clockMillis(nowNanos),
				this.running.entrySet()
					.stream()
					.map((entry) -> new WorkerReport.Running(entry.getKey(), entry.getValue().percent(nowNanos), ""))
					.toList(),
				this.ended);
	}

	private boolean acceptToken(FencingToken token) {
		if (token.compareTo(this.highestToken) < 0) {
			return false;
		}
		this.highestToken = token;
		return true;
	}

	private long clockMillis(long nowNanos) {
		return (nowNanos - this.startNanos) / NANOS_PER_MILLI;
	}

	private void extendLease(long leaseEndMillis, long nowNanos) {
		long requestedNanos = this.startNanos + leaseEndMillis * NANOS_PER_MILLI;
		this.leaseEndNanos = Math.max(this.leaseEndNanos, Math.min(requestedNanos, nowNanos + MAX_LEASE_NANOS));
	}

	// Ends the runs that are completed, or whose lease has expired, by a time.
	void advance(long nowNanos) {
		for (Map.Entry<RunId, Run> entry : List.copyOf(this.running.entrySet())) {
			Run run = entry.getValue();
			if (Math.min(run.endNanos(), this.leaseEndNanos) <= nowNanos) {
				end(entry.getKey(), (run.endNanos() <= this.leaseEndNanos) ? run.endKind() : EndKind.LEASE_EXPIRED);
			}
		}
	}

	private void end(RunId run, EndKind kind) {
		this.running.remove(run);
		this.endedAttempts.merge(run.task(), run.attempt(), Math::max);
		this.ended.add(new WorkerReport.Ended(++this.lastEndNumber, run, kind, ""));
		if (kind == EndKind.DONE) {
			this.doneTasks.add(run.task());
		}
	}

	// Returns the runs of a task that are present.
	List<RunId> runsOf(TaskName task, long nowNanos) {
		advance(nowNanos);
		return this.running.keySet().stream().filter((run) -> run.task().equals(task)).toList();
	}

	/**
	 * A run that is present.
	 *
	 * @param startNanos when it started
	 * @param endNanos when it ends unless the lease expires before
	 * @param endKind how it ends then
	 */
	private record Run(long startNanos, long endNanos, EndKind endKind) {

		int percent(long nowNanos) {
			return (int) Math.min(99, 100 * (nowNanos - this.startNanos) / (this.endNanos - this.startNanos));
		}

	}

}
