package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

/**
 * A scheduler with fake workers that answer at once, for tests of workers that start
 * again and of orders that are lost. Each task needs a whole worker. Not thread-safe.
 */
final class WorkerFixture {

	static final long RUN_MILLIS = 100;

	/** The duration of the task of a job whose name begins with "long". */
	static final long LONG_RUN_MILLIS = 10_000;

	/** The duration of the task of a job whose name begins with "lasting". */
	private static final long LASTING_RUN_MILLIS = 60_000;

	private static final HostId HOST = HostId.of("10.0.0.1:1");

	private static final long MILLI = 1_000_000;

	private static final QueueTerms TERMS = new QueueTerms(0, 3, 3, TimeUnit.SECONDS.toNanos(30));

	/** One task needs a whole worker. */
	static final Capacity DEMAND = FakeWorker.CAPACITY;

	final List<FakeWorker> workers = new ArrayList<>();

	final List<SchedulingEffect.StartRun> starts = new ArrayList<>();

	final List<SchedulingEffect.JobEnded> ends = new ArrayList<>();

	final List<SchedulingEffect.WorkerCrashed> crashes = new ArrayList<>();

	final List<SchedulingEffect.EntryRefuted> refutedEntries = new ArrayList<>();

	final List<String> violations = new ArrayList<>();

	/** Workers that receive nothing. */
	final Set<UpstreamId> down = new HashSet<>();

	/** Workers that run but have no entry in the list. */
	final Set<UpstreamId> unlisted = new HashSet<>();

	/** Entries of other writers, which are listed beside those of the workers. */
	final List<WorkerInfo> otherEntries = new ArrayList<>();

	/** Whether starts are lost. */
	boolean startsLost;

	/** Whether the answers of starts are lost. */
	boolean startAnswersLost;

	/** Whether the answers of polls are lost. */
	boolean pollAnswersLost;

	/** Whether the store does not answer. */
	boolean storeAway;

	private final StoredContents store = new StoredContents(new LinkedHashMap<>());

	/** Changes that are saved once the store answers, unless their owner is replaced. */
	private final List<SchedulingEffect.SaveChange> unsavedChanges = new ArrayList<>();

	private final Map<JobId, JobSpec> jobs = new HashMap<>();

	/** Is called after a start was carried out or lost, and before it is answered. */
	Runnable afterStart = () -> {
	};

	Scheduler scheduler;

	long nowNanos = TimeUnit.DAYS.toNanos(21_000);

	/** When all workers that the scheduler before this one used were listed. */
	private long earlierListedNanos;

	private final RunChecks checks = new RunChecks(this.workers, (job, text) -> this.violations.add(text));

	private JobSpec lastJob;

	private int nextJob;

	WorkerFixture(String... workers) {
		for (String id : workers) {
			this.workers.add(new FakeWorker(id, this.nowNanos - TimeUnit.MINUTES.toNanos(1), 1, this.checks));
		}
		activate(7, listedWorkers());
	}

	// Replaces the scheduler by a new one with a list of workers.
	void activate(int hostNumber, List<WorkerInfo> infos) {
		Scheduler next = Scheduler.of(SchedulerSettings.of(hostNumber, 1000, 50, 2));
		next.setOtherSchedulerPossible(false);
		next.workersListed(infos, true, this.nowNanos);
		activate(next, hostNumber);
	}

	// Replaces the scheduler by one that has a list of workers.
	void activate(Scheduler next, int hostNumber) {
		this.earlierListedNanos = (this.scheduler != null) ? this.scheduler.usedWorkersListedNanos() : this.nowNanos;
		this.scheduler = next;
		this.unsavedChanges.clear();
		this.scheduler.activate(FencingToken.create(this.nowNanos, hostNumber, FencingToken.NONE), this.nowNanos);
		advance(10);
	}

	// Starts a worker that is listed from the next list on.
	void addWorker(String id) {
		this.workers.add(new FakeWorker(id, this.nowNanos, 1, this.checks));
	}

	// Lists the workers that are not down.
	void listWorkers() {
		this.scheduler.workersListed(listedWorkers(), true, this.nowNanos);
	}

	List<WorkerInfo> listedWorkers() {
		Map<UpstreamId, WorkerInfo> entries = new LinkedHashMap<>();
		this.workers.stream()
			.filter((worker) -> !this.down.contains(worker.id()) && !this.unlisted.contains(worker.id()))
			.forEach((worker) -> entries.put(worker.id(), worker.info()));
		this.otherEntries.forEach((entry) -> entries.put(entry.id(), entry));
		return List.copyOf(entries.values());
	}

	// Starts a worker with another id at the address of one that has ended, whose entry
	// may stay in the list.
	FakeWorker replace(FakeWorker ended, String id) {
		FakeWorker successor = new FakeWorker(id, ended, this.nowNanos, this.checks);
		ended.restart(this.nowNanos);
		this.otherEntries.add(ended.info());
		this.workers.remove(ended);
		this.workers.add(successor);
		return successor;
	}

	void submit() {
		submit(job(Integer.toString(this.nextJob++), RUN_MILLIS));
	}

	void submitLong() {
		submit(job("long" + this.nextJob++, LONG_RUN_MILLIS));
	}

	// Submits a stored job of short tasks, which all fit on one worker.
	JobId submitStored(int tasks) {
		StepSpec step = new StepSpec(tasks, new Capacity(100, 64, 0), RUN_MILLIS * MILLI, List.of(), "", "", 0);
		JobSpec job = new JobSpec(JobId.of("stored" + this.nextJob++), "queue", "service", TERMS, "", List.of(step),
				true);
		submit(job);
		return job.id();
	}

	// Submits a stored job of tasks that each need a whole worker for a minute.
	JobId submitStoredLasting(int tasks, StepTrait... traits) {
		StepSpec step = new StepSpec(tasks, DEMAND, LASTING_RUN_MILLIS * MILLI, List.of(), "", "", 0, 0,
				Set.of(traits));
		JobSpec job = new JobSpec(JobId.of("lasting" + this.nextJob++), "queue", "service", TERMS, "", List.of(step),
				true);
		submit(job);
		return job.id();
	}

	// Lets the store name a used worker.
	void recordUse(WorkerInfo worker) {
		this.store.apply(new StoredChange.WorkerUsed(worker));
	}

	// Returns the used workers that the store names.
	Set<UpstreamId> recordedWorkers() {
		return this.store.usedWorkers().keySet();
	}

	// Lets the scheduler read the stored jobs from the store.
	void loadStored() {
		this.scheduler.loadStoredJobs(this.store.read(), this.nowNanos);
	}

	private void save(SchedulingEffect.SaveChange effect) {
		if (this.storeAway) {
			this.unsavedChanges.add(effect);
			return;
		}
		this.store.apply(effect.change());
		this.scheduler.changesSaved(effect.sequence(), this.nowNanos);
	}

	private void submit(JobSpec job) {
		this.lastJob = job;
		this.jobs.put(job.id(), job);
		this.scheduler.submit(HOST, job, 0, TimeUnit.SECONDS.toNanos(30), EarlierSubmission.NONE, this.nowNanos);
	}

	// Submits the last job to a scheduler that does not know it, as the host of the job
	// does.
	void resubmit() {
		long listAgeNanos = Math.max(0, this.nowNanos - this.earlierListedNanos);
		this.scheduler.submit(HOST, this.lastJob, 0, TimeUnit.SECONDS.toNanos(30),
				EarlierSubmission.heldFor(0).withListAge(listAgeNanos), this.nowNanos);
	}

	// Submits a job whose task leaves room for another one on its worker.
	void submitLongHalf() {
		StepSpec step = new StepSpec(1, new Capacity(DEMAND.cpuMillis() / 2, DEMAND.memoryMb() / 2, 0),
				LONG_RUN_MILLIS * MILLI, List.of(), "", "", 0);
		submit(new JobSpec(JobId.of("long" + this.nextJob++), "queue", "service", TERMS, "", List.of(step)));
	}

	// Lets a scheduler that has taken over all workers read a stored job from the store.
	void loadStoredLong() {
		JobSpec job = job("long" + this.nextJob++, LONG_RUN_MILLIS);
		JobSpec stored = new JobSpec(job.id(), job.queue(), job.service(), job.terms(), job.payload(), job.steps(),
				true);
		this.jobs.put(stored.id(), stored);
		this.scheduler.loadStoredJobs(
				new StoredSnapshot(List.of(new StoredJob(stored.id(), stored, this.nowNanos / MILLI, JobProgress.NONE)),
						List.of()),
				this.nowNanos);
	}

	private static JobSpec job(String id, long runMillis) {
		StepSpec step = new StepSpec(1, DEMAND, runMillis * MILLI, List.of(), "", "", 0);
		return new JobSpec(JobId.of(id), "queue", "service", TERMS, "", List.of(step));
	}

	FakeWorker workerOfLastStart() {
		return processAt(this.starts.get(this.starts.size() - 1).worker());
	}

	// Returns the process that receives what is sent to a worker, null if there is none.
	private FakeWorker processAt(WorkerInfo info) {
		return this.workers.stream()
			.filter((worker) -> worker.address().equals(info.address()))
			.findFirst()
			.orElse(null);
	}

	// Tests whether the process at the address of a worker is another one.
	private boolean isOther(WorkerInfo info) {
		return !processAt(info).id().equals(info.id());
	}

	List<JobOutcome> outcomes() {
		return this.ends.stream().map(SchedulingEffect.JobEnded::outcome).toList();
	}

	// Ticks every millisecond and carries out the orders.
	void advance(long millis) {
		for (long passed = 0; passed < millis; passed++) {
			this.nowNanos += MILLI;
			if (!this.storeAway) {
				this.unsavedChanges.forEach(this::save);
				this.unsavedChanges.clear();
			}
			List<SchedulingEffect> effects = new ArrayList<>();
			this.scheduler.tick(this.nowNanos, effects::add);
			effects.forEach(this::execute);
		}
	}

	private void execute(SchedulingEffect effect) {
		if (effect instanceof SchedulingEffect.StartRun start) {
			start(start);
		}
		else if (effect instanceof SchedulingEffect.StopRun stop) {
			boolean confirmed = !isDown(stop.worker()) && !isOther(stop.worker())
					&& processAt(stop.worker()).stop(stop, this.nowNanos);
			this.scheduler.stopAnswered(stop.worker().id(), stop.run(), confirmed, this.nowNanos);
		}
		else if (effect instanceof SchedulingEffect.PollWorker poll) {
			poll(poll);
		}
		else if (effect instanceof SchedulingEffect.SaveChange change) {
			save(change);
		}
		else if (effect instanceof SchedulingEffect.JobEnded ended) {
			this.ends.add(ended);
		}
		else if (effect instanceof SchedulingEffect.WorkerCrashed crashed) {
			this.crashes.add(crashed);
		}
		else if (effect instanceof SchedulingEffect.EntryRefuted refuted) {
			this.refutedEntries.add(refuted);
		}
	}

	private boolean isDown(WorkerInfo info) {
		FakeWorker process = processAt(info);
		return process == null || this.down.contains(process.id());
	}

	private void start(SchedulingEffect.StartRun start) {
		this.starts.add(start);
		StartAnswer answer = StartAnswer.UNKNOWN;
		if (!this.startsLost && !isDown(start.worker())) {
			answer = isOther(start.worker()) ? StartAnswer.OTHER_INCARNATION : processAt(start.worker()).start(start,
					demand(start), durationNanos(start), EndKind.DONE, this.nowNanos);
		}
		this.afterStart.run();
		this.scheduler.startAnswered(start, this.startAnswersLost ? StartAnswer.UNKNOWN : answer, this.nowNanos);
	}

	private Capacity demand(SchedulingEffect.StartRun start) {
		return this.jobs.get(start.run().task().job()).steps().get(0).demand();
	}

	private static long durationNanos(SchedulingEffect.StartRun start) {
		String job = start.run().task().job().value();
		if (job.startsWith("lasting")) {
			return LASTING_RUN_MILLIS * MILLI;
		}
		return (job.startsWith("long") ? LONG_RUN_MILLIS : RUN_MILLIS) * MILLI;
	}

	private void poll(SchedulingEffect.PollWorker poll) {
		boolean isDown = isDown(poll.worker());
		boolean isOther = !isDown && isOther(poll.worker());
		WorkerReport report = (isDown || isOther) ? null : processAt(poll.worker()).poll(poll, this.nowNanos);
		if (isDown || this.pollAnswersLost || report == null) {
			boolean answered = !isDown && !this.pollAnswersLost;
			PollFailure refusal = isOther ? PollFailure.OTHER_PROCESS : PollFailure.FENCED;
			this.scheduler.pollFailed(poll.worker().id(), poll.sequence(), poll.token(),
					answered ? refusal : PollFailure.NO_ANSWER, this.nowNanos);
			return;
		}
		this.scheduler.reported(poll.worker().id(), poll.sequence(), poll.token(), report, this.nowNanos);
	}

}
