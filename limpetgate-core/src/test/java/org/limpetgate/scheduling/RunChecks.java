package org.limpetgate.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.limpetgate.JobId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

/**
 * Checks at every start that the capacity of the worker is not exceeded and that no other
 * run of the task is present on any worker. Not thread-safe.
 */
final class RunChecks implements FakeWorker.RunObserver {

	private final Collection<FakeWorker> workers;

	private final ViolationListener listener;

	private final Map<TaskName, Set<String>> running = new HashMap<>();

	private final Set<TaskName> done = new HashSet<>();

	private final Set<JobId> startedJobs = new HashSet<>();

	RunChecks(Collection<FakeWorker> workers, ViolationListener listener) {
		this.workers = workers;
		this.listener = listener;
	}

	@Override
	public void started(FakeWorker worker, RunId run, long nowNanos) {
		this.workers.forEach((other) -> {
			if (other != worker) {
				other.advance(nowNanos);
			}
		});
		if (!worker.used().fits(FakeWorker.CAPACITY)) {
			this.listener.violated(run.task().job(), "LIMIT on " + worker.id() + " by " + run);
		}
		Set<String> locations = this.running.computeIfAbsent(run.task(), (key) -> new HashSet<>());
		if (!locations.isEmpty()) {
			this.listener.violated(run.task().job(),
					"TWICE: " + run + " on " + worker.id() + " while present on " + locations);
		}
		locations.add(location(worker, run));
		this.startedJobs.add(run.task().job());
	}

	@Override
	public void ended(FakeWorker worker, RunId run, EndKind kind) {
		this.running.getOrDefault(run.task(), new HashSet<>()).remove(location(worker, run));
		if (kind == EndKind.DONE) {
			this.done.add(run.task());
		}
	}

	@Override
	public void acknowledged(FakeWorker worker, RunId run) {
	}

	private static String location(FakeWorker worker, RunId run) {
		return worker.id() + "#" + run.attempt();
	}

	boolean hasStarted(JobId job) {
		return this.startedJobs.contains(job);
	}

	void checkAllTasksDone(JobSpec spec) {
		for (int step = 0; step < spec.steps().size(); step++) {
			for (int index = 0; index < spec.steps().get(step).count(); index++) {
				TaskName task = new TaskName(spec.id(), 0, step, index);
				if (!this.done.contains(task)) {
					this.listener.violated(spec.id(), "COMPLETED: task " + task + " is not done");
				}
			}
		}
	}

	/** Is notified of violated invariants. */
	interface ViolationListener {

		void violated(JobId job, String text);

	}

}
