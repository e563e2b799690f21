package org.limpetgate.scheduling;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.limpetgate.scheduling.SchedulingEffect.HandoverSettled;
import org.limpetgate.scheduling.SchedulingEffect.HandoverSettled.Proof;

/**
 * Starts the tasks of waiting jobs in the order given by {@link QueueOrder}.
 * <p>
 * Invariants: a task starts only while no other run of it may be present on any worker; a
 * task that an earlier scheduler may have started waits until its runs are known, or must
 * have ended because their leases expired. Not thread-safe.
 */
final class PlacementSystem {

	/** A worker is reserved for the next task of a stored job that is later than this. */
	private static final long STARVATION_DELAY_NANOS = TimeUnit.SECONDS.toNanos(3);

	/** The largest share of the workers that are reserved for such jobs. */
	private static final double MAX_RESERVED_SHARE = 0.1;

	private final SchedulerTables tables;

	private final Placement placement;

	private final QueueOrder order;

	private final RunSystem runs;

	private final GangSystem gangs;

	private final PreemptionSystem preemptions;

	private Verification verification;

	PlacementSystem(SchedulerTables tables, Placement placement, QueueOrder order, RunSystem runs, GangSystem gangs,
			PreemptionSystem preemptions) {
		this.tables = tables;
		this.placement = placement;
		this.order = order;
		this.runs = runs;
		this.gangs = gangs;
		this.preemptions = preemptions;
	}

	void connect(Verification verification) {
		this.verification = verification;
	}

	// Runs one placement pass: starts the waiting tasks for which there is capacity.
	void place(long nowNanos) {
		List<JobEntity> ordered = this.tables.waitingJobs.sort(this.order, nowNanos);
		int minCpuMillis = Integer.MAX_VALUE;
		for (JobEntity job : ordered) {
			minCpuMillis = Math.min(minCpuMillis, job.minCpuMillis());
		}
		this.tables.workers.values().forEach((worker) -> worker.reserved = false);
		this.placement.passStarted(this.tables.workers.values(), minCpuMillis, nowNanos);
		for (JobEntity job : this.preemptions.preemptingJobs(nowNanos)) {
			place(List.of(job), nowNanos);
		}
		this.preemptions.reserveWorkers(this.placement);
		place(ordered, nowNanos);
		this.placement.passEnded();
		this.preemptions.preempt(ordered, nowNanos);
	}

	private void place(List<JobEntity> ordered, long nowNanos) {
		long workersInService = this.tables.workers.values().stream().filter((worker) -> !worker.drained).count();
		int remainingReservations = Math.max(1, (int) (MAX_RESERVED_SHARE * workersInService));
		for (JobEntity job : ordered) {
			if (!job.waiting) {
				continue;
			}
			if (job.ordinary && !job.resubmitted && this.placement.hasNoRoom(job, nowNanos)) {
				// The end of a run that frees capacity causes another pass.
				continue;
			}
			if (!this.runs.updateLeaseLimit(job, nowNanos) || mayBelongToAnother(job)
					|| (job.resubmitted && !isHandoverSettled(job, nowNanos))) {
				this.tables.placementDue = true;
				continue;
			}
			placeTasks(job, nowNanos);
			if (job.waitingTasks == 0) {
				this.tables.waitingJobs.remove(job);
			}
			else if (remainingReservations > 0 && isStarved(job, nowNanos) && reserveWorker(job)) {
				remainingReservations--;
			}
		}
	}

	private static boolean isStarved(JobEntity job, long nowNanos) {
		return job.spec().stored() && nowNanos - job.latestStartNanos > STARVATION_DELAY_NANOS;
	}

	// Reserves the usable worker with the most free capacity for the job by excluding
	// it from the rest of the pass. The smaller tasks of later jobs would otherwise
	// use up all capacity in which a large task could start.
	private boolean reserveWorker(JobEntity job) {
		Capacity demand = job.steps()
			.stream()
			.flatMap(List::stream)
			.filter((task) -> task.state == TaskEntity.State.WAITING)
			.map((task) -> task.step().demand())
			.findFirst()
			.orElse(Capacity.NONE);
		Optional<WorkerEntity> best = this.tables.workers.values()
			.stream()
			.filter((worker) -> worker.isUsable() && !worker.reserved
					&& worker.info.service().equals(job.spec().service()) && demand.fits(worker.info.capacity()))
			.max(Comparator.comparingInt((worker) -> worker.freeCapacity().cpuMillis()));
		best.ifPresent((worker) -> {
			worker.reserved = true;
			this.placement.workerChanged(worker);
		});
		return best.isPresent();
	}

	// Tests whether another scheduler may own a stored job. Until a worker was taken back
	// from it, it may have run tasks there and have acknowledged their ends, which the
	// worker then no longer lists.
	private boolean mayBelongToAnother(JobEntity job) {
		return job.spec().stored() && this.tables.ownershipConfirmedNanos < this.tables.retakenNanos;
	}

	// Tests whether the runs that an earlier scheduler may have started are known or have
	// ended.
	private boolean isHandoverSettled(JobEntity job, long nowNanos) {
		if (nowNanos < job.handedOverNanos) {
			return false;
		}
		if (this.tables.verifySinceNanos < job.handedOverNanos) {
			this.tables.verifySinceNanos = nowNanos;
			this.tables.scanDue = true;
		}
		this.tables.listNeededNanos = Math.max(this.tables.listNeededNanos, job.handedOverNanos);
		boolean reported = areRunsReported(job, nowNanos);
		if (!reported && !haveLeasesEnded(job, nowNanos)) {
			return false;
		}
		if (job.settledHandoverNanos != job.handedOverNanos) {
			job.settledHandoverNanos = job.handedOverNanos;
			this.tables.emit(new HandoverSettled(job.id(), reported ? Proof.REPORTS : Proof.LEASES,
					nowNanos - job.handedOverNanos, this.tables.workers.size(),
					nowNanos - this.tables.listProvenNanos));
		}
		return true;
	}

	private boolean areRunsReported(JobEntity job, long nowNanos) {
		return job.spec().stored() ? this.verification.areAllVerified(job.handedOverNanos, nowNanos)
				: this.verification.areRunsVerified(job.handedOverNanos, job.earlierListNanos, nowNanos);
	}

	// Tests whether the leases of the runs have ended, and no end is left unread that
	// would show that a task of a stored job is done.
	private boolean haveLeasesEnded(JobEntity job, long nowNanos) {
		long waited = nowNanos - job.handedOverNanos;
		SchedulerSettings settings = this.tables.settings;
		if (!job.spec().stored()) {
			return waited > settings.resubmitGuardNanos();
		}
		if (this.verification.mayHaveUnreadEnds(nowNanos)) {
			return false;
		}
		// Another scheduler may keep renewing the lease of a worker that this host
		// cannot reach. The worker reports the ends of its runs once it is reachable.
		return waited > SchedulerSettings.MAX_GUARD_NANOS || (waited > settings.storedGuardNanos()
				&& this.verification.areRemainingVerified(job.handedOverNanos, nowNanos));
	}

	private void placeTasks(JobEntity job, long nowNanos) {
		for (List<TaskEntity> tasks : job.steps()) {
			StepSpec step = tasks.get(0).step();
			if (tasks.stream().noneMatch((task) -> task.state == TaskEntity.State.WAITING)) {
				continue;
			}
			double taskNanos = this.tables.runTimeModel.taskNanos(job.spec().queue(), step);
			if (step.has(StepTrait.GANG)) {
				this.gangs.place(tasks, taskNanos, nowNanos);
				continue;
			}
			for (TaskEntity task : tasks) {
				if (task.state == TaskEntity.State.WAITING && !place(task, taskNanos, nowNanos)) {
					break;
				}
			}
		}
	}

	// Returns whether the next task of the step may find a worker.
	private boolean place(TaskEntity task, double taskNanos, long nowNanos) {
		if (task.notBeforeNanos > nowNanos || this.tables.mayBeRunning(task.name())) {
			this.tables.placementDue = true;
			return true;
		}
		if (task.crashes.isHeldBack(nowNanos)) {
			return true;
		}
		boolean isolationPossible = isIsolationPossible(task);
		if (CrashIsolation.mustRunAlone(task) && !isolationPossible) {
			return true;
		}
		WorkerEntity worker = this.placement.choose(task, taskNanos, this.tables.workers.values(), nowNanos);
		if (worker == null) {
			return task.crashes.isSuspect();
		}
		task.job().startSent();
		task.job().waitingTasks--;
		boolean isolated = isolationPossible && worker.runs.isEmpty();
		this.runs.start(task, worker, taskNanos * this.tables.runTimeModel.factor(worker, nowNanos), nowNanos);
		worker.isolated = isolated;
		this.placement.workerChanged(worker);
		return true;
	}

	private boolean isIsolationPossible(TaskEntity task) {
		return (CrashIsolation.mustRunAlone(task) || CrashIsolation.prefersToRunAlone(task))
				&& CrashIsolation.hasRoom(task.job().spec().service(), this.tables.workers.values());
	}

}
