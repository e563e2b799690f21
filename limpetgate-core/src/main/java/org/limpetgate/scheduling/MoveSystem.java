package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.limpetgate.scheduling.SchedulingEffect.StopRun;

/**
 * Stops the runs that {@link RunMover} moves, within a budget of wasted work. The tasks
 * start again in the order of the queue once the ends of their runs are listed. Not
 * thread-safe.
 */
final class MoveSystem {

	/** Bounds the processor time of the decisions. */
	private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	/**
	 * The core seconds that moves may waste per second, as a share of all cores.
	 */
	static final double WASTED_SHARE = 0.01;

	/** Allows a small fleet to move a run at all. */
	static final double MIN_WASTED_CORES = 2;

	/** Lets many runs be moved at once when several workers turn slow together. */
	static final double WASTE_BURST_SECONDS = 5;

	private final SchedulerTables tables;

	private final RunSystem runs;

	private final RunMover mover;

	private final WasteBudget budget = new WasteBudget(WASTE_BURST_SECONDS);

	/** The workers whose room the stopped runs of earlier moves will take. */
	private final Map<WorkerEntity, Long> claimedUntilNanos = new HashMap<>();

	private long lastNanos;

	private long count;

	private long wastedCoreNanos;

	MoveSystem(SchedulerTables tables, Placement placement, RunSystem runs) {
		this.tables = tables;
		this.runs = runs;
		this.mover = new RunMover(tables.runTimeModel, placement, tables.settings);
	}

	void tick(long nowNanos) {
		boolean due = this.tables.movesDue || nowNanos - this.lastNanos >= INTERVAL_NANOS;
		if (!this.tables.runTimeModel.isTracked() || !due) {
			return;
		}
		this.tables.movesDue = false;
		this.lastNanos = nowNanos;
		this.claimedUntilNanos.values().removeIf((until) -> until <= nowNanos);
		List<WorkerEntity> sources = this.tables.workers.values()
			.stream()
			.filter((worker) -> !worker.runs.isEmpty()
					&& (worker.speed.isSlow() || worker.drainEndNanos < Long.MAX_VALUE))
			.toList();
		if (sources.isEmpty()) {
			return;
		}
		List<WorkerEntity> candidates = new ArrayList<>(this.tables.workers.values());
		candidates.removeIf(
				(worker) -> !worker.isUsable() || worker.speed.isSlow() || this.claimedUntilNanos.containsKey(worker));
		for (WorkerEntity worker : sources) {
			for (RunEntity run : List.copyOf(worker.runs.values())) {
				RunMover.Move move = this.mover.decide(run, candidates, nowNanos);
				if (move != null && this.budget.tryTake(move.lostCoreNanos(), rateCores(), nowNanos)) {
					candidates.remove(move.target());
					carryOut(move, nowNanos);
				}
			}
		}
	}

	private double rateCores() {
		long cpuMillis = 0;
		for (WorkerEntity worker : this.tables.workers.values()) {
			if (worker.listed) {
				cpuMillis += worker.info.capacity().cpuMillis();
			}
		}
		return Math.max(MIN_WASTED_CORES, WASTED_SHARE * cpuMillis / 1000);
	}

	private void carryOut(RunMover.Move move, long nowNanos) {
		RunEntity run = move.run();
		run.task.moves++;
		this.count++;
		this.wastedCoreNanos += move.lostCoreNanos();
		this.claimedUntilNanos.put(move.target(),
				nowNanos + this.tables.settings.stopNanos() + SchedulerSettings.OVERHEAD_NANOS);
		StopRun.Reason reason = move.reason();
		this.tables.emit(new SchedulingEffect.RunMoved(run.id(), run.worker().info.id(), move.target().info.id(),
				reason, (long) move.endHereNanos() - nowNanos, (long) move.endThereNanos() - nowNanos,
				move.usefulEndNanos() - nowNanos, run.progressPercent, move.lostCoreNanos()));
		this.runs.stop(run, reason, nowNanos);
	}

	long count() {
		return this.count;
	}

	long wastedCoreNanos() {
		return this.wastedCoreNanos;
	}

}
