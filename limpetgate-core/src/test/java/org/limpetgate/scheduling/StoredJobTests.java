package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.BeforeTry;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Scheduler} with stored jobs and steps of special traits.
 */
class StoredJobTests {

	private static final HostId HOST = HostId.of("10.0.0.1:1");

	private static final long MILLI = 1_000_000;

	private final List<SchedulingEffect> effects = new ArrayList<>();

	private final List<RunId> endedRuns = new ArrayList<>();

	private Scheduler scheduler;

	private long now;

	private long endNumber;

	@BeforeTry
	void reset() {
		this.effects.clear();
		this.endedRuns.clear();
		this.endNumber = 0;
		this.now = TimeUnit.DAYS.toNanos(21_000);
		this.scheduler = Scheduler.of(SchedulerSettings.of(7, 1000, 50, 2));
	}

	// --- stored jobs

	/** Guards against work for a job that may turn out not to be stored. */
	@Example
	void startsWhenTheAcceptanceIsSaved() {
		activate("w1");
		submit("1", step(1));
		assertThat(starts()).isEmpty();
		save();
		assertThat(starts()).hasSize(1);
	}

	/** Guards against an end that is forgotten by its worker before it is saved. */
	@Example
	void endsAreAcknowledgedWhenTheyAreSaved() {
		activate("w1");
		submit("1", step(2));
		save();
		end(0, EndKind.DONE);
		pass(20);
		assertThat(lastPoll().ackNumber()).isZero();
		save();
		RunId done = starts().get(0).run();
		report(lastPoll(), List.of(starts().get(1).run()), List.of(new WorkerReport.Ended(1, done, EndKind.DONE, "")));
		pass(20);
		assertThat(lastPoll().ackNumber()).isEqualTo(1);
	}

	/** Guards against a job that is shown as completed and then begins anew. */
	@Example
	void aJobIsShownAsCompletedWhenThatIsSaved() {
		activate("w1");
		submit("1", step(1));
		save();
		end(0, EndKind.DONE);
		assertThat(this.scheduler.state(JobId.of("1"))).contains(JobState.RUNNING);
		save();
		assertThat(this.scheduler.state(JobId.of("1"))).contains(JobState.COMPLETED);
	}

	/** Guards against a stored job that ends with the host that took it. */
	@Example
	void aStoredJobOutlivesItsHost() {
		activate("w1");
		submit("1", step(1));
		save();
		this.scheduler.hostLost(HOST, this.now);
		tick();
		assertThat(all(SchedulingEffect.StopRun.class)).isEmpty();
	}

	/** Guards against a second run of what an earlier scheduler has seen done. */
	@Example
	void savedProgressIsNotRepeated() {
		activate("w1");
		StoredChange.Progressed saved = firstTaskDone();
		Scheduler next = Scheduler.of(SchedulerSettings.of(8, 1000, 50, 2));
		List<SchedulingEffect> after = new ArrayList<>();
		next.workersListed(List.of(worker("w1")), true, this.now);
		next.activate(FencingToken.draw(this.now, 8, FencingToken.NONE), this.now);
		next.storedJobsRead(
				List.of(new StoredJob(JobId.of("1"), spec("1", step(2)), this.now / MILLI, saved.progress())),
				this.now);
		next.tick(this.now, after::add);
		SchedulingEffect.PollWorker poll = (SchedulingEffect.PollWorker) after.get(after.size() - 1);
		next.reported(poll.worker().id(), poll.sequence(), poll.token(),
				new WorkerReport(1, 1000, List.of(), List.of()), this.now);
		this.now += 4000 * MILLI;
		next.tick(this.now, after::add);
		List<RunId> started = after.stream()
			.filter(SchedulingEffect.StartRun.class::isInstance)
			.map((effect) -> ((SchedulingEffect.StartRun) effect).run())
			.toList();
		assertThat(started).extracting((run) -> run.task().index()).containsExactly(1);
	}

	private StoredChange.Progressed firstTaskDone() {
		submit("1", step(2));
		save();
		end(0, EndKind.DONE);
		List<SchedulingEffect.SaveChange> changes = all(SchedulingEffect.SaveChange.class);
		return (StoredChange.Progressed) changes.get(changes.size() - 1).change();
	}

	/**
	 * Guards against an end that is lost because it was listed before the stored jobs
	 * were read.
	 */
	@Example
	void anEndThatIsListedBeforeTheJobsAreReadCounts() {
		this.scheduler.workersListed(List.of(worker("w1")), true, this.now);
		this.scheduler.activate(FencingToken.draw(this.now, 7, FencingToken.NONE), this.now);
		tick();
		RunId run = new RunId(new TaskName(JobId.of("1"), 0, 0, 0), 4);
		report(lastPoll(), List.of(), List.of(new WorkerReport.Ended(1, run, EndKind.DONE, "")));
		assertThat(lastPoll().ackNumber()).isZero();
		this.scheduler.storedJobsRead(
				List.of(new StoredJob(JobId.of("1"), spec("1", step(1)), this.now / MILLI, JobProgress.NONE)),
				this.now);
		tick();
		save();
		assertThat(this.scheduler.state(JobId.of("1"))).contains(JobState.COMPLETED);
		assertThat(starts()).isEmpty();
	}

	/**
	 * Guards against a host that spends all its time on reports that repeat the same ends
	 * while the store is away.
	 */
	@Example
	void workersWithUnclaimedEndsArePolledSlowly() {
		this.scheduler.workersListed(List.of(worker("w1")), true, this.now);
		this.scheduler.activate(FencingToken.draw(this.now, 7, FencingToken.NONE), this.now);
		tick();
		RunId unknown = new RunId(new TaskName(JobId.of("u"), 0, 0, 0), 1);
		List<WorkerReport.Ended> ends = List.of(new WorkerReport.Ended(1, unknown, EndKind.DONE, ""));
		report(lastPoll(), List.of(new RunId(new TaskName(JobId.of("v"), 0, 0, 0), 1)), ends);
		int polls = all(SchedulingEffect.PollWorker.class).size();
		pass(20);
		pass(19);
		assertThat(all(SchedulingEffect.PollWorker.class)).hasSize(polls);
		pass(12);
		assertThat(all(SchedulingEffect.PollWorker.class)).hasSize(polls + 1);
	}

	/**
	 * Guards against a second run of a task on whose worker another scheduler goes on
	 * renewing the lease, and against a job that waits for a lost worker for ever.
	 */
	@Example
	void aWorkerOutOfReachHoldsBackWhatAnEarlierSchedulerMayHaveStarted() {
		activate("w1", "w2");
		this.scheduler.storedJobsLost(this.now);
		this.scheduler.storedJobsRead(
				List.of(new StoredJob(JobId.of("1"), spec("1", step(1)), this.now / MILLI, JobProgress.NONE)),
				this.now);
		tick();
		SchedulingEffect.PollWorker reached = all(SchedulingEffect.PollWorker.class).stream()
			.filter((poll) -> poll.worker().id().value().equals("w1"))
			.findFirst()
			.orElseThrow();
		report(reached, List.of(), List.of());
		pass(5000);
		assertThat(starts()).isEmpty();
		pass(5100);
		assertThat(starts()).hasSize(1);
	}

	/**
	 * Guards against a second run of a task whose worker another scheduler has taken
	 * over, renewing its lease, and against a task that waits for a worker that has
	 * crashed.
	 */
	@Example
	void aRunOnAContestedWorkerIsNotTakenForLostWhenItsLeaseShouldHaveEnded() {
		activate("w1", "w2");
		submit("1", step(1));
		save();
		SchedulingEffect.StartRun start = starts().get(0);
		this.scheduler.startAnswered(start.worker().id(), start.run(), StartAnswer.STARTED, this.now);
		SchedulingEffect.PollWorker poll = pollOf(start.worker().id());
		this.scheduler.pollFailed(poll.worker().id(), poll.sequence(), poll.token(), PollFailure.NO_ANSWER, this.now);
		pass(1500);
		pass(1500);
		assertThat(starts()).hasSize(1);
		this.scheduler.contested(false);
		pass(20);
		assertThat(starts()).hasSize(2);
	}

	private SchedulingEffect.PollWorker pollOf(UpstreamId worker) {
		return all(SchedulingEffect.PollWorker.class).stream()
			.filter((sent) -> sent.worker().id().equals(worker))
			.reduce((first, second) -> second)
			.orElseThrow();
	}

	/** Guards against two schedulers that run the tasks of the same job. */
	@Example
	void runsAreStoppedWhenTheJobsAreGivenUp() {
		activate("w1");
		submit("1", step(1));
		save();
		this.scheduler.storedJobsLost(this.now);
		tick();
		assertThat(all(SchedulingEffect.StopRun.class)).hasSize(1);
		end(0, EndKind.DONE);
		pass(40);
		assertThat(lastPoll().ackNumber()).isZero();
	}

	/**
	 * Replays a load of small jobs that would use up all room in which a large task of an
	 * overdue job could start.
	 */
	@Example
	void aLargeTaskIsNotStarvedBySmallOnes() {
		activate("w1", "w2");
		IntStream.range(0, 8).forEach((number) -> submit("s" + number, small(1)));
		submit("large", new StepSpec(1, new Capacity(15_000, 64, 0), 100 * MILLI, List.of(), "", "", 0));
		save();
		int next = 8;
		for (int round = 0; round < 40 && !isStarted("large"); round++) {
			pass(200);
			List<SchedulingEffect.StartRun> started = starts();
			end(started.get(Math.min(round, started.size() - 1)).run(), EndKind.DONE);
			submit("s" + next++, small(1));
			save();
		}
		assertThat(isStarted("large")).isTrue();
	}

	private boolean isStarted(String job) {
		return starts().stream().anyMatch((start) -> start.run().task().job().value().equals(job));
	}

	/** Guards against an ended job that is remembered for ever. */
	@Example
	void endedJobsAreForgottenAfterTheirRetention() {
		activate("w1");
		submit("1", step(1));
		save();
		this.scheduler.cancel(JobId.of("1"), this.now);
		tick();
		save();
		assertThat(this.scheduler.state(JobId.of("1"))).contains(JobState.CANCELED);
		this.now += TimeUnit.SECONDS.toNanos(121);
		tick();
		assertThat(this.scheduler.state(JobId.of("1"))).isEmpty();
		List<SchedulingEffect.SaveChange> changes = all(SchedulingEffect.SaveChange.class);
		assertThat(changes.get(changes.size() - 1).change()).isInstanceOf(StoredChange.Forgotten.class);
	}

	// --- gangs

	/** Guards against members of a gang that wait for others that have no room. */
	@Example
	void aGangStartsWholeOrNotAtAll() {
		activate("w1");
		submit("1", gang(3));
		save();
		assertThat(starts()).isEmpty();
		this.scheduler.workersListed(List.of(worker("w1"), worker("w2")), true, this.now);
		tick();
		report(lastPoll(), List.of(), List.of());
		assertThat(starts()).hasSize(3);
		assertThat(starts()).extracting((start) -> start.run().attempt()).containsOnly(1);
	}

	/** Guards against a gang whose members run under different attempts. */
	@Example
	void aGangStartsAgainWithOneAttemptAndCheckpoint() {
		activate("w1");
		submit("1", gang(2));
		save();
		List<RunId> members = starts().stream().map(SchedulingEffect.StartRun::run).toList();
		report(lastPoll(), List.of(members.get(1)),
				List.of(new WorkerReport.Ended(1, members.get(0), EndKind.FAILED, "cp")));
		assertThat(all(SchedulingEffect.StopRun.class)).extracting(SchedulingEffect.StopRun::run)
			.containsExactly(members.get(1));
		assertThat(starts()).hasSize(2);
		save();
		pass(20);
		report(lastPoll(), List.of(), List.of(new WorkerReport.Ended(2, members.get(1), EndKind.BROKEN, "")));
		assertThat(starts()).hasSize(4);
		assertThat(starts().subList(2, 4)).allSatisfy((start) -> {
			assertThat(start.run().attempt()).isEqualTo(2);
			assertThat(start.checkpoint()).isEqualTo("cp");
		});
	}

	/** Guards against a gang that runs again for members whose end is not listed yet. */
	@Example
	void oneEndRepresentsTheGang() {
		activate("w1");
		submit("1", gang(2));
		save();
		end(0, EndKind.DONE);
		save();
		assertThat(this.scheduler.state(JobId.of("1"))).contains(JobState.COMPLETED);
	}

	// --- perpetual tasks and tasks that fill

	/**
	 * Guards against a perpetual task that stays away, and against one that uses up a
	 * budget.
	 */
	@Example
	void perpetualTasksAreRestartedHoweverTheyEnd() {
		activate("w1");
		submit("1", traits(StepTrait.PERPETUAL));
		save();
		for (EndKind kind : List.of(EndKind.FAILED, EndKind.DONE, EndKind.FAILED, EndKind.LAPSED, EndKind.FAILED)) {
			int before = starts().size();
			end(starts().get(before - 1).run(), kind);
			pass(2000);
			assertThat(starts()).hasSize(before + 1);
		}
		assertThat(this.scheduler.state(JobId.of("1"))).contains(JobState.RUNNING);
	}

	/** Guards against users whose answers are slowed down by work that could wait. */
	@Example
	void tasksThatFillAreKeptAwayFromThoseThatServe() {
		activate("w1", "w2");
		submit("1", new StepSpec(1, new Capacity(1000, 64, 0), 100 * MILLI, List.of(), "", "", 0, 40, Set.of()));
		save();
		submit("2", new StepSpec(4, new Capacity(0, 64, 0), 100 * MILLI, List.of(), "", "", 0, 0,
				Set.of(StepTrait.FILLER)));
		save();
		UpstreamId serving = starts().get(0).worker().id();
		assertThat(starts()).hasSize(5);
		assertThat(starts().subList(1, 5)).noneMatch((start) -> start.worker().id().equals(serving));
	}

	// --- helpers

	private void activate(String... workers) {
		this.scheduler.workersListed(List.of(workers).stream().map(this::worker).toList(), true, this.now);
		this.scheduler.activate(FencingToken.draw(this.now, 7, FencingToken.NONE), this.now);
		answerPolls();
		this.scheduler.storedJobsRead(List.of(), this.now);
		answerPolls();
	}

	private void answerPolls() {
		tick();
		List<SchedulingEffect.PollWorker> polls = all(SchedulingEffect.PollWorker.class);
		this.effects.clear();
		polls.forEach((poll) -> report(poll, List.of(), List.of()));
		this.effects.clear();
	}

	private WorkerInfo worker(String id) {
		return new WorkerInfo(UpstreamId.of(id), 1, "service", InetSocketAddress.createUnresolved("w", 1),
				DataCentreId.of("dc"), FakeWorker.CAPACITY, Set.of("a"), false);
	}

	private static StepSpec step(int count) {
		return new StepSpec(count, new Capacity(6_800, 64, 0), 100 * MILLI, List.of(), "", "", 0);
	}

	private static StepSpec small(int count) {
		return new StepSpec(count, new Capacity(4_000, 64, 0), 100 * MILLI, List.of(), "", "", 0);
	}

	private static StepSpec traits(StepTrait... traits) {
		return new StepSpec(1, new Capacity(6_800, 64, 0), 100 * MILLI, List.of(), "", "", 0, 0, Set.of(traits));
	}

	private static StepSpec gang(int count) {
		return new StepSpec(count, new Capacity(6_800, 64, 0), 100 * MILLI, List.of(), "", "", 0, 0,
				Set.of(StepTrait.GANG, StepTrait.CHECKPOINTED));
	}

	private static JobSpec spec(String id, StepSpec step) {
		return new JobSpec(JobId.of(id), "q", "service", new QueueTerms(0, 2, 1.6, 60 * MILLI), "payload",
				List.of(step), true);
	}

	private void submit(String id, StepSpec step) {
		this.scheduler.submit(HOST, spec(id, step), 0, TimeUnit.SECONDS.toNanos(5), false, this.now);
		tick();
	}

	// Reports all changes as saved.
	private void save() {
		List<SchedulingEffect.SaveChange> changes = all(SchedulingEffect.SaveChange.class);
		this.scheduler.changesSaved(changes.get(changes.size() - 1).sequence(), this.now);
		tick();
	}

	private void end(int start, EndKind kind) {
		end(starts().get(start).run(), kind);
	}

	// Lists the end of a run at its worker, with the others still present.
	private void end(RunId run, EndKind kind) {
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

	private void report(SchedulingEffect.PollWorker poll, List<RunId> running, List<WorkerReport.Ended> ended) {
		this.now += MILLI;
		this.scheduler.reported(
				poll.worker().id(), poll.sequence(), poll.token(), new WorkerReport(1, 1000,
						running.stream().map((run) -> new WorkerReport.Running(run, 10, "")).toList(), ended),
				this.now);
		tick();
	}

	private void pass(long millis) {
		this.now += millis * MILLI;
		tick();
	}

	private void tick() {
		this.scheduler.tick(this.now, this.effects::add);
	}

	private SchedulingEffect.PollWorker lastPoll() {
		List<SchedulingEffect.PollWorker> polls = all(SchedulingEffect.PollWorker.class);
		return polls.get(polls.size() - 1);
	}

	private List<SchedulingEffect.StartRun> starts() {
		return all(SchedulingEffect.StartRun.class);
	}

	private <T extends SchedulingEffect> List<T> all(Class<T> type) {
		return this.effects.stream().filter(type::isInstance).map(type::cast).toList();
	}

}
