package org.limpetgate.host.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.RunId;
import org.limpetgate.scheduling.SchedulingEffect;
import org.limpetgate.scheduling.StartAnswer;
import org.limpetgate.scheduling.TaskName;
import org.limpetgate.scheduling.WorkerInfo;
import org.limpetgate.scheduling.WorkerReport;

/**
 * The workers of a fleet. Records the starts, and the tasks of which two runs were
 * present at the same time.
 * <p>
 * Thread-safe: the hosts call it on their own event loops.
 */
final class FakeWorkers {

	private final LongSupplier clock;

	private final long taskNanos;

	private final Map<UpstreamId, FakeWorker> workers = new LinkedHashMap<>();

	private final Set<TaskName> doneTasks = new HashSet<>();

	private final List<Start> starts = new ArrayList<>();

	private final List<String> overlaps = new ArrayList<>();

	FakeWorkers(LongSupplier clock, long taskNanos) {
		this.clock = clock;
		this.taskNanos = taskNanos;
	}

	synchronized void add(String id, DataCentreId dataCentre) {
		FakeWorker worker = new FakeWorker(id, dataCentre, this.doneTasks, this.clock.getAsLong());
		this.workers.put(worker.info().id(), worker);
	}

	// Starts a worker again, under its id and with nothing that it had before.
	synchronized void restart(UpstreamId id) {
		long now = this.clock.getAsLong();
		this.workers.computeIfPresent(id, (key, worker) -> {
			worker.advance(now);
			return new FakeWorker(id.value(), worker.info().dataCentre(), this.doneTasks, now);
		});
	}

	// Returns the present incarnation of a worker.
	synchronized long incarnationMillis(UpstreamId worker) {
		return this.workers.get(worker).info().incarnationMillis();
	}

	synchronized List<WorkerInfo> infos() {
		return this.workers.values().stream().map(FakeWorker::info).toList();
	}

	synchronized StartAnswer start(HostId host, SchedulingEffect.StartRun order) {
		long now = this.clock.getAsLong();
		FakeWorker worker = this.workers.get(order.worker().id());
		List<String> present = presentRuns(order.run().task(), now);
		boolean isNew = !worker.runsOf(order.run().task(), now).contains(order.run());
		StartAnswer answer = worker.start(order, this.taskNanos, now);
		if (answer == StartAnswer.STARTED && isNew) {
			Start start = new Start(order.run(), order.worker().id(), host, now);
			this.starts.add(start);
			present.forEach((other) -> this.overlaps.add(start + " while " + other));
		}
		return answer;
	}

	private List<String> presentRuns(TaskName task, long nowNanos) {
		List<String> runs = new ArrayList<>();
		this.workers.forEach(
				(id, worker) -> worker.runsOf(task, nowNanos).forEach((run) -> runs.add(run + " is present on " + id)));
		return runs;
	}

	synchronized boolean stop(SchedulingEffect.StopRun order) {
		return this.workers.get(order.worker().id()).stop(order, this.clock.getAsLong());
	}

	// Returns the report, or null if the token is fenced.
	synchronized WorkerReport poll(SchedulingEffect.PollWorker order) {
		return this.workers.get(order.worker().id()).poll(order, this.clock.getAsLong());
	}

	// Returns the starts that a host ordered.
	synchronized List<Start> startsOrderedBy(HostId host) {
		return this.starts.stream().filter((start) -> start.host().equals(host)).toList();
	}

	synchronized List<Start> starts() {
		return List.copyOf(this.starts);
	}

	// Returns the starts of tasks of which another run was present, as text.
	synchronized List<String> overlaps() {
		return List.copyOf(this.overlaps);
	}

	// Returns the number of tasks of a job that are done.
	synchronized long doneTasks(JobId job) {
		long now = this.clock.getAsLong();
		this.workers.values().forEach((worker) -> worker.advance(now));
		return this.doneTasks.stream().filter((task) -> task.job().equals(job)).count();
	}

	// Returns the runs of a job that are present, as text.
	synchronized List<String> presentRuns(JobId job) {
		long now = this.clock.getAsLong();
		return this.starts.stream()
			.map((start) -> start.run().task())
			.filter((task) -> task.job().equals(job))
			.distinct()
			.flatMap((task) -> presentRuns(task, now).stream())
			.toList();
	}

	/**
	 * The start of a run.
	 *
	 * @param run the run
	 * @param worker the worker
	 * @param host the host that ordered it
	 * @param nanos the time, in nanoseconds since the Unix epoch
	 */
	record Start(RunId run, UpstreamId worker, HostId host, long nanos) {

	}

}
