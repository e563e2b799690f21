package org.limpetgate.scheduling;

import org.limpetgate.scheduling.WorkerReport.EndKind;

/** Records the runs of the workers of {@link FleetSimulation}. Not thread-safe. */
final class TracedRuns implements FakeWorker.RunObserver {

	private final FleetTrace.Writer trace;

	private final FakeWorker.RunObserver observer;

	TracedRuns(FleetTrace trace, FakeWorker.RunObserver observer) {
		this.trace = trace.writer("work");
		this.observer = observer;
	}

	@Override
	public void started(FakeWorker worker, RunId run, long nowNanos) {
		this.trace.job(run.task().job(), "RUN_STARTED " + run + " on " + worker.id());
		this.observer.started(worker, run, nowNanos);
	}

	@Override
	public void ended(FakeWorker worker, RunId run, EndKind kind) {
		this.trace.job(run.task().job(), "RUN_ENDED " + run + " on " + worker.id() + " " + kind);
		this.observer.ended(worker, run, kind);
	}

	@Override
	public void acknowledged(FakeWorker worker, RunId run) {
		this.observer.acknowledged(worker, run);
	}

}
