package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.limpetgate.JobId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link CostOrder}.
 */
class CostOrderTests {

	private static final long NOW = TimeUnit.DAYS.toNanos(21_000);

	private static final long MILLI = 1_000_000;

	private final CostOrder order = new CostOrder(new SchedulerTables(SchedulerSettings.of(1, 1000, 50, 2)));

	/**
	 * Guards against a comparison that is not transitive, which makes a sort fail, and
	 * against an order that depends on that of the list. The jobs agree in most of their
	 * keys.
	 */
	@Property(seed = "1", tries = 200)
	void orderIsTotal(@ForAll long seed, @ForAll @IntRange(max = 300) int count) {
		Random random = new Random(seed);
		List<JobEntity> jobs = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			JobEntity job = job(number, random.nextInt(3), (random.nextInt(3) == 0) ? 0 : random.nextInt(3));
			job.latestStartNanos = NOW + (random.nextInt(4) - 1) * MILLI;
			job.withinShare = random.nextBoolean();
			if (random.nextInt(4) == 0) {
				job.startSent();
			}
			job.waitingTasks = random.nextInt(3);
			jobs.add(job);
		}
		List<JobEntity> sorted = sorted(jobs);
		Collections.shuffle(jobs, random);
		assertThat(sorted(jobs)).containsExactlyElementsOf(sorted);
	}

	/**
	 * Guards against a job beyond its share, or a late one, that delays one within it.
	 */
	@Example
	void jobsWithinTheirSharesComeFirstAndOtherLateOnesLast() {
		JobEntity late = job(0, 0, 1);
		late.latestStartNanos = NOW - MILLI;
		JobEntity lateWithin = job(4, 2, 1000);
		lateWithin.latestStartNanos = NOW - MILLI;
		lateWithin.withinShare = true;
		JobEntity useless = job(5, 1, 1);
		useless.latestStartNanos = NOW - 1000 * MILLI;
		useless.withinShare = true;
		JobEntity surplus = job(1, 0, 1);
		JobEntity within = job(2, 2, 1000);
		within.withinShare = true;
		JobEntity urgentWithin = job(3, 2, 1000);
		urgentWithin.withinShare = true;
		urgentWithin.latestStartNanos = within.latestStartNanos - MILLI;
		assertThat(sorted(List.of(late, useless, surplus, lateWithin, within, urgentWithin)))
			.containsExactly(urgentWithin, within, lateWithin, surplus, late, useless);
	}

	/** Guards against capacity for surplus jobs that goes to those of the least value. */
	@Example
	void surplusJobsCompeteByTheCostOfRefusalPerCoreSecond() {
		JobEntity cheap = job(0, 1, 3);
		JobEntity urgent = job(1, 0, 3);
		JobEntity large = job(2, 1, 30);
		assertThat(sorted(List.of(cheap, large, urgent))).containsExactly(urgent, cheap, large);
	}

	/**
	 * Guards against work that is lost because the rest of a job gives way to new jobs.
	 */
	@Example
	void startedJobCountsTheWorkThatRemains() {
		JobEntity started = job(0, 1, 30);
		started.startSent();
		started.waitingTasks = 1;
		JobEntity fresh = job(1, 1, 30);
		assertThat(sorted(List.of(fresh, started))).containsExactly(started, fresh);
	}

	/** Guards against a job that counts as late because its first step took its time. */
	@Example
	void laterStepHasALaterLatestStart() {
		QueueTerms terms = new QueueTerms(0, 2, 1.6, 60 * MILLI);
		StepSpec first = new StepSpec(1, new Capacity(1000, 64, 0), 100 * MILLI, List.of(), "", "", 0);
		StepSpec second = new StepSpec(1, new Capacity(1000, 64, 0), 100 * MILLI, List.of(0), "", "", 0);
		JobEntity job = new JobEntity(new JobSpec(JobId.of("j"), "q", "service", terms, "", List.of(first, second)), 0,
				NOW);
		job.workNanos = 200 * MILLI;
		job.objectiveEndNanos = NOW + 380 * MILLI;
		job.latestStartNanos = job.objectiveEndNanos - 200 * MILLI - SchedulerSettings.OVERHEAD_NANOS;
		job.cost = JobCost.of(terms, NOW, 380 * MILLI, 0.2, 1);
		job.withinShare = true;
		job.startSent();
		job.taskDone(job.steps().get(0).get(0));
		this.order.sort(new ArrayList<>(List.of(job)), NOW);
		assertThat(job.nextStartNanos).isEqualTo(job.latestStartNanos + 100 * MILLI);
	}

	private List<JobEntity> sorted(List<JobEntity> jobs) {
		List<JobEntity> sorted = new ArrayList<>(jobs);
		this.order.sort(sorted, NOW);
		return sorted;
	}

	private static JobEntity job(int number, int priority, double work) {
		QueueTerms terms = new QueueTerms(priority, 2, 1.6, 60 * MILLI);
		StepSpec step = new StepSpec(4, new Capacity(1000, 64, 0), 100 * MILLI, List.of(), "", "", 0);
		JobEntity job = new JobEntity(new JobSpec(JobId.of("j" + number), "q", "service", terms, "", List.of(step)),
				number, NOW);
		job.latestStartNanos = NOW + 100 * MILLI;
		job.cost = JobCost.of(terms, NOW, 220 * MILLI, work, 3);
		return job;
	}

}
