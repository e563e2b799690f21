package org.limpetgate.dispatch;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.limpetgate.AttemptId;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.Outcome;
import org.limpetgate.Resources;
import org.limpetgate.TaskId;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.Pool;
import org.limpetgate.config.PoolKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the contract of {@link Dispatcher}, run against every implementation.
 */
class DispatcherContractTests {

	private static DispatcherHarness harness(DispatcherHarness.Kind kind) {
		return new DispatcherHarness(kind.create(new SplittableRandom(7)));
	}

	/**
	 * Guards against a retry of a task that may already have run and is not idempotent,
	 * and against abandoning a task that can safely be retried.
	 */
	@Property(seed = "1")
	void retryDependsOnOutcomeAndIdempotence(@ForAll DispatcherHarness.Kind kind, @ForAll Outcome outcome,
			@ForAll boolean idempotent) {
		DispatcherHarness harness = harness(kind).configure(DispatcherHarness.runners(3, 2));
		TaskRequest request = harness.request(idempotent);
		harness.offer(request);
		harness.finish(harness.starts.get(0), outcome);
		harness.advance(1_000);
		boolean retried = outcome == Outcome.NOT_RUN || (idempotent && outcome != Outcome.COMPLETE);
		assertThat(harness.starts).hasSize(retried ? 2 : 1);
		assertThat(harness.ends.containsKey(request.id())).isEqualTo(!retried);
		if (retried) {
			assertThat(harness.starts.get(1).upstream()).isNotEqualTo(harness.starts.get(0).upstream());
			harness.finish(harness.starts.get(1), Outcome.COMPLETE);
			assertThat(harness.ends.get(request.id()).completedAttempt()).isEqualTo(harness.starts.get(1).attempt());
		}
		else {
			assertThat(harness.ends.get(request.id()).outcome()).isEqualTo(outcome);
		}
	}

	/**
	 * Guards against reporting a definite outcome for a task that is cancelled or expires
	 * while it is running, and against a late result that ends the task a second time.
	 */
	@Property(seed = "1")
	void abandonedTaskReportsKnownOutcome(@ForAll DispatcherHarness.Kind kind, @ForAll boolean cancelled,
			@ForAll boolean running, @ForAll Outcome late) {
		DispatcherHarness harness = harness(kind).configure(DispatcherHarness.runners(1, 1));
		harness.offer(harness.request(false));
		TaskRequest queued = harness.request(false);
		harness.offer(queued);
		TaskId task = running ? harness.starts.get(0).task() : queued.id();
		if (cancelled) {
			assertThat(harness.dispatcher.cancel(task, harness.now)).isTrue();
			harness.tick();
		}
		else {
			harness.advance(10_000);
		}
		DispatchEffect.TaskEnded end = harness.ends.get(task);
		assertThat(end.outcome()).isEqualTo(running ? Outcome.UNKNOWN : Outcome.NOT_RUN);
		assertThat(end.error()).isEqualTo(cancelled ? ErrorKind.CANCELLED : ErrorKind.DEADLINE_EXCEEDED);
		assertThat(harness.cancels).hasSize((running || !cancelled) ? 1 : 0);
		assertThat(harness.dispatcher.cancel(task, harness.now)).isFalse();
		harness.finish(harness.starts.get(0), late);
		assertThat(harness.ends.get(task)).isSameAs(end);
	}

	/**
	 * Guards against new attempts at an upstream after a signal that it is leaving.
	 */
	@Property(seed = "1")
	void leavingUpstreamGetsNoAttempts(@ForAll DispatcherHarness.Kind kind, @ForAll LeaveSignal signal) {
		DispatcherHarness harness = harness(kind).configure(DispatcherHarness.runners(2, 2));
		harness.offer(harness.request(true));
		UpstreamId leaving = harness.starts.get(0).upstream();
		switch (signal) {
			case HOST_LIST -> harness.dispatcher.upstreamLeaving(leaving, harness.now);
			case RESPONSE -> harness.finish(harness.starts.get(0), Outcome.COMPLETE, true);
			case TABLE -> harness.configure(without(DispatcherHarness.runners(2, 2), leaving));
		}
		harness.configure((signal == LeaveSignal.TABLE) ? without(DispatcherHarness.runners(2, 2), leaving)
				: DispatcherHarness.runners(2, 2));
		for (int i = 0; i < 10; i++) {
			harness.offer(harness.request(true));
			harness.advance(200);
		}
		assertThat(harness.starts).hasSize(3);
		assertThat(harness.starts.subList(1, 3)).noneMatch((start) -> start.upstream().equals(leaving));
	}

	private static Pool without(Pool pool, UpstreamId id) {
		return Pool.of(pool.name(), pool.kind(),
				pool.upstreams().stream().filter((upstream) -> !upstream.id().equals(id)).toList());
	}

	/**
	 * The ways in which a dispatcher learns that an upstream is leaving.
	 */
	enum LeaveSignal {

		HOST_LIST, RESPONSE, TABLE

	}

	/**
	 * Guards against unbounded queues, and against cancelled tasks that still count
	 * towards the limit.
	 */
	@Property(seed = "1")
	void queueIsBoundedByCountAndBytes(@ForAll DispatcherHarness.Kind kind, @ForAll boolean byBytes) {
		Pool template = DispatcherHarness.runners(1, 1);
		Pool pool = new Pool(template.name(), template.kind(), template.upstreams(), 60, byBytes ? 100 : 3,
				byBytes ? 300 : 10_000, 10);
		DispatcherHarness harness = harness(kind).configure(pool);
		for (int i = 0; i < 4; i++) {
			assertThat(harness.offer(harness.request(true)).isAccepted()).isTrue();
		}
		Admission refusal = harness.offer(harness.request(true));
		assertThat(refusal.error()).isEqualTo(ErrorKind.OVERLOADED);
		assertThat(refusal.retryAfterNanos()).isPositive();
		harness.dispatcher.cancel(TaskId.of(3), harness.now);
		assertThat(harness.offer(harness.request(true)).isAccepted()).isTrue();
	}

	/**
	 * Guards against queueing a task that needs more resources than any worker has.
	 */
	@Property(seed = "1")
	void impossibleTaskIsRefusedImmediately(@ForAll DispatcherHarness.Kind kind) {
		DispatcherHarness harness = harness(kind).configure(Pool.of(DispatcherHarness.WORKERS, PoolKind.WORKERS,
				List.of(DispatcherHarness.worker("big", 16, 0, "a"), DispatcherHarness.worker("gpu", 4, 1, "b"))));
		assertThat(harness.offer(harness.workerRequest(17, 0)).error()).isEqualTo(ErrorKind.IMPOSSIBLE);
		assertThat(harness.offer(harness.workerRequest(8, 1)).error()).isEqualTo(ErrorKind.IMPOSSIBLE);
		assertThat(harness.offer(harness.workerRequest(16, 0)).isAccepted()).isTrue();
		assertThat(harness.offer(harness.workerRequest(4, 1)).isAccepted()).isTrue();
		assertThat(harness.starts).hasSize(2);
	}

	/**
	 * Guards against keeping the queued tasks of a removed pool until their deadlines,
	 * and against aborting its running attempts.
	 */
	@Property(seed = "1")
	void removedPoolEndsQueuedTasks(@ForAll DispatcherHarness.Kind kind, @ForAll Outcome outcome) {
		DispatcherHarness harness = harness(kind).configure(DispatcherHarness.runners(1, 1));
		TaskRequest running = harness.request(true);
		harness.offer(running);
		TaskRequest queued = harness.request(true);
		harness.offer(queued);
		harness.configure().tick();
		assertThat(harness.ends.get(queued.id()).outcome()).isEqualTo(Outcome.NOT_RUN);
		assertThat(harness.ends.get(queued.id()).error()).isEqualTo(ErrorKind.NO_UPSTREAM);
		assertThat(harness.ends).doesNotContainKey(running.id());
		harness.finish(harness.starts.get(0), outcome);
		assertThat(harness.ends.get(running.id()).outcome()).isEqualTo(outcome);
		assertThat(harness.starts).hasSize(1);
	}

	/**
	 * Guards against concurrent tasks on a worker that together need more than its
	 * resources.
	 */
	@Property(seed = "1")
	void workerIsNotOverbooked(@ForAll DispatcherHarness.Kind kind) {
		DispatcherHarness harness = harness(kind).configure(Pool.of(DispatcherHarness.WORKERS, PoolKind.WORKERS,
				List.of(DispatcherHarness.worker("one", 16, 0, "a"))));
		for (int i = 0; i < 5; i++) {
			harness.offer(harness.workerRequest(5, 0));
		}
		assertThat(harness.starts).hasSize(3);
		harness.finish(harness.starts.get(0), Outcome.COMPLETE);
		assertThat(harness.starts).hasSize(4);
	}

	/**
	 * Guards against two hosts that together use more slots than the upstreams have.
	 */
	@Property(seed = "1")
	void hostsWithTheSameViewDivideSlots(@ForAll DispatcherHarness.Kind kind) {
		DispatcherHarness harness = harness(kind).configure(DispatcherHarness.runners(10, 8));
		PeerLoad peer = new PeerLoad(HostId.of("host-2"), 3,
				Map.of(DispatcherHarness.POOL, new PeerLoad.Demand(500, 60)));
		for (int i = 0; i < 100; i++) {
			harness.offer(harness.request(true));
		}
		List<DispatchEffect.StartAttempt> startsWithoutPeer = List.copyOf(harness.starts);
		assertThat(startsWithoutPeer).hasSize(80);
		harness.dispatcher.demand();
		harness.dispatcher.updatePeerLoads(List.of(peer), harness.now);
		startsWithoutPeer.forEach((start) -> harness.finish(start, Outcome.COMPLETE));
		for (int i = 0; i < 50; i++) {
			harness.offer(harness.request(true));
		}
		assertThat(harness.starts.subList(80, harness.starts.size())).hasSize(20);
	}

	/**
	 * Guards against accepting tasks for unknown pools or past their deadline, and
	 * against failures on reports for unknown attempts or tasks.
	 */
	@Property(seed = "1")
	void unknownPoolsAndIdsAreRejected(@ForAll DispatcherHarness.Kind kind) {
		DispatcherHarness harness = harness(kind);
		assertThat(harness.offer(harness.request(true)).error()).isEqualTo(ErrorKind.NO_UPSTREAM);
		harness.configure(DispatcherHarness.runners(1, 1));
		TaskRequest expired = new TaskRequest(TaskId.of(99), harness.request(true).caller(),
				harness.request(true).route(), DispatcherHarness.POOL, true, Resources.NONE, 1, harness.now, 0);
		assertThat(harness.offer(expired).error()).isEqualTo(ErrorKind.DEADLINE_EXCEEDED);
		harness.dispatcher.attemptEnded(AttemptId.of(77), new AttemptResult(Outcome.COMPLETE, 1, false, ""),
				harness.now);
		assertThat(harness.dispatcher.cancel(TaskId.of(77), harness.now)).isFalse();
		harness.tick();
		assertThat(harness.ends).isEmpty();
	}

}
