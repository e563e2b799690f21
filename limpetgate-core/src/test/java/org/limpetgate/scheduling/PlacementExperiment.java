package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

/**
 * Measures a placement in virtual time without faults: 33 workers of two kinds of unequal
 * speed, three classes of jobs whose widths, durations, sizes and estimates scatter, and
 * a load that rises and falls.
 * <p>
 * A job counts as on time within its queue's objective on a worker of speed 1, and as
 * late within three times that. Not thread-safe.
 */
final class PlacementExperiment {

	private static final long MILLI = 1_000_000;

	private static final long START = TimeUnit.DAYS.toNanos(21_000);

	private static final int WORKERS = 33;

	private static final double SWING = 0.55;

	private static final double PERIOD_NANOS = 17e9;

	private static final double ESTIMATE_SPREAD = 0.4;

	private static final HostId ORIGIN = HostId.of("10.0.0.9:1");

	private static final List<JobClass> CLASSES = List.of(new JobClass("short", 0, 21.2, 8, 51),
			new JobClass("long", 2, 3.85, 4, 760), new JobClass("narrow", 1, 61.6, 2, 170));

	private final Random random;

	private final double load;

	private final long endNanos;

	private final List<Scheduler> schedulers = new ArrayList<>();

	private final List<WorkerInfo> workers = new ArrayList<>();

	private final Map<UpstreamId, FakeWorker> fakes = new HashMap<>();

	private final Map<UpstreamId, Double> factors = new HashMap<>();

	private final Map<JobId, Job> jobs = new HashMap<>();

	private final Map<String, Result> results = new HashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));

	private long now = START;

	private long sequence;

	/**
	 * Creates an experiment.
	 * @param seed the seed of the load
	 * @param load the factor on the arrival rates of a calm day
	 * @param seconds how long jobs arrive
	 * @param divisions how many schedulers share the workers, each with a part of its own
	 * @param scheduler makes the schedulers
	 */
	PlacementExperiment(long seed, double load, int seconds, int divisions, IntFunction<Scheduler> scheduler) {
		this.random = new Random(seed);
		this.load = load;
		this.endNanos = START + TimeUnit.SECONDS.toNanos(seconds);
		for (int number = 0; number < WORKERS; number++) {
			addWorker(number);
		}
		for (int part = 0; part < divisions; part++) {
			Scheduler made = scheduler.apply(part);
			List<WorkerInfo> own = new ArrayList<>();
			for (int number = part; number < WORKERS; number += divisions) {
				own.add(this.workers.get(number));
			}
			made.workersListed(own, true, this.now);
			made.activate(FencingToken.draw(this.now, part, FencingToken.NONE), this.now);
			this.schedulers.add(made);
			at(0, () -> beat(made));
		}
		CLASSES.forEach((jobClass) -> {
			this.results.put(jobClass.name(), new Result());
			at(100 * MILLI, () -> arrive(jobClass));
		});
	}

	private void addWorker(int number) {
		boolean large = number % 3 == 2;
		FakeWorker fake = new FakeWorker("w" + number, START - 1000 * MILLI, 1, new NoWatcher());
		Capacity capacity = new Capacity(large ? 24_000 : 16_000, 32_768, 0);
		this.workers.add(new WorkerInfo(fake.id(), fake.info().bornMillis(), "service",
				InetSocketAddress.createUnresolved("w", 1), DataCentreId.of("dc"), capacity,
				Set.of(large ? "b" : "a", "r" + number / 8), false));
		this.fakes.put(fake.id(), fake);
		this.factors.put(fake.id(), large ? 1.7 : 0.7);
	}

	private void at(long delayNanos, Runnable action) {
		this.events.add(new Event(this.now + delayNanos, this.sequence++, action));
	}

	private void beat(Scheduler scheduler) {
		tick(scheduler);
		if (this.now < this.endNanos + TimeUnit.SECONDS.toNanos(15)) {
			at(20 * MILLI, () -> beat(scheduler));
		}
	}

	private void arrive(JobClass jobClass) {
		if (this.now > this.endNanos) {
			return;
		}
		double wave = 1 + SWING * Math.sin(2 * Math.PI * (this.now - START) / PERIOD_NANOS);
		long gap = (long) (-Math.log(1 - this.random.nextDouble()) * 1e9 / (jobClass.rate() * this.load * wave));
		at(gap, () -> arrive(jobClass));
		submit(jobClass);
	}

	private double scatter(double mean, double spread) {
		return mean * Math.exp(spread * this.random.nextGaussian() - spread * spread / 2);
	}

	private void submit(JobClass jobClass) {
		int width = (int) Math.max(1, Math.min(32, Math.round(scatter(jobClass.width(), 0.4))));
		double work = scatter(jobClass.millis(), 0.4) * ((this.random.nextInt(33) == 0) ? 7 : 1);
		JobId id = JobId.of("j" + this.jobs.size());
		Job job = new Job(jobClass.name(), this.now, new double[width]);
		double longest = 0;
		for (int index = 0; index < width; index++) {
			job.taskMillis()[index] = work * Math.exp(0.15 * this.random.nextGaussian());
			longest = Math.max(longest, job.taskMillis()[index]);
		}
		QueueTerms terms = new QueueTerms(jobClass.priority(), 2, 1.6, 60 * MILLI);
		job.objectiveNanos(terms.objectiveNanos(longest * MILLI));
		this.jobs.put(id, job);
		int cpu = (int) Math.min(10_000, scatter(6_800, 0.2));
		StepSpec step = new StepSpec(width, new Capacity(cpu, 64, 0), (long) (scatter(work, ESTIMATE_SPREAD) * MILLI),
				List.of(), "", "", 0);
		Scheduler scheduler = this.schedulers.get(this.random.nextInt(this.schedulers.size()));
		this.results.get(jobClass.name()).asked++;
		scheduler.submit(ORIGIN, new JobSpec(id, jobClass.name(), "service", terms, "", List.of(step)), 0,
				TimeUnit.SECONDS.toNanos(6), false, this.now);
		tick(scheduler);
	}

	private void tick(Scheduler scheduler) {
		scheduler.tick(this.now, (effect) -> carryOut(scheduler, effect));
	}

	private void carryOut(Scheduler scheduler, SchedulingEffect effect) {
		if (effect instanceof SchedulingEffect.StartRun start) {
			at(MILLI / 2, () -> start(scheduler, start));
		}
		else if (effect instanceof SchedulingEffect.StopRun stop) {
			at(MILLI / 2, () -> {
				boolean confirmed = this.fakes.get(stop.worker().id()).stop(stop, this.now);
				at(MILLI / 2, () -> {
					scheduler.stopAnswered(stop.worker().id(), stop.run(), confirmed, this.now);
					tick(scheduler);
				});
			});
		}
		else if (effect instanceof SchedulingEffect.PollWorker poll) {
			at(MILLI / 2, () -> poll(scheduler, poll, this.now + poll.waitNanos(), true));
		}
		else if (effect instanceof SchedulingEffect.JobEnded ended) {
			ended(ended);
		}
	}

	private void start(Scheduler scheduler, SchedulingEffect.StartRun start) {
		Job job = this.jobs.get(start.run().task().job());
		double millis = job.taskMillis()[start.run().task().index()] * this.factors.get(start.worker().id());
		StartAnswer answer = this.fakes.get(start.worker().id())
			.start(start, Capacity.NONE, (long) (millis * MILLI), EndKind.DONE, this.now);
		at(MILLI / 2, () -> {
			scheduler.startAnswered(start.worker().id(), start.run(), answer, this.now);
			tick(scheduler);
		});
	}

	private void poll(Scheduler scheduler, SchedulingEffect.PollWorker poll, long waitUntil, boolean first) {
		FakeWorker worker = this.fakes.get(poll.worker().id());
		WorkerReport report = first ? worker.poll(poll, this.now) : worker.report(this.now);
		if (report.ended().isEmpty() && this.now < waitUntil) {
			at(MILLI, () -> poll(scheduler, poll, waitUntil, false));
			return;
		}
		at(MILLI / 2, () -> {
			scheduler.reported(worker.id(), poll.sequence(), poll.token(), report, this.now);
			tick(scheduler);
		});
	}

	private void ended(SchedulingEffect.JobEnded ended) {
		Job job = this.jobs.get(ended.job());
		Result result = this.results.get(job.className());
		long took = this.now - job.arrivalNanos();
		if (ended.outcome() != JobOutcome.COMPLETED) {
			result.refused++;
		}
		else if (took <= job.objectiveNanos()) {
			result.onTime++;
		}
		else if (took <= 3 * job.objectiveNanos()) {
			result.late++;
		}
	}

	/**
	 * Runs the experiment.
	 * @return the result of each class of jobs
	 */
	Map<String, Result> run() {
		Event event = this.events.poll();
		while (event != null) {
			this.now = Math.max(this.now, event.atNanos());
			event.action().run();
			event = this.events.poll();
		}
		return this.results;
	}

	/**
	 * Returns the mean over the classes of the worth of an answer; a late one counts a
	 * fifth.
	 */
	static double worth(Map<String, Result> results) {
		return results.values().stream().mapToDouble(Result::worth).average().orElse(0);
	}

	/** Counts of jobs. */
	static final class Result {

		int asked;

		int onTime;

		int late;

		int refused;

		double worth() {
			return (this.onTime + 0.2 * this.late) / Math.max(1, this.asked);
		}

		@Override
		public String toString() {
			return "asked " + this.asked + ", on time " + this.onTime + ", late " + this.late + ", refused "
					+ this.refused;
		}

	}

	private record JobClass(String name, int priority, double rate, double width, double millis) {

	}

	private static final class Job {

		private final String className;

		private final long arrivalNanos;

		private final double[] taskMillis;

		private long objectiveNanos;

		Job(String className, long arrivalNanos, double[] taskMillis) {
			this.className = className;
			this.arrivalNanos = arrivalNanos;
			this.taskMillis = taskMillis;
		}

		String className() {
			return this.className;
		}

		long arrivalNanos() {
			return this.arrivalNanos;
		}

		double[] taskMillis() {
			return this.taskMillis;
		}

		long objectiveNanos() {
			return this.objectiveNanos;
		}

		void objectiveNanos(long nanos) {
			this.objectiveNanos = nanos;
		}

	}

	private static final class NoWatcher implements FakeWorker.RunWatcher {

		@Override
		public void started(FakeWorker worker, RunId run, long nowNanos) {
		}

		@Override
		public void ended(FakeWorker worker, RunId run, EndKind kind) {
		}

		@Override
		public void noted(FakeWorker worker, RunId run) {
			// Nothing is checked here.
		}

	}

	private record Event(long atNanos, long sequence, Runnable action) {

	}

}
