package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.BeforeTry;
import org.limpetgate.HostId;
import org.limpetgate.JobId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of answers to orders that arrive after the scheduler has lost the worker or has
 * been activated again.
 */
class LateAnswerTests {

	private static final long MILLI = 1_000_000;

	private final List<SchedulingEffect> effects = new ArrayList<>();

	private Scheduler scheduler;

	private FakeWorker worker;

	private long nowNanos;

	@BeforeTry
	void reset() {
		this.effects.clear();
		this.nowNanos = TimeUnit.DAYS.toNanos(21_000);
		this.worker = new FakeWorker("w1", this.nowNanos, 1, new RunChecks(List.of(), (job, text) -> {
		}));
		this.scheduler = Scheduler.of(SchedulerSettings.of(7, 1000, 50, 2));
		this.scheduler.workersListed(List.of(this.worker.info()), true, this.nowNanos);
		activate();
		tick();
	}

	/**
	 * Guards against a scheduler that owns a worker under the token of its earlier
	 * activation, which fences no scheduler that was active since.
	 */
	@Example
	void answerToAPollOfTheEarlierActivationDoesNotCompleteATakeover() {
		SchedulingEffect.PollWorker earlier = lastPoll();
		this.scheduler.deactivate();
		this.nowNanos += 300 * MILLI;
		FencingToken token = activate();
		answer(earlier);
		submit("1");
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).isEmpty();
		assertThat(lastPoll().token()).isGreaterThanOrEqualTo(token);
		answer(lastPoll());
		tick();
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(1)
			.allMatch((start) -> start.token().compareTo(token) >= 0);
	}

	/**
	 * Guards against a scheduler that orders starts on a worker that another one has just
	 * taken over, since a poll from before is answered.
	 */
	@Example
	void answerToAnEarlierPollDoesNotTakeAFencedWorkerBack() {
		answer(lastPoll());
		submit("1");
		SchedulingEffect.StartRun start = effectsOf(SchedulingEffect.StartRun.class).get(0);
		SchedulingEffect.PollWorker pending = lastPoll();
		this.scheduler.startAnswered(start, StartAnswer.FENCED, this.nowNanos);
		answer(pending);
		submit("2");
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(1);
	}

	/**
	 * Guards against a second run because the answer to a start of the earlier activation
	 * is taken for that of the present one, which has the same attempt number.
	 */
	@Example
	void answerToAStartOfTheEarlierActivationDoesNotEndARun() {
		answer(lastPoll());
		submit("1");
		SchedulingEffect.StartRun earlier = effectsOf(SchedulingEffect.StartRun.class).get(0);
		this.scheduler.deactivate();
		this.effects.clear();
		this.nowNanos += 50 * MILLI;
		activate();
		tick();
		answer(lastPoll());
		submit("1");
		SchedulingEffect.StartRun start = effectsOf(SchedulingEffect.StartRun.class).get(0);
		assertThat(start.run()).isEqualTo(earlier.run());
		this.scheduler.startAnswered(earlier, StartAnswer.NOT_SENT, this.nowNanos);
		tick();
		assertThat(effectsOf(SchedulingEffect.StartRun.class)).hasSize(1);
	}

	private FencingToken activate() {
		FencingToken token = FencingToken.create(this.nowNanos, 7, FencingToken.NONE);
		this.scheduler.activate(token, this.nowNanos);
		return token;
	}

	private void submit(String id) {
		StepSpec step = new StepSpec(1, new Capacity(1000, 64, 0), 100 * MILLI, List.of(), "", "", 0);
		JobSpec job = new JobSpec(JobId.of(id), "queue", "service",
				new QueueTerms(0, 3, 3, TimeUnit.SECONDS.toNanos(30)), "", List.of(step));
		this.scheduler.submit(HostId.of("10.0.0.1:1"), job, 0, TimeUnit.SECONDS.toNanos(30), EarlierSubmission.NONE,
				this.nowNanos);
		tick();
	}

	private void answer(SchedulingEffect.PollWorker poll) {
		this.nowNanos += MILLI;
		this.scheduler.reported(this.worker.id(), poll.sequence(), poll.token(), this.worker.report(this.nowNanos),
				this.nowNanos);
	}

	private void tick() {
		this.nowNanos += MILLI;
		this.scheduler.tick(this.nowNanos, this.effects::add);
	}

	private SchedulingEffect.PollWorker lastPoll() {
		List<SchedulingEffect.PollWorker> polls = effectsOf(SchedulingEffect.PollWorker.class);
		return polls.get(polls.size() - 1);
	}

	private <T extends SchedulingEffect> List<T> effectsOf(Class<T> type) {
		return this.effects.stream().filter(type::isInstance).map(type::cast).toList();
	}

}
