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
 * A scheduler, its effects so far and the current time, for tests that report single
 * answers and check the resulting orders.
 * <p>
 * Invariant: each try begins with a new scheduler and without effects. Not thread-safe.
 */
abstract class SchedulerFixture {

	static final HostId HOST = HostId.of("10.0.0.1:1");

	static final long MILLI = 1_000_000;

	final List<SchedulingEffect> effects = new ArrayList<>();

	Scheduler scheduler;

	long nowNanos;

	long incarnationMillis;

	@BeforeTry
	void reset() {
		this.effects.clear();
		this.nowNanos = TimeUnit.DAYS.toNanos(21_000);
		this.incarnationMillis = this.nowNanos / MILLI - 60_000;
		this.scheduler = Scheduler.of(SchedulerSettings.of(7, 1000, 50, 2));
	}

	SchedulingEffect.StartRun lastStart() {
		List<SchedulingEffect.StartRun> starts = effectsOf(SchedulingEffect.StartRun.class);
		return starts.get(starts.size() - 1);
	}

	void activate(String... workers) {
		this.scheduler.workersListed(List.of(workers).stream().map(this::worker).toList(), true, this.nowNanos);
		this.scheduler.activate(newToken(), this.nowNanos);
		tick();
		polls().forEach((poll) -> report(poll, List.of(), List.of()));
		this.effects.clear();
	}

	FencingToken newToken() {
		return FencingToken.create(this.nowNanos, 7, FencingToken.NONE);
	}

	WorkerInfo worker(String id) {
		return new WorkerInfo(UpstreamId.of(id), this.incarnationMillis, "service",
				InetSocketAddress.createUnresolved("w", 1), DataCentreId.of("dc"), FakeWorker.CAPACITY, Set.of("a"),
				false);
	}

	static QueueTerms terms() {
		return new QueueTerms(0, 2, 1.6, 60 * MILLI);
	}

	static StepSpec step(int count, List<Integer> after) {
		return new StepSpec(count, new Capacity(6_800, 64, 0), 100 * MILLI, after, "", "", 0);
	}

	static JobSpec job(String id, int tasks) {
		return new JobSpec(JobId.of(id), "q", "service", terms(), "payload", List.of(step(tasks, List.of())));
	}

	void submit(String id, int tasks, boolean resubmitted) {
		this.scheduler.submit(HOST, job(id, tasks), 0, TimeUnit.SECONDS.toNanos(5),
				resubmitted ? EarlierSubmission.heldFor(0) : EarlierSubmission.NONE, this.nowNanos);
	}

	static RunId run(String job, int attempt) {
		return new RunId(new TaskName(JobId.of(job), 0, 0, 0), attempt);
	}

	static WorkerReport.Ended end(long number, RunId run, EndKind kind) {
		return new WorkerReport.Ended(number, run, kind, "");
	}

	void report(SchedulingEffect.PollWorker poll, List<RunId> running, List<WorkerReport.Ended> ended) {
		this.nowNanos += MILLI;
		this.scheduler.reported(poll.worker().id(), poll.sequence(), poll.token(),
				new WorkerReport(this.incarnationMillis, 1000,
						running.stream().map((run) -> new WorkerReport.Running(run, 10, "")).toList(), ended),
				this.nowNanos);
		tick();
	}

	RunId confirmStart(SchedulingEffect.StartRun start) {
		this.scheduler.startAnswered(start, StartAnswer.STARTED, this.nowNanos);
		return start.run();
	}

	void advance(long millis) {
		this.nowNanos += millis * MILLI;
		tick();
	}

	void tick() {
		this.scheduler.tick(this.nowNanos, this.effects::add);
	}

	<T extends SchedulingEffect> List<T> effectsOf(Class<T> type) {
		return this.effects.stream().filter(type::isInstance).map(type::cast).toList();
	}

	List<SchedulingEffect.PollWorker> polls() {
		return effectsOf(SchedulingEffect.PollWorker.class);
	}

	SchedulingEffect.PollWorker lastPoll() {
		return polls().get(polls().size() - 1);
	}

}
