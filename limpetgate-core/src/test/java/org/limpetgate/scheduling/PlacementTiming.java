package org.limpetgate.scheduling;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;

/**
 * Measures the processor time that a scheduler takes for a start on a fleet in full use
 * while a given number of tasks wait. Every end of a run is reported alone and followed
 * by a tick, so that a placement pass starts few tasks. The arrivals that replace the
 * started tasks are part of the time of a start.
 * <p>
 * Is started by hand with the numbers of workers, of waiting tasks and of starts, and
 * {@code wide} or {@code tight} for the objectives of the jobs. The printed hash of all
 * starts is the same for two versions that make the same decisions. Not thread-safe.
 */
public final class PlacementTiming {

	private static final long MILLI = 1_000_000;

	private static final HostId ORIGIN = HostId.of("10.0.0.9:1");

	/** Tasks per second that 245 workers complete, for the objectives of the jobs. */
	private static final double TASKS_PER_SECOND = 1500;

	private final ThreadMXBean cpu = ManagementFactory.getThreadMXBean();

	private final Random random = new Random(1);

	private final Scheduler scheduler = Scheduler.of(SchedulerSettings.of(7, 1000, 50, 2));

	private final Map<UpstreamId, Worker> workers = new HashMap<>();

	private final PriorityQueue<Run> runs = new PriorityQueue<>(
			Comparator.comparingLong(Run::endNanos).thenComparingLong(Run::sequence));

	private final Map<JobId, Integer> unstarted = new HashMap<>();

	private final Deque<SchedulingEffect> effects = new ArrayDeque<>();

	private final int waitingTasks;

	private final boolean tight;

	private final double meanWaitNanos;

	private long nowNanos = TimeUnit.DAYS.toNanos(21_000);

	private long jobs;

	private long starts;

	private long waiting;

	private long hash;

	private long timedNanos;

	private PlacementTiming(int workerCount, int waitingTasks, boolean tight) {
		this.waitingTasks = waitingTasks;
		this.tight = tight;
		this.meanWaitNanos = 1e9 * waitingTasks / (TASKS_PER_SECOND * workerCount / 245);
		List<WorkerInfo> infos = new ArrayList<>();
		for (int number = 0; number < workerCount; number++) {
			boolean large = number % 3 == 2;
			WorkerInfo info = new WorkerInfo(UpstreamId.of("w" + number), 1, "service",
					InetSocketAddress.createUnresolved("w", 1), DataCentreId.of("dc" + number % 4),
					new Capacity(large ? 48_000 : 32_000, 65_536, 0), Set.of(large ? "b" : "a", "r" + number / 8),
					false);
			infos.add(info);
			this.workers.put(info.id(), new Worker(info, large ? 1.7 : 0.7));
		}
		this.scheduler.workersListed(infos, true, this.nowNanos);
		this.scheduler.activate(FencingToken.create(this.nowNanos, 1, FencingToken.NONE), this.nowNanos);
		tick();
		this.workers.values().forEach(this::report);
		tick();
	}

	private void tick() {
		long begin = this.cpu.getCurrentThreadCpuTime();
		this.scheduler.tick(this.nowNanos, this.effects::add);
		this.timedNanos += this.cpu.getCurrentThreadCpuTime() - begin;
		while (!this.effects.isEmpty()) {
			carryOut(this.effects.poll());
		}
	}

	private void carryOut(SchedulingEffect effect) {
		if (effect instanceof SchedulingEffect.PollWorker poll) {
			this.workers.get(poll.worker().id()).poll = poll;
		}
		else if (effect instanceof SchedulingEffect.StartRun start) {
			Worker worker = this.workers.get(start.worker().id());
			TaskName name = start.run().task();
			double millis = 60 + 240 * new Random(name.hashCode()).nextDouble();
			worker.present.add(start.run());
			this.runs.add(
					new Run(worker, start.run(), this.nowNanos + (long) (millis * worker.factor * MILLI), this.starts));
			this.hash = 31 * this.hash + start.worker().id().hashCode() + 17L * start.run().hashCode();
			this.starts++;
			this.waiting--;
			this.unstarted.merge(name.job(), -1, Integer::sum);
			this.scheduler.startAnswered(start, StartAnswer.STARTED, this.nowNanos);
		}
		else if (effect instanceof SchedulingEffect.StopRun stop) {
			this.scheduler.stopAnswered(stop.worker().id(), stop.run(), true, this.nowNanos);
		}
		else if (effect instanceof SchedulingEffect.JobEnded ended) {
			this.waiting -= this.unstarted.remove(ended.job());
		}
	}

	private void report(Worker worker) {
		SchedulingEffect.PollWorker poll = worker.poll;
		if (poll == null) {
			return;
		}
		worker.poll = null;
		worker.ended.removeIf((end) -> end.number() <= poll.ackNumber());
		WorkerReport report = new WorkerReport(1, this.nowNanos / MILLI,
				worker.present.stream().map((run) -> new WorkerReport.Running(run, 50, "")).toList(), worker.ended);
		long begin = this.cpu.getCurrentThreadCpuTime();
		this.scheduler.reported(worker.info.id(), poll.sequence(), poll.token(), report, this.nowNanos);
		this.timedNanos += this.cpu.getCurrentThreadCpuTime() - begin;
	}

	private void submit() {
		int queue = this.random.nextInt(3);
		int width = Math.max(1, (int) Math.round((2 << queue) * Math.exp(0.4 * this.random.nextGaussian())));
		long allowance = this.tight ? (long) (this.meanWaitNanos * (0.5 + 2.5 * this.random.nextDouble()))
				: TimeUnit.SECONDS.toNanos(1000);
		int cpu = (int) Math.min(24_000, 16_000 * Math.exp(0.2 * this.random.nextGaussian()));
		StepSpec step = new StepSpec(width, new Capacity(cpu, 64, 0),
				(long) (180 * Math.exp(0.4 * this.random.nextGaussian()) * MILLI), List.of(), "", "", 0);
		JobId id = JobId.of("j" + this.jobs++);
		JobSpec spec = new JobSpec(id, "q" + queue, "service", new QueueTerms(queue, 2, 1.6, allowance), "",
				List.of(step));
		this.unstarted.put(id, width);
		this.waiting += width;
		long begin = this.cpu.getCurrentThreadCpuTime();
		this.scheduler.submit(ORIGIN, spec, 0, TimeUnit.SECONDS.toNanos(1000), EarlierSubmission.NONE, this.nowNanos);
		this.timedNanos += this.cpu.getCurrentThreadCpuTime() - begin;
		tick();
	}

	private void run(long count) {
		long last = this.starts + count;
		while (this.starts < last) {
			for (int tries = 0; tries < 20 && this.waiting < this.waitingTasks; tries++) {
				submit();
			}
			Run run = this.runs.poll();
			this.nowNanos = Math.max(this.nowNanos, run.endNanos());
			run.worker().present.remove(run.id());
			run.worker().ended
				.add(new WorkerReport.Ended(++run.worker().endNumber, run.id(), WorkerReport.EndKind.DONE, ""));
			report(run.worker());
			tick();
		}
	}

	/**
	 * Prints the processor time of a start.
	 * @param arguments the numbers of workers, of waiting tasks, and of starts, and
	 * {@code wide} or {@code tight}
	 */
	public static void main(String[] arguments) {
		PlacementTiming timing = new PlacementTiming(Integer.parseInt(arguments[0]), Integer.parseInt(arguments[1]),
				arguments[3].equals("tight"));
		while (timing.waiting < timing.waitingTasks && timing.jobs < timing.waitingTasks) {
			timing.submit();
		}
		long count = Long.parseLong(arguments[2]);
		timing.run(count);
		long before = timing.starts;
		timing.timedNanos = 0;
		timing.run(count);
		System.out.printf("workers %s waiting %d %s: %.4f ms a start, %d starts, hash %x%n", arguments[0],
				timing.waiting, arguments[3], timing.timedNanos / 1e6 / (timing.starts - before),
				timing.starts - before, timing.hash);
	}

	private static final class Worker {

		private final WorkerInfo info;

		private final double factor;

		private final Set<RunId> present = new LinkedHashSet<>();

		private final List<WorkerReport.Ended> ended = new ArrayList<>();

		private long endNumber;

		private SchedulingEffect.PollWorker poll;

		Worker(WorkerInfo info, double factor) {
			this.info = info;
			this.factor = factor;
		}

	}

	private record Run(Worker worker, RunId id, long endNanos, long sequence) {

	}

}
