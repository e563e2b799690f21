package org.limpetgate.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiFunction;

/**
 * The {@link Candidates} of a collection of workers by what their tasks require. Lives as
 * long as a placement pass. Not thread-safe.
 */
final class CandidateIndex {

	private final Collection<WorkerEntity> workers;

	private final int minCpuMillis;

	/** Returns the factor of a worker for tasks whose data is on a rack. */
	private final BiFunction<WorkerEntity, String, Double> factor;

	private final Map<Key, Candidates> candidates = new HashMap<>();

	private Key latestKey;

	private Candidates latest;

	CandidateIndex(Collection<WorkerEntity> workers, int minCpuMillis,
			BiFunction<WorkerEntity, String, Double> factor) {
		this.workers = workers;
		this.minCpuMillis = minCpuMillis;
		this.factor = factor;
	}

	// Tests whether it is an index of these workers.
	boolean isOf(Collection<WorkerEntity> other) {
		return this.workers == other;
	}

	Candidates candidates(TaskEntity task) {
		StepSpec step = task.step();
		return candidates(task.job().spec().service(), step.requiredLabel(), step.dataRack());
	}

	private Candidates candidates(String service, String label, String rack) {
		if (this.latestKey == null || !this.latestKey.isOf(service, label, rack)) {
			this.latestKey = new Key(service, label, rack);
			this.latest = this.candidates.computeIfAbsent(this.latestKey, (key) -> new Candidates(this.workers, service,
					label, this.minCpuMillis, (worker) -> this.factor.apply(worker, rack)));
		}
		return this.latest;
	}

	// Tests whether no worker of a service has this much free processor time, as far as
	// it is known.
	boolean hasNoRoom(String service, int cpuMillis) {
		Candidates all = (this.latestKey != null && this.latestKey.isOf(service, "", "")) ? this.latest
				: this.candidates.get(new Key(service, "", ""));
		return all != null && all.hasNoRoom(cpuMillis);
	}

	void workerChanged(WorkerEntity worker) {
		this.candidates.values().forEach((each) -> each.workerChanged(worker));
	}

	private record Key(String service, String label, String rack) {

		private boolean isOf(String otherService, String otherLabel, String otherRack) {
			return this.service.equals(otherService) && this.label.equals(otherLabel) && this.rack.equals(otherRack);
		}

	}

}
