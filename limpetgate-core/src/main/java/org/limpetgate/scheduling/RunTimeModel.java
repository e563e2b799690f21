package org.limpetgate.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how long tasks take, from the ends of runs.
 * <p>
 * A caller's estimate and the usual duration of the queue are about equally wrong, so
 * that their geometric mean is better than either. Speeds of workers are learned for each
 * label and each worker, as factors on the expected duration; a worker that has few
 * samples is judged by its labels. Not thread-safe.
 */
final class RunTimeModel {

	private static final double DEFAULT_TASK_NANOS = 200_000_000;

	private static final double LABEL_PRIOR_WEIGHT = 3;

	// A placement compares all workers, so that their factors are not worked out each
	// time.
	private static final long FACTOR_SAMPLES = 32;

	private final Map<String, SpeedEstimate> queues = new HashMap<>();

	private final Map<String, SpeedEstimate> labels = new HashMap<>();

	/** Runs that were taken note of. */
	private long samples;

	/**
	 * Returns how long a task should take on a worker of speed 1.
	 * @param queue the queue
	 * @param step the step
	 * @return the duration in nanoseconds
	 */
	double taskNanos(String queue, StepSpec step) {
		SpeedEstimate known = this.queues.get(queue);
		if (step.estimatedNanos() <= 0) {
			return (known != null) ? known.value(1, 0) * 1e6 : DEFAULT_TASK_NANOS;
		}
		if (known == null) {
			return step.estimatedNanos();
		}
		return Math.sqrt(step.estimatedNanos() * known.value(1, 0) * 1e6);
	}

	/**
	 * Returns the factor of a worker on the duration of a task.
	 * @param worker the worker
	 * @return the factor, above 1 for a slow worker
	 */
	double factor(WorkerEntity worker) {
		if (this.samples >= worker.factorValidUntil) {
			worker.factor = worker.speed.value(labelFactor(worker), LABEL_PRIOR_WEIGHT);
			worker.factorValidUntil = this.samples + FACTOR_SAMPLES;
		}
		return worker.factor;
	}

	private double labelFactor(WorkerEntity worker) {
		double sum = 0;
		double weights = 0;
		for (String label : worker.info.labels()) {
			SpeedEstimate known = this.labels.get(label);
			if (known != null) {
				sum += Math.log(known.value(1, 0)) * known.weight();
				weights += known.weight();
			}
		}
		return (weights > 0) ? Math.exp(sum / weights) : 1;
	}

	/**
	 * Takes note of a run that was done.
	 * @param run the run
	 * @param task its task
	 * @param tookNanos its duration in nanoseconds
	 */
	void done(RunEntity run, TaskEntity task, long tookNanos) {
		String queue = task.job().spec().queue();
		double ratio = tookNanos / taskNanos(queue, task.step());
		double factor = factor(run.worker());
		this.samples++;
		run.worker().speed.add(ratio);
		run.worker().factorValidUntil = 0;
		for (String label : run.worker().info.labels()) {
			this.labels.computeIfAbsent(label, (key) -> SpeedEstimate.ofFactor()).add(ratio);
		}
		this.queues.computeIfAbsent(queue, (key) -> SpeedEstimate.ofMillis()).add(tookNanos / factor / 1e6);
	}

}
