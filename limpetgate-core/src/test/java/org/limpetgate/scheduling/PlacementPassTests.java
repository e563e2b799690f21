package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.limpetgate.DataCentreId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the passes of {@link FinishTimePlacement} over many tasks: its decisions are
 * those of {@link ScanningPlacement}, and their number does not multiply the number of
 * workers that it considers.
 */
class PlacementPassTests {

	private static final long MILLI = 1_000_000;

	private static final long NOW = TimeUnit.DAYS.toNanos(21_000);

	private static final double REMOTE_FACTOR = 2;

	/** The most starts for which the workers of the growth test have room. */
	private static final int STARTS = 30;

	/** Searches without a result that the growth test allows, for its kinds of tasks. */
	private static final int FAILED_SEARCHES = 10;

	private final RunTimeModel model = new RunTimeModel();

	/**
	 * Guards against a worker that differs from the one that a search of all workers
	 * chooses, for any fleet, tasks, reservations and gangs of a pass.
	 */
	@Property(tries = 3000)
	void choosesTheSameWorkersAsASearchOfAll(@ForAll long seed) {
		Random random = new Random(seed);
		Map<Integer, WorkerEntity> fleet = new LinkedHashMap<>();
		int size = 1 + random.nextInt(25);
		int load = random.nextInt(5);
		for (int number = 0; number < size; number++) {
			fleet.put(number, randomWorker(number, random));
		}
		Collection<WorkerEntity> workers = fleet.values();
		List<JobEntity> jobs = new ArrayList<>();
		for (int number = 0; number < 1 + random.nextInt(60); number++) {
			jobs.add(randomJob(number, random));
		}
		for (WorkerEntity worker : workers) {
			occupy(worker, load, random);
		}
		ScanningPlacement scanning = new ScanningPlacement(this.model, REMOTE_FACTOR);
		FinishTimePlacement indexed = new FinishTimePlacement(this.model, REMOTE_FACTOR);
		for (int pass = 0; pass < 2; pass++) {
			long nowNanos = NOW + pass * 100 * MILLI;
			indexed.passStarted(workers, jobs.stream().mapToInt(JobEntity::minCpuMillis).min().orElse(0), nowNanos);
			for (JobEntity job : jobs) {
				placeWithBoth(scanning, indexed, job, workers, random, nowNanos);
			}
			indexed.passEnded();
		}
	}

	private void placeWithBoth(ScanningPlacement scanning, FinishTimePlacement indexed, JobEntity job,
			Collection<WorkerEntity> workers, Random random, long nowNanos) {
		boolean hasNoRoom = indexed.hasNoRoom(job, nowNanos);
		double taskNanos = (20 + random.nextInt(800)) * MILLI;
		List<RunEntity> reserved = new ArrayList<>();
		for (TaskEntity task : job.steps().get(0)) {
			WorkerEntity expected = scanning.choose(task, taskNanos, workers, nowNanos);
			WorkerEntity chosen = hasNoRoom ? null : indexed.choose(task, taskNanos, workers, nowNanos);
			assertThat(chosen).as("task %s", task.name()).isSameAs(expected);
			if (chosen == null) {
				break;
			}
			RunEntity run = new RunEntity(new RunId(task.name(), task.nextAttempt++), chosen, task.step(), task,
					nowNanos);
			chosen.isolated |= chosen.runs.isEmpty() && random.nextInt(20) == 0;
			chosen.add(run);
			chosen.grantedEndNanos = Math.max(chosen.grantedEndNanos, nowNanos + random.nextInt(1000) * MILLI);
			reserved.add(run);
			indexed.workerChanged(chosen);
		}
		if (job.steps().get(0).get(0).step().has(StepTrait.GANG) && random.nextBoolean()) {
			for (RunEntity run : reserved) {
				run.worker().remove(run);
				indexed.workerChanged(run.worker());
			}
		}
		if (random.nextInt(20) == 0) {
			WorkerEntity worker = List.copyOf(workers).get(random.nextInt(workers.size()));
			worker.reserved = true;
			indexed.workerChanged(worker);
		}
	}

	private static WorkerEntity randomWorker(int number, Random random) {
		Capacity capacity = List
			.of(new Capacity(16_000, 32_768, 0), new Capacity(24_000, 32_768, 0), new Capacity(16_000, 32_768, 2))
			.get(random.nextInt(3));
		WorkerEntity worker = worker(number, (random.nextInt(8) == 0) ? "other" : "service", capacity,
				Set.of((random.nextInt(3) == 0) ? "b" : "a", "r" + number / 4), random.nextInt(12) == 0);
		if (random.nextInt(12) == 0) {
			worker.ownership = WorkerEntity.Ownership.NOT_OWNED;
		}
		worker.suspectUntilNanos = (random.nextInt(6) == 0) ? NOW + random.nextInt(200) * MILLI : 0;
		worker.grantedEndNanos = (random.nextInt(3) == 0) ? NOW + random.nextInt(1000) * MILLI : 0;
		double factor = List.of(0.6, 0.7, 0.72, 1.7, 8.0).get(random.nextInt(5));
		for (int sample = 0; sample < random.nextInt(10); sample++) {
			worker.durationRatio.add(factor);
		}
		return worker;
	}

	private static WorkerEntity worker(int number, String service, Capacity capacity, Set<String> labels,
			boolean draining) {
		WorkerEntity worker = new WorkerEntity(new WorkerInfo(UpstreamId.of("w" + number), 1, service,
				InetSocketAddress.createUnresolved("w", 1), DataCentreId.of("dc"), capacity, labels, draining));
		worker.ownership = WorkerEntity.Ownership.OWNED;
		return worker;
	}

	private static void occupy(WorkerEntity worker, int load, Random random) {
		for (int number = 0; number < random.nextInt(load + 1); number++) {
			JobEntity job = randomJob(1000 + number, random);
			TaskEntity task = job.steps().get(0).get(0);
			if (task.step().demand().fits(worker.freeCapacity())) {
				worker.isolated |= worker.runs.isEmpty() && random.nextInt(10) == 0;
				worker.add(new RunEntity(new RunId(new TaskName(JobId.of(worker + "-" + number), 0, 0, 0), 1), worker,
						task.step(), task, NOW));
			}
		}
	}

	private static JobEntity randomJob(int number, Random random) {
		Set<StepTrait> traits = switch (random.nextInt(8)) {
			case 0 -> Set.of(StepTrait.GANG);
			case 1 -> Set.of(StepTrait.FILLER);
			default -> Set.of();
		};
		Capacity demand = new Capacity(500 * (1 + random.nextInt(40)), 1024 * (1 + random.nextInt(24)),
				random.nextInt(10) / 9);
		StepSpec step = new StepSpec(1 + random.nextInt(4), demand, 0, List.of(), (random.nextInt(8) == 0) ? "b" : "",
				(random.nextInt(6) == 0) ? "r" + random.nextInt(4) : "", (random.nextInt(10) == 0) ? 1 : 0,
				random.nextInt(6) / 5, traits);
		JobEntity job = job(number, (random.nextInt(6) == 0) ? "other" : "service", step);
		job.objectiveEndNanos = NOW + random.nextInt(1500) * MILLI;
		job.leaseLimitNanos = (random.nextInt(3) == 0) ? NOW + random.nextInt(1500) * MILLI : Long.MAX_VALUE;
		if (random.nextInt(10) == 0) {
			TaskEntity task = job.steps().get(0).get(0);
			task.failures = (random.nextInt(2) == 0) ? FailedRuns.NONE : FailedRuns.NONE.plus(1);
			for (int crash = random.nextInt(3); crash > 0; crash--) {
				task.crashes = task.crashes.withCrash(CrashHistory.Evidence.SHARED);
			}
			task.lastRunEndNanos = NOW - random.nextInt(2000) * MILLI;
		}
		return job;
	}

	private static JobEntity job(int number, String service, StepSpec step) {
		QueueTerms terms = new QueueTerms(0, 2, 1.6, 60 * MILLI);
		return new JobEntity(new JobSpec(JobId.of("j" + number), "q", service, terms, "", List.of(step)), number, NOW);
	}

	/**
	 * Guards against the decisions about a task that has failed on a worker, which prefer
	 * the others.
	 */
	@Property(tries = 1000)
	void avoidsTheSameWorkerAfterAFailureAsASearchOfAll(@ForAll long seed) {
		Random random = new Random(seed);
		Map<Integer, WorkerEntity> fleet = new LinkedHashMap<>();
		for (int number = 0; number < 1 + random.nextInt(6); number++) {
			fleet.put(number, randomWorker(number, random));
		}
		Collection<WorkerEntity> workers = fleet.values();
		JobEntity job = randomJob(1, random);
		TaskEntity task = job.steps().get(0).get(0);
		task.failures = FailedRuns.NONE.plus(1);
		task.failedOn = List.copyOf(workers).get(random.nextInt(workers.size()));
		double taskNanos = random.nextInt(800) * MILLI / 50.0;
		FinishTimePlacement indexed = new FinishTimePlacement(this.model, REMOTE_FACTOR);
		assertThat(indexed.choose(task, taskNanos, workers, NOW))
			.isSameAs(new ScanningPlacement(this.model, REMOTE_FACTOR).choose(task, taskNanos, workers, NOW));
	}

	/**
	 * Guards against a pass whose cost grows with the product of waiting tasks and
	 * workers. Each start and each of a few kinds of tasks may consider all workers once.
	 */
	@Example
	void workersConsideredDoNotGrowWithTheWaitingTasks() {
		for (int tasks : new int[] { 2_000, 20_000 }) {
			assertThat(evaluations(245, tasks)).as("%s tasks", tasks)
				.isLessThanOrEqualTo(245 * (STARTS + FAILED_SEARCHES));
		}
		assertThat(evaluations(2_450, 20_000)).isLessThanOrEqualTo(2_450 * (STARTS + FAILED_SEARCHES));
	}

	// Returns how often a worker is considered in a pass over tasks that are late on the
	// slow workers with room, have too short a lease for some or too much memory for any,
	// after the first few starts.
	private long evaluations(int workerCount, int taskCount) {
		Random random = new Random(1);
		Map<Integer, WorkerEntity> fleet = new LinkedHashMap<>();
		for (int number = 0; number < workerCount; number++) {
			WorkerEntity worker = worker(number, "service", new Capacity(16_000, 32_768, 0), Set.of(), false);
			boolean fast = number % 3 != 0;
			for (int sample = 0; sample < 8; sample++) {
				worker.durationRatio.add(fast ? 0.7 : 1.7);
			}
			int used = (fast && number > STARTS) ? 16_000 : 6_000;
			StepSpec step = new StepSpec(1, new Capacity(used, 20_000, 0), 0, List.of(), "", "", 0);
			TaskEntity task = job(100_000 + number, "service", step).steps().get(0).get(0);
			worker.add(new RunEntity(new RunId(task.name(), 1), worker, step, task, NOW));
			worker.grantedEndNanos = NOW + 500 * MILLI;
			fleet.put(number, worker);
		}
		FinishTimePlacement placement = new FinishTimePlacement(this.model, REMOTE_FACTOR);
		placement.passStarted(fleet.values(), 6_000, NOW);
		int starts = 0;
		for (int number = 0; number < taskCount; number++) {
			int memory = (number % 5 == 0) ? 20_000 : 64;
			StepSpec step = new StepSpec(1, new Capacity(6_000 + random.nextInt(4_000), memory, 0), 0, List.of(), "",
					"", 0);
			JobEntity job = job(number, "service", step);
			job.objectiveEndNanos = NOW + 900 * MILLI;
			job.leaseLimitNanos = (number % 7 == 0) ? NOW + random.nextInt(500) * MILLI : Long.MAX_VALUE;
			TaskEntity task = job.steps().get(0).get(0);
			if (placement.hasNoRoom(job, NOW)) {
				continue;
			}
			WorkerEntity worker = placement.choose(task, 760e6, fleet.values(), NOW);
			if (worker != null) {
				worker.add(new RunEntity(new RunId(task.name(), 1), worker, step, task, NOW));
				placement.workerChanged(worker);
				starts++;
			}
		}
		placement.passEnded();
		assertThat(starts).isPositive().isLessThanOrEqualTo(STARTS);
		return placement.evaluations();
	}

}
