package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.BeforeTry;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link SilentDataCentres} through the orders of a {@link Scheduler} with two
 * data centres of four workers each. Each job runs at most one task on a worker.
 */
class SilentDataCentresTests {

	private static final long MILLI = 1_000_000;

	private static final int WORKERS = 4;

	private final List<SchedulingEffect> effects = new ArrayList<>();

	private final List<SchedulingEffect.StartRun> unanswered = new ArrayList<>();

	private Scheduler scheduler;

	private long nowNanos;

	@BeforeTry
	void reset() {
		this.effects.clear();
		this.unanswered.clear();
		this.nowNanos = TimeUnit.DAYS.toNanos(21_000);
		start(true);
	}

	private void start(boolean detection) {
		this.scheduler = Scheduler.of(SchedulerSettings.of(7, 1000, 50, 2).withSilentDataCentreDetection(detection));
		List<WorkerInfo> workers = new ArrayList<>();
		for (String dataCentre : List.of("a", "b")) {
			IntStream.range(0, WORKERS).forEach((number) -> workers.add(worker(dataCentre, number)));
		}
		this.scheduler.workersListed(workers, true, this.nowNanos);
		this.scheduler.activate(FencingToken.create(this.nowNanos, 7, FencingToken.NONE), this.nowNanos);
		tick();
		answerPolls((dataCentre) -> true);
	}

	/**
	 * Guards against jobs that place tasks in a data centre that was just cut off, until
	 * the orders to each of its workers have timed out.
	 */
	@Example
	void silentDataCentreGetsNoNewRuns() {
		submit("1", 2 * WORKERS);
		advance(70, "a"::equals);
		assertThat(silences()).extracting(SchedulingEffect.DataCentreSilent::silent).containsExactly(true);
		this.effects.clear();
		submit("2", 2 * WORKERS);
		assertThat(startedIn()).isNotEmpty().containsOnly("a");
	}

	/** Guards against a healed data centre that stays unused. */
	@Example
	void dataCentreIsUsedAgainAfterOneAnswer() {
		submit("1", 2 * WORKERS);
		advance(70, "a"::equals);
		advance(10, (dataCentre) -> true);
		this.effects.clear();
		submit("2", 2 * WORKERS);
		assertThat(startedIn()).contains("b");
	}

	/**
	 * Guards against a data centre that stays unused because none of its workers has an
	 * order that it could answer.
	 */
	@Example
	void someWorkersOfASilentDataCentreArePolled() {
		submit("1", 2 * WORKERS);
		this.effects.clear();
		advance(70, "a"::equals);
		assertThat(polledIn("b")).isBetween(1L, 3L);
		this.effects.clear();
		advance(210, "a"::equals);
		assertThat(polledIn("b")).isPositive();
	}

	/** Guards against a host that suspects its workers because it stalled itself. */
	@Example
	void noDataCentreIsSuspectedWhenAllAreSilent() {
		submit("1", 2 * WORKERS);
		advance(140, (dataCentre) -> false);
		assertThat(silences()).isEmpty();
	}

	/** Guards against one hanging worker that takes its data centre out of use. */
	@Example
	void singleSilentWorkerDoesNotMakeItsDataCentreSilent() {
		submit("1", 2 * WORKERS);
		this.unanswered.removeIf((start) -> {
			boolean answers = !start.worker().id().value().equals("b0");
			if (answers) {
				this.scheduler.startAnswered(start, StartAnswer.STARTED, this.nowNanos);
			}
			return answers;
		});
		advance(70, "a"::equals);
		assertThat(silences()).isEmpty();
	}

	/**
	 * Guards against several hanging workers that take their data centre out of use while
	 * it has little other work.
	 */
	@Example
	void workersThatHaveHungForLongDoNotMakeTheirDataCentreSilent() {
		submit("1", 2 * WORKERS);
		SchedulingEffect.StartRun late = startOn("a3");
		List.of("a3", "b0", "b1", "b2").forEach(this::hang);
		advance(150, (dataCentre) -> true);
		answerPolls("b"::equals);
		this.effects.removeIf(SchedulingEffect.DataCentreSilent.class::isInstance);
		advance(100, (dataCentre) -> true);
		this.scheduler.startAnswered(late, StartAnswer.STARTED, this.nowNanos);
		advance(20, (dataCentre) -> true);
		assertThat(silences()).isEmpty();
	}

	private SchedulingEffect.StartRun startOn(String worker) {
		return this.unanswered.stream()
			.filter((start) -> start.worker().id().value().equals(worker))
			.findFirst()
			.orElseThrow();
	}

	// Lets a worker answer no order any more.
	private void hang(String worker) {
		this.unanswered.removeIf((start) -> start.worker().id().value().equals(worker));
	}

	/** Guards against a change for deployments that have not chosen the detection. */
	@Example
	void withoutTheSettingNoDataCentreIsSuspected() {
		start(false);
		this.effects.clear();
		this.unanswered.clear();
		submit("1", 2 * WORKERS);
		advance(70, "a"::equals);
		assertThat(silences()).isEmpty();
	}

	/** Guards against a suspicion of an earlier activation. */
	@Example
	void newActivationSuspectsNoDataCentre() {
		submit("1", 2 * WORKERS);
		advance(70, "a"::equals);
		this.scheduler.deactivate();
		this.unanswered.clear();
		this.effects.clear();
		this.scheduler.activate(FencingToken.create(this.nowNanos, 7, FencingToken.NONE), this.nowNanos);
		tick();
		answerPolls((dataCentre) -> true);
		submit("2", 2 * WORKERS);
		assertThat(startedIn()).contains("b");
	}

	private static WorkerInfo worker(String dataCentre, int number) {
		return new WorkerInfo(UpstreamId.of(dataCentre + number), 1, "service",
				InetSocketAddress.createUnresolved("w", 1), DataCentreId.of(dataCentre), new Capacity(16_000, 8_000, 0),
				Set.of("kind"), false);
	}

	private void submit(String id, int tasks) {
		StepSpec step = new StepSpec(tasks, new Capacity(8_000, 64, 0), 500 * MILLI, List.of(), "", "", 1);
		JobSpec job = new JobSpec(JobId.of(id), "q", "service", new QueueTerms(0, 2, 1.6, 60 * MILLI), "",
				List.of(step));
		this.scheduler.submit(HostId.of("10.0.0.1:1"), job, 0, TimeUnit.SECONDS.toNanos(5), EarlierSubmission.NONE,
				this.nowNanos);
		tick();
	}

	// Lets time pass in steps of two scans, in each of which one start is answered in
	// each data centre that answers.
	private void advance(long millis, Predicate<String> answers) {
		for (long passed = 0; passed < millis; passed += 10) {
			this.nowNanos += 10 * MILLI;
			if (passed % 20 == 0) {
				List.of("a", "b").stream().filter(answers).forEach(this::answerOneStart);
			}
			tick();
		}
	}

	private void answerOneStart(String dataCentre) {
		this.unanswered.stream()
			.filter((start) -> start.worker().dataCentre().value().equals(dataCentre))
			.findFirst()
			.ifPresent((start) -> {
				this.unanswered.remove(start);
				this.scheduler.startAnswered(start, StartAnswer.STARTED, this.nowNanos);
			});
	}

	private void answerPolls(Predicate<String> answers) {
		List<SchedulingEffect.PollWorker> polls = effectsOf(SchedulingEffect.PollWorker.class);
		this.effects.removeIf((effect) -> effect instanceof SchedulingEffect.PollWorker poll
				&& answers.test(poll.worker().dataCentre().value()));
		for (SchedulingEffect.PollWorker poll : polls) {
			if (answers.test(poll.worker().dataCentre().value())) {
				this.scheduler.reported(poll.worker().id(), poll.sequence(), poll.token(),
						new WorkerReport(1, 1000, List.of(), List.of()), this.nowNanos);
			}
		}
		tick();
	}

	private void tick() {
		List<SchedulingEffect> emitted = new ArrayList<>();
		this.scheduler.tick(this.nowNanos, emitted::add);
		this.effects.addAll(emitted);
		emitted.stream()
			.filter(SchedulingEffect.StartRun.class::isInstance)
			.map(SchedulingEffect.StartRun.class::cast)
			.forEach(this.unanswered::add);
	}

	private <T extends SchedulingEffect> List<T> effectsOf(Class<T> type) {
		return this.effects.stream().filter(type::isInstance).map(type::cast).toList();
	}

	private List<SchedulingEffect.DataCentreSilent> silences() {
		return effectsOf(SchedulingEffect.DataCentreSilent.class);
	}

	private List<String> startedIn() {
		return effectsOf(SchedulingEffect.StartRun.class).stream()
			.map((start) -> start.worker().dataCentre().value())
			.toList();
	}

	private long polledIn(String dataCentre) {
		return effectsOf(SchedulingEffect.PollWorker.class).stream()
			.filter((poll) -> poll.worker().dataCentre().value().equals(dataCentre))
			.count();
	}

}
