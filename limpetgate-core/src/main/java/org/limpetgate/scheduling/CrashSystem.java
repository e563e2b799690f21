package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.CrashHistory.Loss;
import org.limpetgate.scheduling.RunListener.RunEnd;

/**
 * Keeps the {@link CrashHistory} of each task and finds the tasks that crash their
 * workers.
 * <p>
 * Invariant: every open task with a history other than {@link CrashHistory#NONE} is in
 * {@link #suspects}. Not thread-safe.
 */
final class CrashSystem {

	/** The interval at which histories are checked for what has expired. */
	private static final long SCAN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/**
	 * A perpetual task that has run for this long does not crash its workers. It would
	 * otherwise reach any number of crashes in its long life.
	 */
	private static final long PROVEN_RUN_NANOS = TimeUnit.SECONDS.toNanos(30);

	private final SchedulerTables tables;

	/** Is called with the job of a history that changed. */
	private final Consumer<JobEntity> changeListener;

	private final Set<TaskEntity> suspects = new LinkedHashSet<>();

	/** Tasks that were found to crash their workers since they were last taken. */
	private final List<TaskEntity> deadlyTasks = new ArrayList<>();

	/** Workers with losses that may not be resolved. */
	private final Set<UpstreamId> lostWorkers = new HashSet<>();

	/** The addresses of these workers. */
	private final Set<InetSocketAddress> lostAddresses = new HashSet<>();

	private long lastScanNanos;

	CrashSystem(SchedulerTables tables, Consumer<JobEntity> changeListener) {
		this.tables = tables;
		this.changeListener = changeListener;
	}

	// Takes over the histories of a job that an earlier scheduler left, whose clock may
	// have been ahead.
	void restored(JobEntity job, long nowNanos) {
		for (List<TaskEntity> tasks : job.steps()) {
			for (TaskEntity task : tasks) {
				if (task.crashes.isSuspect() && task.state != TaskEntity.State.DONE) {
					task.crashes = task.crashes.withLossesUntil(nowNanos);
					track(task);
					task.crashes.losses().forEach(this::addLost);
				}
			}
		}
	}

	private void addLost(Loss loss) {
		this.lostWorkers.add(loss.worker());
		this.lostAddresses.add(loss.address());
	}

	// Records the end of a run, which may be due to the loss of its worker.
	void runEnded(RunEntity run, TaskEntity task, RunEnd end, long nowNanos) {
		task.lastRunEndNanos = nowNanos;
		if (isPerpetual(task) && nowNanos - run.startedNanos() >= PROVEN_RUN_NANOS) {
			return;
		}
		WorkerInfo worker = run.worker().info;
		if (end == RunEnd.WORKER_CRASHED) {
			addCrashes(task, worker.id(), (history) -> history.withCrash(run.evidence()));
		}
		else if (end == RunEnd.WORKER_SILENT) {
			Loss loss = new Loss(worker.id(), worker.unresolvedAddress(), worker.incarnationMillis(), run.evidence(),
					nowNanos);
			addLost(loss);
			change(task, task.crashes.withLoss(loss));
		}
	}

	// Resolves the losses of the worker that has reported, and of those that it has
	// replaced.
	void workerReported(WorkerInfo worker) {
		if (!this.lostWorkers.contains(worker.id())
				&& (this.lostAddresses.isEmpty() || !this.lostAddresses.contains(worker.unresolvedAddress()))) {
			return;
		}
		for (TaskEntity task : this.suspects) {
			change(task, task.crashes.withReport(worker.id(), worker.incarnationMillis()));
			addCrashes(task, worker.id(), (history) -> history.withIncarnation(worker));
		}
	}

	private void addCrashes(TaskEntity task, UpstreamId worker, UnaryOperator<CrashHistory> operator) {
		CrashHistory changed = operator.apply(task.crashes);
		if (changed != task.crashes) {
			change(task, changed);
			this.tables.emit(new SchedulingEffect.WorkerCrashed(worker, task.name(), changed));
		}
	}

	private void change(TaskEntity task, CrashHistory history) {
		if (history == task.crashes || task.job().ended) {
			return;
		}
		task.crashes = history;
		this.changeListener.accept(task.job());
		track(task);
	}

	private void track(TaskEntity task) {
		this.suspects.add(task);
		this.tables.placementDue = true;
		if (task.crashes.isDeadly(task.job().spec().stored())) {
			this.deadlyTasks.add(task);
		}
	}

	// Returns the tasks that were found to crash their workers, each one once or more.
	List<TaskEntity> takeDeadlyTasks() {
		if (this.deadlyTasks.isEmpty()) {
			return List.of();
		}
		List<TaskEntity> taken = List.copyOf(this.deadlyTasks);
		this.deadlyTasks.clear();
		return taken;
	}

	// Forgets losses that are not resolved in time and tasks that have ended.
	void tick(long nowNanos) {
		if (this.suspects.isEmpty() || nowNanos - this.lastScanNanos < SCAN_INTERVAL_NANOS) {
			return;
		}
		this.lastScanNanos = nowNanos;
		for (TaskEntity task : this.suspects) {
			change(task, task.crashes.withoutExpired(nowNanos));
			if (isProven(task, nowNanos)) {
				change(task, CrashHistory.NONE);
				task.run.worker().isolated = false;
			}
		}
		// What a loss holds back, or what must run alone, may have become possible.
		this.tables.placementDue = true;
		this.suspects
			.removeIf((task) -> task.job().ended || task.state == TaskEntity.State.DONE || !task.crashes.isSuspect());
		this.lostWorkers.clear();
		this.lostAddresses.clear();
		this.suspects.forEach((task) -> task.crashes.losses().forEach(this::addLost));
	}

	private static boolean isProven(TaskEntity task, long nowNanos) {
		return isPerpetual(task) && task.run != null && nowNanos - task.run.startedNanos() >= PROVEN_RUN_NANOS;
	}

	private static boolean isPerpetual(TaskEntity task) {
		return task.step().has(StepTrait.PERPETUAL);
	}

	void clear() {
		this.suspects.clear();
		this.lostWorkers.clear();
		this.lostAddresses.clear();
		this.deadlyTasks.clear();
	}

}
