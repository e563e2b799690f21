package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.lifecycle.BeforeTry;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

/**
 * A scheduler of stored jobs, its effects so far and the current time.
 * <p>
 * Invariants: each try begins with a new scheduler and without effects; an ended run is
 * not reported as running. Not thread-safe.
 */
abstract class StoredJobFixture {

	static final HostId HOST = HostId.of("10.0.0.1:1");

	static final long MILLI = 1_000_000;

	final List<SchedulingEffect> effects = new ArrayList<>();

	final List<RunId> endedRuns = new ArrayList<>();

	Scheduler scheduler;

	long nowNanos;

	long endNumber;

	@BeforeTry
	void reset() {
		this.effects.clear();
		this.endedRuns.clear();
		this.endNumber = 0;
		this.nowNanos = TimeUnit.DAYS.toNanos(21_000);
		this.scheduler = Scheduler.of(SchedulerSettings.of(7, 1000, 50, 2));
	}

	SchedulingEffect.PollWorker pollOf(UpstreamId worker) {
		return effectsOf(SchedulingEffect.PollWorker.class).stream()
			.filter((sent) -> sent.worker().id().equals(worker))
			.reduce((first, second) -> second)
			.orElseThrow();
	}

	void activate(String... workers) {
		this.scheduler.workersListed(List.of(workers).stream().map(this::worker).toList(), true, this.nowNanos);
		this.scheduler.activate(FencingToken.create(this.nowNanos, 7, FencingToken.NONE), this.nowNanos);
		answerPolls();
		this.scheduler.loadStoredJobs(new StoredSnapshot(List.of(), List.of()), this.nowNanos);
		answerPolls();
	}

	void answerPolls() {
		tick();
		List<SchedulingEffect.PollWorker> polls = effectsOf(SchedulingEffect.PollWorker.class);
		this.effects.clear();
		polls.forEach((poll) -> report(poll, List.of(), List.of()));
		this.effects.clear();
	}

	WorkerInfo worker(String id) {
		return worker(id, FakeWorker.CAPACITY);
	}

	WorkerInfo worker(String id, Capacity capacity) {
		return new WorkerInfo(UpstreamId.of(id), 1, "service", InetSocketAddress.createUnresolved("w", 1),
				DataCentreId.of("dc"), capacity, Set.of("a"), false);
	}

	static StepSpec gangStep(int count) {
		return new StepSpec(count, new Capacity(6_800, 64, 0), 100 * MILLI, List.of(), "", "", 0, 0,
				Set.of(StepTrait.GANG, StepTrait.CHECKPOINTED));
	}

	static JobSpec spec(String id, StepSpec step) {
		return new JobSpec(JobId.of(id), "q", "service", new QueueTerms(0, 2, 1.6, 60 * MILLI), "payload",
				List.of(step), true);
	}

	void submit(String id, StepSpec step) {
		this.scheduler.submit(HOST, spec(id, step), 0, TimeUnit.SECONDS.toNanos(5), EarlierSubmission.NONE,
				this.nowNanos);
		tick();
	}

	// Reports all changes as saved.
	void save() {
		List<SchedulingEffect.SaveChange> changes = effectsOf(SchedulingEffect.SaveChange.class);
		this.scheduler.changesSaved(changes.get(changes.size() - 1).sequence(), this.nowNanos);
		tick();
	}

	void reportEnd(int start, EndKind kind) {
		reportEnd(starts().get(start).run(), kind);
	}

	// Reports the end of a run from its worker, with the worker's other runs still
	// present.
	void reportEnd(RunId run, EndKind kind) {
		UpstreamId worker = starts().stream()
			.filter((start) -> start.run().equals(run))
			.findFirst()
			.orElseThrow()
			.worker()
			.id();
		SchedulingEffect.PollWorker poll = pollOf(worker);
		List<RunId> others = starts().stream()
			.filter((start) -> start.worker().id().equals(worker))
			.map(SchedulingEffect.StartRun::run)
			.filter((other) -> !other.equals(run) && !this.endedRuns.contains(other))
			.toList();
		this.endedRuns.add(run);
		this.endNumber++;
		report(poll, others, List.of(new WorkerReport.Ended(this.endNumber, run, kind, "")));
	}

	void report(SchedulingEffect.PollWorker poll, List<RunId> running, List<WorkerReport.Ended> ended) {
		this.nowNanos += MILLI;
		this.scheduler.reported(
				poll.worker().id(), poll.sequence(), poll.token(), new WorkerReport(1, 1000,
						running.stream().map((run) -> new WorkerReport.Running(run, 10, "")).toList(), ended),
				this.nowNanos);
		tick();
	}

	void advance(long millis) {
		this.nowNanos += millis * MILLI;
		tick();
	}

	void tick() {
		this.scheduler.tick(this.nowNanos, this.effects::add);
	}

	SchedulingEffect.PollWorker lastPoll() {
		List<SchedulingEffect.PollWorker> polls = effectsOf(SchedulingEffect.PollWorker.class);
		return polls.get(polls.size() - 1);
	}

	List<SchedulingEffect.StartRun> starts() {
		return effectsOf(SchedulingEffect.StartRun.class);
	}

	<T extends SchedulingEffect> List<T> effectsOf(Class<T> type) {
		return this.effects.stream().filter(type::isInstance).map(type::cast).toList();
	}

}
