package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.IntFunction;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

/**
 * Measures a placement in virtual time without faults: 33 workers of two kinds with
 * unequal speed, three classes of jobs with randomly distributed widths, durations,
 * demands and estimates, and a load that varies as a sine wave.
 * <p>
 * A job counts as on time if it completes within its queue's objective on a worker of
 * speed 1, and as late within three times that. Not thread-safe.
 */
final class PlacementExperiment {

	private static final long MILLI = 1_000_000;

	private static final long START = TimeUnit.DAYS.toNanos(21_000);

	private static final int WORKERS = 33;

	private static final double LOAD_AMPLITUDE = 0.55;

	private static final double LOAD_PERIOD_NANOS = 17e9;

	private static final long CALLER_WAIT_MILLIS = 1500;

	private static final double ESTIMATE_SPREAD = 0.4;

	/** The hosts of the callers, each in a data centre of its own. */
	private static final List<HostId> ORIGINS = List.of(HostId.of("10.0.0.9:1"), HostId.of("10.0.1.9:1"),
			HostId.of("10.0.2.9:1"));

	private static final List<JobClass> CLASSES = List.of(new JobClass("short", 0, 21.2, 8, 51, 60),
			new JobClass("long", 2, 3.85, 4, 760, 60), new JobClass("narrow", 1, 61.6, 2, 170, 60));

	private final Random random;

	private final double load;

	private final long endNanos;

	private final List<Scheduler> schedulers = new ArrayList<>();

	private final List<WorkerInfo> workers = new ArrayList<>();

	private final Map<UpstreamId, FakeWorker> fakeWorkers = new HashMap<>();

	private final Map<UpstreamId, Double> durationFactors = new HashMap<>();

	private final Map<JobId, Job> jobs = new HashMap<>();

	/** The jobs of which a start was sent to a worker. */
	private final Set<JobId> started = new HashSet<>();

	private final Map<String, Result> results = new HashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));

	private boolean callersAllowForDuration;

	private double loadAmplitude = LOAD_AMPLITUDE;

	private Burst burst = new Burst("", 1, 0, 0);

	private final Map<String, Result> spellResults = new HashMap<>();

	private final Set<UpstreamId> slowWorkers = new HashSet<>();

	private long spellStartNanos = Long.MAX_VALUE;

	private long spellEndNanos = Long.MAX_VALUE;

	private int slowAfterSpell;

	private long nowNanos = START;

	private long sequence;

	/** The last time for which a tick was scheduled at the request of a scheduler. */
	private long scheduledCheckNanos;

	private double estimateFactor = 1;

	private double durationFactor = 1;

	/** Workers that do not answer, because they were lost. */
	private final Set<UpstreamId> lostWorkers = new HashSet<>();

	private BiConsumer<SchedulingEffect, Long> observer = (effect, nowNanos) -> {
	};

	/** The runs that were stopped for a more urgent job, in order. */
	private final List<SchedulingEffect.RunPreempted> preemptions = new ArrayList<>();

	/**
	 * Creates an experiment.
	 * @param seed the seed of the random load
	 * @param load the factor on the arrival rates of a day of low load
	 * @param seconds how long jobs arrive, in seconds
	 * @param partitions the number of schedulers, each of which owns a partition of the
	 * workers
	 * @param scheduler the factory of the schedulers, called with the number of the
	 * partition
	 */
	PlacementExperiment(long seed, double load, int seconds, int partitions, IntFunction<Scheduler> scheduler) {
		this(CLASSES, seed, load, seconds, partitions, scheduler);
	}

	PlacementExperiment(List<JobClass> classes, long seed, double load, int seconds, int partitions,
			IntFunction<Scheduler> scheduler) {
		this.random = new Random(seed);
		this.load = load;
		this.endNanos = START + TimeUnit.SECONDS.toNanos(seconds);
		for (int number = 0; number < WORKERS; number++) {
			addWorker(number);
		}
		for (int partition = 0; partition < partitions; partition++) {
			Scheduler created = scheduler.apply(partition);
			List<WorkerInfo> partitionWorkers = new ArrayList<>();
			for (int number = partition; number < WORKERS; number += partitions) {
				partitionWorkers.add(this.workers.get(number));
			}
			created.setHostDataCentres((host) -> Optional.of(DataCentreId.of("dc" + ORIGINS.indexOf(host))));
			created.workersListed(partitionWorkers, true, this.nowNanos);
			created.activate(FencingToken.create(this.nowNanos, partition, FencingToken.NONE), this.nowNanos);
			this.schedulers.add(created);
			schedule(0, () -> tickPeriodically(created));
		}
		classes.forEach((jobClass) -> {
			this.results.put(jobClass.name(), new Result());
			this.spellResults.put(jobClass.name(), new Result());
			schedule(100 * MILLI, () -> scheduleArrival(jobClass));
		});
	}

	/**
	 * Multiplies the arrival rate of one class for some time.
	 * @param burst the burst, not null
	 * @return this experiment, not null
	 */
	PlacementExperiment withBurst(Burst burst) {
		this.burst = burst;
		return this;
	}

	/**
	 * Keeps the load constant instead of varying it as a sine wave.
	 * @return this experiment, not null
	 */
	PlacementExperiment withSteadyLoad() {
		this.loadAmplitude = 0;
		return this;
	}

	/**
	 * Lets callers wait for {@link #CALLER_WAIT_MILLIS} plus the duration of their job,
	 * instead of the same time for all.
	 * @return this experiment, not null
	 */
	PlacementExperiment withCallersThatAllowForDuration() {
		this.callersAllowForDuration = true;
		return this;
	}

	/** Multiplies all estimates, in addition to their random errors. */
	PlacementExperiment withEstimatesTimes(double factor) {
		this.estimateFactor = factor;
		return this;
	}

	/** Multiplies the durations of the runs that start within a period. */
	PlacementExperiment withDurationsTimes(double factor, long fromMillis, long toMillis) {
		schedule(fromMillis * MILLI, () -> this.durationFactor = factor);
		schedule(toMillis * MILLI, () -> this.durationFactor = 1);
		return this;
	}

	/** Lets the first workers disappear, with their runs, and return later. */
	PlacementExperiment withLostWorkers(int count, long fromMillis, long toMillis) {
		schedule(fromMillis * MILLI, () -> {
			this.workers.subList(0, count).forEach((worker) -> this.lostWorkers.add(worker.id()));
			listWorkers();
		});
		schedule(toMillis * MILLI, () -> {
			for (int number = 0; number < count; number++) {
				WorkerInfo old = this.workers.get(number);
				this.fakeWorkers.get(old.id()).restart(this.nowNanos);
				this.workers.set(number, new WorkerInfo(old.id(), this.nowNanos / MILLI, old.service(), old.address(),
						old.dataCentre(), old.capacity(), old.labels(), false));
			}
			this.lostWorkers.clear();
			listWorkers();
		});
		return this;
	}

	/** Sets the receiver of all effects of the schedulers, with their times. */
	PlacementExperiment observedBy(BiConsumer<SchedulingEffect, Long> receiver) {
		this.observer = receiver;
		return this;
	}

	private void listWorkers() {
		List<WorkerInfo> present = this.workers.stream()
			.filter((worker) -> !this.lostWorkers.contains(worker.id()))
			.toList();
		Scheduler scheduler = this.schedulers.get(0);
		scheduler.workersListed(present, true, this.nowNanos);
		tick(scheduler);
	}

	/**
	 * Slows a fifth of the workers down for a time.
	 * @param factor the factor on the duration of their runs
	 * @param fromMillis when it begins, in milliseconds since the start
	 * @param forMillis how long it lasts, in milliseconds
	 * @return this experiment
	 */
	PlacementExperiment slowSpell(double factor, long fromMillis, long forMillis) {
		this.spellStartNanos = START + fromMillis * MILLI;
		this.spellEndNanos = this.spellStartNanos + forMillis * MILLI;
		List<FakeWorker> affected = this.workers.stream()
			.map((info) -> this.fakeWorkers.get(info.id()))
			.filter((worker) -> Integer.parseInt(worker.id().value().substring(1)) % 5 == 1)
			.toList();
		schedule(fromMillis * MILLI, () -> affected.forEach((worker) -> worker.slowDown(factor, this.nowNanos)));
		schedule((fromMillis + forMillis) * MILLI,
				() -> affected.forEach((worker) -> worker.slowDown(1, this.nowNanos)));
		schedule((fromMillis + forMillis + 2000) * MILLI, () -> affected
			.forEach((worker) -> this.slowAfterSpell += this.slowWorkers.contains(worker.id()) ? 1 : 0));
		return this;
	}

	// Returns how many of the slowed workers counted as slow two seconds after the spell.
	int slowAfterSpell() {
		return this.slowAfterSpell;
	}

	Map<String, Result> results() {
		return this.results;
	}

	// Returns the results of the jobs that arrived during the spell.
	Map<String, Result> spellResults() {
		return this.spellResults;
	}

	private void addWorker(int number) {
		boolean large = number % 3 == 2;
		FakeWorker worker = new FakeWorker("w" + number, START - 1000 * MILLI, 1, new NoObserver());
		Capacity capacity = new Capacity(large ? 24_000 : 16_000, 32_768, 0);
		this.workers.add(new WorkerInfo(worker.id(), worker.info().incarnationMillis(), "service",
				InetSocketAddress.createUnresolved("w", 1), DataCentreId.of("dc"), capacity,
				Set.of(large ? "b" : "a", "r" + number / 8), false));
		this.fakeWorkers.put(worker.id(), worker);
		this.durationFactors.put(worker.id(), large ? 1.7 : 0.7);
	}

	private void schedule(long delayNanos, Runnable action) {
		this.events.add(new Event(this.nowNanos + delayNanos, this.sequence++, action));
	}

	private void tickPeriodically(Scheduler scheduler) {
		tick(scheduler);
		if (this.nowNanos < this.endNanos + TimeUnit.SECONDS.toNanos(15)) {
			schedule(20 * MILLI, () -> tickPeriodically(scheduler));
		}
	}

	private void scheduleArrival(JobClass jobClass) {
		if (this.nowNanos > this.endNanos) {
			return;
		}
		double wave = 1 + this.loadAmplitude * Math.sin(2 * Math.PI * (this.nowNanos - START) / LOAD_PERIOD_NANOS);
		double rate = jobClass.rate() * this.load * this.burst.rateFactor(jobClass, wave, this.nowNanos - START);
		long gap = (long) (-Math.log(1 - this.random.nextDouble()) * 1e9 / rate);
		schedule(gap, () -> scheduleArrival(jobClass));
		submit(jobClass);
	}

	private double logNormal(double mean, double spread) {
		return mean * Math.exp(spread * this.random.nextGaussian() - spread * spread / 2);
	}

	private void submit(JobClass jobClass) {
		int width = (int) Math.max(1, Math.min(32, Math.round(logNormal(jobClass.width(), 0.4))));
		double work = logNormal(jobClass.millis(), 0.4) * ((this.random.nextInt(33) == 0) ? 7 : 1);
		JobId id = JobId.of("j" + this.jobs.size());
		Job job = new Job(jobClass.name(), this.nowNanos, new double[width]);
		double longest = 0;
		for (int index = 0; index < width; index++) {
			job.taskMillis()[index] = work * Math.exp(0.15 * this.random.nextGaussian());
			longest = Math.max(longest, job.taskMillis()[index]);
		}
		QueueTerms terms = new QueueTerms(jobClass.priority(), 2, 1.6, jobClass.allowanceMillis() * MILLI);
		job.objectiveNanos(terms.objectiveNanos(longest * MILLI));
		this.jobs.put(id, job);
		int cpu = (int) Math.min(10_000, logNormal(6_800, 0.2));
		StepSpec step = new StepSpec(width, new Capacity(cpu, 64, 0),
				(long) (logNormal(work, ESTIMATE_SPREAD) * this.estimateFactor * MILLI), List.of(), "", "", 0);
		Scheduler scheduler = this.schedulers.get(this.random.nextInt(this.schedulers.size()));
		job.work(cpu / 1000.0 * Arrays.stream(job.taskMillis()).sum() / 1000);
		resultsOf(job).forEach((result) -> result.submitted(job));
		scheduler.submit(ORIGINS.get(this.jobs.size() % ORIGINS.size()),
				new JobSpec(id, jobClass.name(), "service", terms, "", List.of(step)), 0, this.callersAllowForDuration
						? (long) ((CALLER_WAIT_MILLIS + longest) * MILLI) : TimeUnit.SECONDS.toNanos(6),
				EarlierSubmission.NONE, this.nowNanos);
		tick(scheduler);
	}

	private void tick(Scheduler scheduler) {
		scheduler.tick(this.nowNanos, (effect) -> carryOut(scheduler, effect));
		long nextCheckNanos = scheduler.nextCheckNanos();
		if (nextCheckNanos < Long.MAX_VALUE && nextCheckNanos > this.scheduledCheckNanos) {
			this.scheduledCheckNanos = nextCheckNanos;
			schedule(Math.max(0, nextCheckNanos - this.nowNanos), () -> tick(scheduler));
		}
	}

	private void carryOut(Scheduler scheduler, SchedulingEffect effect) {
		this.observer.accept(effect, this.nowNanos);
		if (effect instanceof SchedulingEffect.StartRun start) {
			this.started.add(start.run().task().job());
			schedule(MILLI / 2, () -> start(scheduler, start));
		}
		else if (effect instanceof SchedulingEffect.StopRun stop) {
			schedule(MILLI / 2, () -> {
				boolean confirmed = this.fakeWorkers.get(stop.worker().id()).stop(stop, this.nowNanos);
				schedule(MILLI / 2, () -> {
					scheduler.stopAnswered(stop.worker().id(), stop.run(), confirmed, this.nowNanos);
					tick(scheduler);
				});
			});
		}
		else if (effect instanceof SchedulingEffect.PollWorker poll) {
			schedule(MILLI / 2, () -> poll(scheduler, poll, this.nowNanos + poll.waitNanos(), true));
		}
		else if (effect instanceof SchedulingEffect.JobEnded ended) {
			jobEnded(ended);
		}
		else if (effect instanceof SchedulingEffect.RunPreempted preempted) {
			this.preemptions.add(preempted);
		}
		else if (effect instanceof SchedulingEffect.WorkerSpeedChanged changed) {
			if (changed.slow()) {
				this.slowWorkers.add(changed.worker());
			}
			else {
				this.slowWorkers.remove(changed.worker());
			}
		}
	}

	private void start(Scheduler scheduler, SchedulingEffect.StartRun start) {
		if (this.lostWorkers.contains(start.worker().id())) {
			return;
		}
		Job job = this.jobs.get(start.run().task().job());
		double millis = job.taskMillis()[start.run().task().index()] * this.durationFactors.get(start.worker().id())
				* this.durationFactor;
		StartAnswer answer = this.fakeWorkers.get(start.worker().id())
			.start(start, Capacity.NONE, (long) (millis * MILLI), EndKind.DONE, this.nowNanos);
		schedule(MILLI / 2, () -> {
			scheduler.startAnswered(start, answer, this.nowNanos);
			tick(scheduler);
		});
	}

	private void poll(Scheduler scheduler, SchedulingEffect.PollWorker poll, long waitUntilNanos, boolean first) {
		if (this.lostWorkers.contains(poll.worker().id())) {
			schedule(100 * MILLI, () -> scheduler.pollFailed(poll.worker().id(), poll.sequence(), poll.token(),
					PollFailure.NO_ANSWER, this.nowNanos));
			return;
		}
		FakeWorker worker = this.fakeWorkers.get(poll.worker().id());
		WorkerReport report = first ? worker.poll(poll, this.nowNanos) : worker.report(this.nowNanos);
		if (report.ended().isEmpty() && this.nowNanos < waitUntilNanos) {
			schedule(MILLI, () -> poll(scheduler, poll, waitUntilNanos, false));
			return;
		}
		schedule(MILLI / 2, () -> {
			scheduler.reported(worker.id(), poll.sequence(), poll.token(), report, this.nowNanos);
			tick(scheduler);
		});
	}

	private void jobEnded(SchedulingEffect.JobEnded ended) {
		Job job = this.jobs.get(ended.job());
		resultsOf(job).forEach((result) -> count(ended, job, result));
	}

	private List<Result> resultsOf(Job job) {
		Result result = this.results.get(job.className());
		boolean duringSpell = job.arrivalNanos() >= this.spellStartNanos && job.arrivalNanos() < this.spellEndNanos;
		return duringSpell ? List.of(result, this.spellResults.get(job.className())) : List.of(result);
	}

	private void count(SchedulingEffect.JobEnded ended, Job job, Result result) {
		long durationNanos = this.nowNanos - job.arrivalNanos();
		if (ended.outcome() != JobOutcome.COMPLETED) {
			result.refused++;
			result.refusalNanos.add(durationNanos);
			if (ended.outcome() == JobOutcome.REFUSED && this.started.contains(ended.job())) {
				result.refusedAfterStart++;
			}
			return;
		}
		if (durationNanos <= 3 * job.objectiveNanos()) {
			result.usefulWork += job.work();
		}
		if (durationNanos <= job.objectiveNanos()) {
			result.onTime++;
		}
		else if (durationNanos <= 3 * job.objectiveNanos()) {
			result.late++;
		}
	}

	List<SchedulingEffect.RunPreempted> preemptions() {
		return this.preemptions;
	}

	/**
	 * Runs the experiment.
	 * @return the result of each class of jobs
	 */
	Map<String, Result> run() {
		Event event = this.events.poll();
		while (event != null) {
			this.nowNanos = Math.max(this.nowNanos, event.atNanos());
			event.action().run();
			event = this.events.poll();
		}
		return this.results;
	}

	/**
	 * Returns the mean score of the classes. The score is the share of jobs that were on
	 * time; a late job counts a fifth.
	 */
	static double score(Map<String, Result> results) {
		return results.values().stream().mapToDouble(Result::score).average().orElse(0);
	}

	/** The numbers of jobs of one class by result. */
	static final class Result {

		int submitted;

		int onTime;

		int late;

		int refused;

		/** The work of all jobs, in core seconds on a worker of speed 1. */
		double submittedWork;

		/**
		 * The work of jobs that were on time or late, in core seconds on a worker of
		 * speed 1.
		 */
		double usefulWork;

		int refusedAfterStart;

		/** The time from the arrival to the refusal of each refused job. */
		final List<Long> refusalNanos = new ArrayList<>();

		private void submitted(Job job) {
			this.submitted++;
			this.submittedWork += job.work();
		}

		void add(Result other) {
			this.submitted += other.submitted;
			this.onTime += other.onTime;
			this.late += other.late;
			this.refused += other.refused;
			this.submittedWork += other.submittedWork;
			this.usefulWork += other.usefulWork;
			this.refusedAfterStart += other.refusedAfterStart;
			this.refusalNanos.addAll(other.refusalNanos);
		}

		/**
		 * Returns a quantile of the time to refusal in milliseconds, 0 if no job was
		 * refused.
		 */
		long refusalMillis(double quantile) {
			List<Long> sorted = this.refusalNanos.stream().sorted().toList();
			return sorted.isEmpty() ? 0 : sorted.get((int) (quantile * (sorted.size() - 1))) / MILLI;
		}

		double score() {
			return (this.onTime + 0.2 * this.late) / Math.max(1, this.submitted);
		}

		@Override
		public String toString() {
			return "submitted " + this.submitted + ", on time " + this.onTime + ", late " + this.late + ", refused "
					+ this.refused;
		}

	}

	/**
	 * A burst of one class of jobs.
	 *
	 * @param className the class
	 * @param factor the factor on its arrival rate
	 * @param fromSecond its start, in seconds
	 * @param toSecond its end, in seconds
	 * @param steady whether the load of the class does not vary as a wave during it
	 */
	record Burst(String className, double factor, int fromSecond, int toSecond, boolean steady) {

		Burst(String className, double factor, int fromSecond, int toSecond) {
			this(className, factor, fromSecond, toSecond, false);
		}

		private double rateFactor(JobClass jobClass, double wave, long elapsedNanos) {
			boolean inForce = jobClass.name().equals(this.className) && elapsedNanos >= this.fromSecond * 1000 * MILLI
					&& elapsedNanos < this.toSecond * 1000 * MILLI;
			if (!inForce) {
				return wave;
			}
			return this.steady ? this.factor : this.factor * wave;
		}

	}

	/**
	 * A class of jobs.
	 *
	 * @param name its queue
	 * @param priority the priority of the queue
	 * @param rate the mean rate of arrivals at load 1, per second
	 * @param width the mean number of tasks
	 * @param millis the mean duration of a task
	 * @param allowanceMillis the allowance of the queue
	 */
	record JobClass(String name, int priority, double rate, double width, double millis, long allowanceMillis) {

	}

	private static final class Job {

		private final String className;

		private final long arrivalNanos;

		private final double[] taskMillis;

		private long objectiveNanos;

		private double work;

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

		double work() {
			return this.work;
		}

		void work(double coreSeconds) {
			this.work = coreSeconds;
		}

		void objectiveNanos(long nanos) {
			this.objectiveNanos = nanos;
		}

	}

	private static final class NoObserver implements FakeWorker.RunObserver {

		@Override
		public void started(FakeWorker worker, RunId run, long nowNanos) {
		}

		@Override
		public void ended(FakeWorker worker, RunId run, EndKind kind) {
		}

		@Override
		public void acknowledged(FakeWorker worker, RunId run) {
			// The experiment does not check acknowledgements.
		}

	}

	private record Event(long atNanos, long sequence, Runnable action) {

	}

}
