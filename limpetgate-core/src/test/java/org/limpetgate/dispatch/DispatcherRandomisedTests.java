package org.limpetgate.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.limpetgate.AttemptId;
import org.limpetgate.HostId;
import org.limpetgate.Outcome;
import org.limpetgate.PoolName;
import org.limpetgate.TaskId;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.Pool;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the invariants of every {@link Dispatcher} in long runs with random events.
 */
class DispatcherRandomisedTests {

	private static final int STEPS = 30_000;

	private static final int QUEUE_TASKS = 200;

	/** Bound on the tasks that wait for a retry: the maximum tokens of a retry budget. */
	private static final int MAX_WAITING_RETRIES = 100;

	private static final int RUNNERS = 6;

	private static final int SLOTS = 4;

	/**
	 * Guards against tasks that end twice or never, retries of non-idempotent tasks that
	 * may have run, attempts at leaving upstreams, unbounded queues and more attempts
	 * than slots.
	 */
	@Property(seed = "1", tries = 40)
	void invariantsHold(@ForAll DispatcherHarness.Kind kind, @ForAll long seed) {
		new Run(kind, new SplittableRandom(seed)).run();
	}

	/**
	 * One run with one dispatcher.
	 */
	private static final class Run {

		private final SplittableRandom random;

		private final DispatcherHarness harness;

		private final Map<TaskId, TaskRequest> accepted = new HashMap<>();

		private final Map<AttemptId, DispatchEffect.StartAttempt> inFlight = new HashMap<>();

		private final Map<UpstreamId, Integer> loadByUpstream = new HashMap<>();

		private final Set<TaskId> mayHaveRun = new HashSet<>();

		private final Set<UpstreamId> leaving = new HashSet<>();

		private int checkedStarts;

		private int checkedCancels;

		private int peerSize;

		private Run(DispatcherHarness.Kind kind, SplittableRandom random) {
			this.random = random;
			this.harness = new DispatcherHarness(kind.create(random.split()));
			Pool pool = DispatcherHarness.runners(RUNNERS, SLOTS);
			this.harness.configure(new Pool(pool.name(), pool.kind(), pool.upstreams(), 60, QUEUE_TASKS, 15_000, 10));
		}

		private void run() {
			for (int i = 0; i < STEPS; i++) {
				step();
				check();
			}
			while (!this.inFlight.isEmpty() || this.harness.ends.size() < this.accepted.size()) {
				this.harness.advance(500);
				List.copyOf(this.inFlight.values()).forEach((start) -> end(start, Outcome.COMPLETE, false));
				check();
			}
			assertThat(this.harness.ends.keySet()).isEqualTo(this.accepted.keySet());
		}

		private void step() {
			switch (this.random.nextInt(12)) {
				case 0, 1, 2, 3 -> offer();
				case 4, 5, 6 -> endRandomAttempt();
				case 7 -> this.harness.advance(this.random.nextInt(20));
				case 8 -> cancelRandomTask();
				case 9 -> changePeers();
				case 10 -> changeLeaving();
				default -> this.harness.dispatcher.demand();
			}
			this.harness.tick();
		}

		private void offer() {
			boolean idempotent = this.random.nextBoolean();
			TaskRequest request = this.harness.request("caller-" + this.random.nextInt(5),
					"route-" + this.random.nextInt(4), idempotent, this.random.nextInt(3));
			if (this.harness.dispatcher.offer(request, this.harness.now).isAccepted()) {
				this.accepted.put(request.id(), request);
			}
		}

		private void endRandomAttempt() {
			if (!this.inFlight.isEmpty()) {
				List<DispatchEffect.StartAttempt> starts = new ArrayList<>(this.inFlight.values());
				Outcome outcome = (this.random.nextInt(3) != 0) ? Outcome.COMPLETE
						: Outcome.values()[this.random.nextInt(Outcome.values().length)];
				end(starts.get(this.random.nextInt(starts.size())), outcome, this.random.nextInt(100) == 0);
			}
		}

		private void end(DispatchEffect.StartAttempt start, Outcome outcome, boolean isLeaving) {
			this.inFlight.remove(start.attempt());
			this.loadByUpstream.merge(start.upstream(), -1, Integer::sum);
			if (outcome != Outcome.NOT_RUN) {
				this.mayHaveRun.add(start.task());
			}
			if (isLeaving) {
				this.leaving.add(start.upstream());
			}
			this.harness.finish(start, outcome, isLeaving);
		}

		private void cancelRandomTask() {
			if (this.random.nextInt(4) == 0 && !this.accepted.isEmpty()) {
				TaskId task = TaskId.of(1 + this.random.nextInt(this.accepted.size()));
				boolean active = this.accepted.containsKey(task) && !this.harness.ends.containsKey(task);
				assertThat(this.harness.dispatcher.cancel(task, this.harness.now)).isEqualTo(active);
			}
		}

		private void changePeers() {
			if (this.random.nextInt(50) == 0) {
				this.peerSize = this.random.nextInt(4);
				Map<PoolName, PeerLoad.Demand> demand = Map.of(DispatcherHarness.POOL,
						new PeerLoad.Demand(this.random.nextInt(50), this.random.nextInt(20)));
				this.harness.dispatcher.updatePeerLoads((this.peerSize > 0)
						? List.of(new PeerLoad(HostId.of("host-2"), this.peerSize, demand)) : List.of(),
						this.harness.now);
			}
		}

		private void changeLeaving() {
			UpstreamId upstream = UpstreamId.of("runner-" + this.random.nextInt(RUNNERS));
			if (this.random.nextInt(100) == 0) {
				this.leaving.add(upstream);
				this.harness.dispatcher.upstreamLeaving(upstream, this.harness.now);
			}
			else if (this.random.nextInt(10) == 0 && this.leaving.remove(upstream)) {
				this.harness.dispatcher.upstreamReturned(upstream, this.harness.now);
			}
		}

		private void check() {
			for (; this.checkedStarts < this.harness.starts.size(); this.checkedStarts++) {
				DispatchEffect.StartAttempt start = this.harness.starts.get(this.checkedStarts);
				TaskRequest task = this.accepted.get(start.task());
				assertThat(task).isNotNull();
				boolean running = this.inFlight.values().stream().anyMatch((other) -> other.task().equals(task.id()));
				boolean first = start.number() == 1;
				assertThat(task.idempotent() || first || (!running && !this.mayHaveRun.contains(task.id()))).isTrue();
				assertThat(this.leaving).doesNotContain(start.upstream());
				this.inFlight.put(start.attempt(), start);
				assertThat(this.loadByUpstream.merge(start.upstream(), 1, Integer::sum)).isLessThanOrEqualTo(SLOTS);
			}
			List<AttemptId> cancels = this.harness.cancels.subList(this.checkedCancels, this.harness.cancels.size());
			this.checkedCancels += cancels.size();
			List.copyOf(cancels).forEach(this::cancelled);
			assertThat(this.accepted.size() - this.harness.ends.size())
				.isLessThanOrEqualTo(QUEUE_TASKS + RUNNERS * SLOTS + MAX_WAITING_RETRIES);
		}

		private void cancelled(AttemptId attempt) {
			DispatchEffect.StartAttempt start = this.inFlight.get(attempt);
			if (start != null) {
				assertThat(this.harness.ends).containsKey(start.task());
				end(start, Outcome.UNKNOWN, false);
			}
		}

	}

}
