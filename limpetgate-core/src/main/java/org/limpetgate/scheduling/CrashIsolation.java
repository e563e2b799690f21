package org.limpetgate.scheduling;

import java.util.Collection;
import java.util.concurrent.TimeUnit;

/**
 * Decides which workers may run tasks that are under suspicion to crash their workers.
 * <p>
 * When a worker crashes, all tasks on it are suspects, and mostly one is to blame. Two
 * suspects do not share a worker, so that an innocent one is not taken along again by the
 * same task, unless there are more suspects than workers for them. A task under which a
 * worker has crashed is to run alone, so that a further crash is evidence against it and
 * costs no other run; a few workers at a time are kept for such tasks. The members of a
 * gang stand and fall together and may share workers with each other, and need not run
 * alone. Has no state and is thread-safe.
 */
final class CrashIsolation {

	/** The largest share of the workers of a service that are kept for single runs. */
	private static final double MAX_ISOLATED_SHARE = 0.2;

	/**
	 * A suspect that has found no worker for this long may share one with other suspects.
	 * When many workers have crashed, there are more suspects than workers.
	 */
	static final long SEPARATION_NANOS = TimeUnit.SECONDS.toNanos(1);

	private CrashIsolation() {
	}

	// Tests whether the task may start on the worker beside the runs there.
	static boolean permits(TaskEntity task, WorkerEntity worker, long nowNanos) {
		if (worker.runs.isEmpty()) {
			return true;
		}
		if (worker.isolated || mustRunAlone(task)) {
			return false;
		}
		return !task.crashes.isSuspect() || nowNanos - task.lastRunEndNanos >= SEPARATION_NANOS
				|| worker.runs.values().stream().noneMatch((run) -> isSuspect(run) && !isSameGang(task, run));
	}

	private static boolean isSuspect(RunEntity run) {
		return run.task != null && run.task.crashes.isSuspect();
	}

	private static boolean isSameGang(TaskEntity task, RunEntity run) {
		TaskName name = task.name();
		TaskName other = run.id().task();
		return isGangMember(task) && name.job().equals(other.job()) && name.step() == other.step();
	}

	private static boolean isGangMember(TaskEntity task) {
		return task.step().has(StepTrait.GANG);
	}

	// Tests whether the task may start only on a worker without other runs.
	static boolean mustRunAlone(TaskEntity task) {
		return !isGangMember(task) && task.crashes.mustRunAlone();
	}

	// Tests whether the task should rather start on a worker without other runs.
	static boolean prefersToRunAlone(TaskEntity task) {
		return !isGangMember(task) && task.crashes.totalCrashes() > 0;
	}

	// Tests whether one more worker of a service may be kept for a single run.
	static boolean hasRoom(String service, Collection<WorkerEntity> workers) {
		int total = 0;
		int isolated = 0;
		for (WorkerEntity worker : workers) {
			if (worker.listed && !worker.drained && worker.info.service().equals(service)) {
				total++;
				isolated += worker.isolated ? 1 : 0;
			}
		}
		return isolated < Math.max(1, (int) (MAX_ISOLATED_SHARE * total));
	}

}
