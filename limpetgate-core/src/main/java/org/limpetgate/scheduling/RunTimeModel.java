package org.limpetgate.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.limpetgate.scheduling.SchedulingPolicy.WorkerSpeedKind;
import org.limpetgate.scheduling.WorkerSpeed.Finding;
import org.limpetgate.scheduling.WorkerSpeed.Observation;

/**
 * Estimates the duration of tasks from the durations of completed runs.
 * <p>
 * A caller's estimate and the learned duration of the queue have errors of about the same
 * size, so their geometric mean is better than either. The speed of workers is learned
 * per label and per worker, as a factor on the expected duration; the factor of a worker
 * with few samples depends mostly on its labels.
 * <p>
 * If the speeds of workers are tracked, sudden changes show at once, also by the progress
 * of present runs ({@link WorkerSpeed}). Runs on a slow worker and adopted runs then do
 * not update the estimates of their queue and labels.
 * <p>
 * Runs that started on a cold worker update only a factor of their service on top of
 * that, so that a worker that is warm again has the factor that it had before. Not
 * thread-safe.
 */
final class RunTimeModel {

	private static final double DEFAULT_TASK_NANOS = 200_000_000;

	private static final double LABEL_PRIOR_WEIGHT = 3;

	/** Assumed until runs on cold workers show the factor. */
	private static final double COLD_FACTOR_PRIOR = 2;

	private static final double COLD_FACTOR_PRIOR_WEIGHT = 1;

	// A placement compares all workers, so their factors are cached and recomputed only
	// after this many samples, or after a new sample of the worker.
	private static final long FACTOR_REFRESH_SAMPLES = 32;

	/** The longest expected duration of a probe on a worker of speed 1. */
	private static final double MAX_PROBE_NANOS = 250_000_000;

	/** After this time without a probe a task of twice that duration may be one. */
	private static final double PROBE_OVERDUE_NANOS = 1_000_000_000;

	/** The interval between two probes, which many slow workers share. */
	private static final long MAX_PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	private static final long PROBE_INTERVAL_PER_WORKER_NANOS = TimeUnit.SECONDS.toNanos(8);

	private final Map<String, GeometricMean> queueEstimates = new HashMap<>();

	private final Map<String, GeometricMean> labelEstimates = new HashMap<>();

	/** The factor on the duration of a run that starts on a cold worker, by service. */
	private final Map<String, GeometricMean> coldFactors = new HashMap<>();

	/** The number of completed runs recorded. */
	private long samples;

	private final boolean tracked;

	/** The workers that are slow, and some that were. */
	private final Set<WorkerEntity> slowWorkers = new HashSet<>();

	/** The earliest time of the next probe of any slow worker. */
	private long nextProbeNanos;

	private final SpeedListener listener;

	RunTimeModel() {
		this(WorkerSpeedKind.AVERAGED, SpeedListener.NONE);
	}

	RunTimeModel(WorkerSpeedKind speeds, SpeedListener listener) {
		this.tracked = speeds == WorkerSpeedKind.TRACKED;
		this.listener = listener;
	}

	boolean isTracked() {
		return this.tracked;
	}

	/**
	 * Returns the expected duration of a task on a worker of speed 1.
	 * @param queue the queue
	 * @param step the step
	 * @return the duration in nanoseconds
	 */
	double taskNanos(String queue, StepSpec step) {
		GeometricMean learned = this.queueEstimates.get(queue);
		if (step.estimatedNanos() <= 0) {
			return (learned != null) ? learned.value(1, 0) * 1e6 : DEFAULT_TASK_NANOS;
		}
		if (learned == null) {
			return step.estimatedNanos();
		}
		return Math.sqrt(step.estimatedNanos() * learned.value(1, 0) * 1e6);
	}

	/**
	 * Returns the factor of a worker on the expected duration of a task.
	 * @param worker the worker
	 * @return the factor, above 1 for a slow worker
	 */
	double factor(WorkerEntity worker) {
		if (this.samples >= worker.factorRefreshSample) {
			double prior = labelFactor(worker);
			worker.factor = this.tracked ? worker.speed.factor(prior)
					: worker.durationRatio.value(prior, LABEL_PRIOR_WEIGHT);
			worker.factorRefreshSample = this.samples + FACTOR_REFRESH_SAMPLES;
		}
		return worker.factor;
	}

	/**
	 * Returns the factor of a worker on the expected duration of a task that starts now.
	 * @param worker the worker
	 * @param nowNanos the current time
	 * @return the factor, above 1 for a slow worker
	 */
	double factor(WorkerEntity worker, long nowNanos) {
		return worker.isCold(nowNanos) ? factor(worker) * coldFactor(worker.info.service()) : factor(worker);
	}

	/**
	 * Returns the factor of a worker by which the placement of a task is decided. It
	 * includes a margin for urgent tasks on workers whose speed is uncertain, and is that
	 * of a recovered worker for a probe.
	 * @param task the task
	 * @param worker the worker
	 * @param nowNanos the current time
	 * @return the factor
	 */
	double placementFactor(TaskEntity task, WorkerEntity worker, long nowNanos) {
		if (!this.tracked) {
			return factor(worker, nowNanos);
		}
		if (isProbe(task, worker, nowNanos)) {
			return normalFactor(worker);
		}
		double factor = factor(worker, nowNanos);
		boolean withMargin = worker.speed.isUncertain() && task.job().spec().terms().priority() == 0;
		return withMargin ? factor * Math.exp(worker.speed.spread()) : factor;
	}

	// Returns the factor of a worker while it is not slow.
	double normalFactor(WorkerEntity worker) {
		return worker.speed.normalFactor(labelFactor(worker));
	}

	/**
	 * Tests whether the start of a task on a slow worker would be a probe that is due.
	 * @param task the task
	 * @param worker the worker
	 * @param nowNanos the current time
	 * @return true if the task should rather start there than on another worker
	 */
	boolean isProbe(TaskEntity task, WorkerEntity worker, long nowNanos) {
		if (!this.tracked || !worker.speed.isProbeDue(nowNanos) || !worker.runs.isEmpty()) {
			return false;
		}
		// Probes of different workers are spread, since each may make a job late.
		boolean due = worker.speed.isProbeHastened() || nowNanos >= this.nextProbeNanos;
		return due && isSuitableAsProbe(task, worker, nowNanos);
	}

	/**
	 * Tests whether a task should rather wait for another worker than start on a slow
	 * one. That is so if it may still be on time elsewhere, since its objective grows
	 * with its duration, or if its end there would be of no use to its caller.
	 * @param task the task
	 * @param worker the worker
	 * @param nowNanos the current time
	 * @return true if the task should not start there
	 */
	boolean isTooSlow(TaskEntity task, WorkerEntity worker, long nowNanos) {
		JobEntity job = task.job();
		if (!this.tracked || !worker.speed.isSlow() || job.spec().stored() || isProbe(task, worker, nowNanos)) {
			return false;
		}
		double endNanos = nowNanos + taskNanos(job.spec().queue(), task.step()) * factor(worker);
		return endNanos > job.usefulEndNanos(1);
	}

	// A probe must be on time on a recovered worker, and short, since it may be late.
	// The longer no short task came, the longer it may be.
	private boolean isSuitableAsProbe(TaskEntity task, WorkerEntity worker, long nowNanos) {
		JobEntity job = task.job();
		if (job.spec().stored() || job.spec().steps().size() > 1 || !task.failures.isEmpty() || task.moves > 0) {
			return false;
		}
		double taskNanos = taskNanos(job.spec().queue(), task.step());
		return taskNanos <= MAX_PROBE_NANOS * (1 + worker.speed.probeOverdueNanos(nowNanos) / PROBE_OVERDUE_NANOS)
				&& nowNanos + taskNanos * normalFactor(worker) <= job.objectiveEndNanos;
	}

	/**
	 * Records the start of a run.
	 * @param worker the worker
	 * @param nowNanos the current time
	 */
	void recordStart(WorkerEntity worker, long nowNanos) {
		if (worker.speed.isSlow()) {
			removeFormerlySlow();
			long interval = PROBE_INTERVAL_PER_WORKER_NANOS / Math.max(1, this.slowWorkers.size());
			this.nextProbeNanos = nowNanos + Math.min(MAX_PROBE_INTERVAL_NANOS, interval);
			worker.speed.runStarted(nowNanos);
		}
	}

	private void removeFormerlySlow() {
		this.slowWorkers.removeIf((slow) -> !slow.speed.isSlow() || !slow.listed);
	}

	// Returns the number of workers that are slow, as of the last change.
	int slowWorkers() {
		return this.slowWorkers.size();
	}

	/**
	 * Records the progress of the runs on a worker as of its latest report.
	 * @param worker the worker
	 * @param nowNanos the current time
	 */
	void recordProgress(WorkerEntity worker, long nowNanos) {
		if (!this.tracked) {
			return;
		}
		for (RunEntity run : worker.runs.values()) {
			TaskEntity task = run.task;
			if (task == null || run.state != RunEntity.State.RUNNING || run.startedCold()
					|| run.step().has(StepTrait.PERPETUAL)
					|| !run.pace.report(run.progressPercent, worker.clock.sampledNanos())) {
				continue;
			}
			double taskNanos = taskNanos(task.job().spec().queue(), task.step());
			OptionalDouble jobLog = Siblings.durationLog(task, worker);
			double lower = Math.log(run.pace.lowerDurationNanos() / taskNanos);
			double upper = Math.log(run.pace.upperDurationNanos() / taskNanos);
			double offset = jobLog.orElse(0);
			observe(worker, new Observation(lower - offset, upper - offset, jobLog.isPresent(), task.job().id()),
					nowNanos);
			keepForSiblings(task, worker, (lower + upper) / 2);
		}
	}

	// Records how long a task takes relative to its worker. A slow worker tells nothing
	// about the task.
	private void keepForSiblings(TaskEntity task, WorkerEntity worker, double ratioLog) {
		boolean known = !worker.speed.isSlow() && !Double.isInfinite(ratioLog);
		task.durationLog = known ? ratioLog - Math.log(factor(worker)) : Double.NaN;
		task.durationWorker = worker;
	}

	private void observe(WorkerEntity worker, Observation observation, long nowNanos) {
		double before = factor(worker);
		Finding finding = worker.speed.observe(observation, labelFactor(worker), nowNanos);
		worker.factorRefreshSample = 0;
		if (finding == Finding.TURNED_SLOW || finding == Finding.RECOVERED) {
			this.slowWorkers.add(worker);
			removeFormerlySlow();
			this.nextProbeNanos = (finding == Finding.RECOVERED) ? nowNanos : this.nextProbeNanos;
			this.listener.speedChanged(worker, before, factor(worker), nowNanos);
		}
	}

	private double coldFactor(String service) {
		GeometricMean learned = this.coldFactors.get(service);
		return (learned != null) ? learned.value(COLD_FACTOR_PRIOR, COLD_FACTOR_PRIOR_WEIGHT) : COLD_FACTOR_PRIOR;
	}

	private double labelFactor(WorkerEntity worker) {
		double sum = 0;
		double weights = 0;
		for (String label : worker.info.labels()) {
			GeometricMean learned = this.labelEstimates.get(label);
			if (learned != null) {
				sum += Math.log(learned.value(1, 0)) * learned.weight();
				weights += learned.weight();
			}
		}
		return (weights > 0) ? Math.exp(sum / weights) : 1;
	}

	/**
	 * Records the duration of a completed run.
	 * @param run the run
	 * @param task its task
	 * @param durationNanos its duration in nanoseconds
	 */
	void recordDone(RunEntity run, TaskEntity task, long durationNanos) {
		String queue = task.job().spec().queue();
		double ratio = durationNanos / taskNanos(queue, task.step());
		double factor = factor(run.worker());
		if (run.startedCold()) {
			this.coldFactors.computeIfAbsent(run.worker().info.service(), (key) -> GeometricMean.ofFactor())
				.add(ratio / factor);
			return;
		}
		this.samples++;
		if (this.tracked && !recordTracked(run, task, ratio, durationNanos)) {
			return;
		}
		run.worker().durationRatio.add(ratio);
		run.worker().factorRefreshSample = 0;
		for (String label : run.worker().info.labels()) {
			this.labelEstimates.computeIfAbsent(label, (key) -> GeometricMean.ofFactor()).add(ratio);
		}
		this.queueEstimates.computeIfAbsent(queue, (key) -> GeometricMean.ofMillis()).add(durationNanos / factor / 1e6);
	}

	// Returns whether the run also tells something about its queue and the labels of its
	// worker. The duration of an adopted run is unknown.
	private boolean recordTracked(RunEntity run, TaskEntity task, double ratio, long durationNanos) {
		if (run.adopted) {
			return false;
		}
		WorkerEntity worker = run.worker();
		OptionalDouble jobLog = Siblings.durationLog(task, worker);
		Observation observation = Observation.ended(ratio / Math.exp(jobLog.orElse(0)), jobLog.isPresent(),
				task.job().id());
		observe(worker, observation, run.startedNanos() + durationNanos);
		keepForSiblings(task, worker, Math.log(Math.max(1e-6, ratio)));
		return !worker.speed.isSlow();
	}

}
