package org.limpetgate.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.limpetgate.CallerId;
import org.limpetgate.DataCentreId;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.Outcome;
import org.limpetgate.Resources;
import org.limpetgate.RouteName;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.CallerQuota;
import org.limpetgate.config.Pool;
import org.limpetgate.config.PoolKind;
import org.limpetgate.config.Route;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link AdaptiveDispatcher} and the classes that make up its policy.
 */
class AdaptiveDispatcherTests {

	private static final UpstreamId FAILING_UPSTREAM = UpstreamId.of("runner-0");

	private static DispatcherHarness harness(DispatchSettings settings) {
		return new DispatcherHarness(AdaptiveDispatcher.of(settings, new SplittableRandom(3)));
	}

	private static DispatcherHarness harness() {
		return harness(DispatcherHarness.SETTINGS);
	}

	/**
	 * Runs idempotent tasks, each with a separate job, in groups of 20, with attempts of
	 * 50 ms.
	 * @param harness the harness
	 * @param groups the number of groups
	 * @param failing the upstream whose attempts fail, null for none
	 * @return the number of attempts at the failing upstream
	 */
	private static int runTasks(DispatcherHarness harness, int groups, UpstreamId failing) {
		int before = harness.starts.size();
		int done = before;
		for (int i = 0; i < 20 * groups || done < harness.starts.size(); i++) {
			if (i < 20 * groups) {
				harness.offer(harness.request("caller-1", "route-1", true, 1000 + harness.now / 1000 + i));
			}
			if (i % 20 != 0) {
				continue;
			}
			harness.advance(50);
			for (int end = harness.starts.size(); done < end; done++) {
				DispatchEffect.StartAttempt start = harness.starts.get(done);
				harness.finish(start, start.upstream().equals(failing) ? Outcome.FAILED : Outcome.COMPLETE);
			}
		}
		return (int) harness.starts.subList(before, done)
			.stream()
			.filter((start) -> start.upstream().equals(failing))
			.count();
	}

	/**
	 * Guards against an upstream that attracts the tasks of the pool by failing them
	 * immediately, and against one that stays ejected after it has recovered.
	 */
	@Example
	void failingUpstreamIsEjectedProbedAndRestored() {
		DispatcherHarness harness = harness().configure(DispatcherHarness.runners(10, 2));
		runTasks(harness, 10, null);
		assertThat(runTasks(harness, 40, FAILING_UPSTREAM)).isBetween(1, 12);
		assertThat(harness.dispatcher.status(harness.now).get(0).ejected()).isEqualTo(1);
		harness.advance(40_000);
		runTasks(harness, 30, null);
		assertThat(harness.dispatcher.status(harness.now).get(0).ejected()).isZero();
	}

	/**
	 * Guards against ejecting the whole pool when every attempt fails.
	 */
	@Example
	void halfOfThePoolIsNeverEjected() {
		DispatcherHarness harness = harness().configure(DispatcherHarness.runners(10, 2));
		int done = 0;
		for (int i = 0; i < 400; i++) {
			harness.offer(harness.request("caller-1", "route-1", false, i + 1));
			harness.advance(20);
			for (; done < harness.starts.size(); done++) {
				harness.finish(harness.starts.get(done), Outcome.FAILED);
			}
			assertThat(harness.dispatcher.status(harness.now).get(0).ejected()).isLessThanOrEqualTo(5);
		}
	}

	/**
	 * Guards against ejecting healthy upstreams because of a job that fails at every
	 * upstream, and against retrying such a job too often.
	 */
	@Example
	void failingJobDoesNotEjectUpstreams() {
		DispatcherHarness harness = harness().configure(DispatcherHarness.runners(10, 8));
		runTasks(harness, 10, null);
		int done = harness.starts.size();
		int completed = 0;
		long firstTask = 0;
		for (int i = 0; i < 300; i++) {
			boolean ofFailingJob = i % 2 == 0;
			TaskRequest request = harness.request("caller-1", ofFailingJob ? "route-2" : "route-1", true,
					ofFailingJob ? 7 : 5000 + i);
			firstTask = (i == 0) ? request.id().value() : firstTask;
			harness.offer(request);
			harness.advance(20);
			for (; done < harness.starts.size(); done++) {
				long task = harness.starts.get(done).task().value();
				boolean fails = (task - firstTask) % 2 == 0;
				completed += fails ? 0 : 1;
				harness.finish(harness.starts.get(done), fails ? Outcome.FAILED : Outcome.COMPLETE);
			}
		}
		assertThat(completed).isEqualTo(150);
		assertThat(harness.dispatcher.status(harness.now).get(0).ejected()).isZero();
		assertThat(harness.starts.size()).isLessThan(200 + 300 + 60);
	}

	/**
	 * Guards against an upstream that hangs and delays its tasks until their deadline.
	 */
	@Example
	void hangingAttemptIsHedgedAndTheUpstreamEjected() {
		DispatcherHarness harness = harness().configure(DispatcherHarness.runners(4, 2));
		runTasks(harness, 10, null);
		int first = harness.starts.size();
		TaskRequest request = harness.request(true);
		harness.offer(request);
		harness.advance(2_000);
		assertThat(harness.starts.subList(first, harness.starts.size())).hasSize(2);
		assertThat(harness.lastStart().upstream()).isNotEqualTo(harness.starts.get(first).upstream());
		harness.finish(harness.lastStart(), Outcome.COMPLETE);
		assertThat(harness.ends.get(request.id()).outcome()).isEqualTo(Outcome.COMPLETE);
		assertThat(harness.cancels).containsExactly(harness.starts.get(first).attempt());
	}

	/**
	 * Guards against retry storms: the budget limits retries and hedges when every
	 * attempt fails.
	 */
	@Example
	void retriesStayWithinTheBudget() {
		DispatcherHarness harness = harness().configure(DispatcherHarness.runners(10, 8));
		int done = 0;
		for (int i = 0; i < 1_000; i++) {
			harness.offer(harness.request("caller-1", "route-" + i % 7, true, 1 + i));
			harness.advance(5);
			for (; done < harness.starts.size(); done++) {
				harness.finish(harness.starts.get(done), Outcome.FAILED);
			}
		}
		long first = harness.starts.stream().filter((start) -> start.number() == 1).count();
		assertThat(harness.starts.size() - first).isLessThanOrEqualTo(10 + first / 10);
	}

	/**
	 * Guards against a caller that monopolises the pool, against quotas that are not
	 * enforced, and against shares that stay unused while their callers are idle.
	 */
	@Example
	void callersShareSlotsByWeight() {
		DispatcherHarness harness = harness().configure(DispatcherHarness.runners(4, 4)
			.withQuotas(List.of(quota("heavy", 3, 1_000, 1_000), quota("small", 1, 5, 2))));
		for (int i = 0; i < 300; i++) {
			harness.offer(harness.request("heavy", "route-1", true, 1));
		}
		assertThat(harness.starts).as("idle shares of other callers are used").hasSize(16);
		for (int i = 0; i < 200; i++) {
			harness.offer(harness.request("light", "route-1", true, 2));
		}
		for (int i = 0; i < 10; i++) {
			harness.offer(harness.request("small", "route-1", true, 3));
		}
		assertThat(harness.offer(harness.request("small", "route-1", true, 3)).error())
			.isEqualTo(ErrorKind.QUOTA_EXCEEDED);
		int done = 0;
		for (int i = 0; i < 15; i++) {
			harness.advance(20);
			for (int end = harness.starts.size(); done < end; done++) {
				harness.finish(harness.starts.get(done), Outcome.COMPLETE);
			}
		}
		long ofHeavy = count(harness, 1, 300);
		long ofLight = count(harness, 301, 500);
		assertThat(ofLight).isBetween(35L, 90L);
		assertThat((double) (ofHeavy - 16) / ofLight).isBetween(2.0, 4.0);
	}

	private static CallerQuota quota(String caller, int weight, int queueTasks, int inFlight) {
		return new CallerQuota(CallerId.of(caller), weight, queueTasks, inFlight);
	}

	/**
	 * Guards against changed quotas that apply only to new callers, and against a change
	 * of quotas that drops queued tasks or does not start those now allowed.
	 */
	@Example
	void changedQuotasApplyToQueuedTasks() {
		record Step(List<CallerQuota> quotas, int started, boolean accepted) {
		}
		Pool pool = DispatcherHarness.runners(4, 4);
		DispatcherHarness harness = harness().configure(pool.withQuotas(List.of(quota("caller-1", 1, 8, 2))));
		for (int i = 0; i < 10; i++) {
			assertThat(harness.offer(harness.request(true)).isAccepted()).isTrue();
		}
		List<Step> steps = List.of(new Step(List.of(quota("caller-1", 1, 8, 2)), 2, false),
				new Step(List.of(quota("caller-1", 1, 8, 5)), 5, true),
				new Step(List.of(quota("caller-1", 1, 1, 1)), 5, false), new Step(List.of(), 11, true));
		for (Step step : steps) {
			harness.configure(pool.withQuotas(step.quotas)).advance(1);
			assertThat(harness.starts).as(step.toString()).hasSize(step.started);
			assertThat(harness.ends).as("nothing is dropped").isEmpty();
			assertThat(harness.offer(harness.request(true)).isAccepted()).as(step.toString()).isEqualTo(step.accepted);
		}
	}

	private static long count(DispatcherHarness harness, long from, long to) {
		return harness.starts.stream()
			.filter((start) -> start.task().value() >= from && start.task().value() <= to)
			.count();
	}

	/**
	 * Guards against accepting tasks that cannot finish in time, and against refused
	 * callers that all retry at the same time.
	 */
	@Example
	void overloadIsRefusedWithSpreadRetryTimes() {
		DispatcherHarness harness = harness().configure(DispatcherHarness.runners(1, 4));
		List<Long> retryTimes = IntStream.range(0, 2_000)
			.mapToObj((i) -> harness.offer(harness.request("caller-" + i % 3, "route-1", true, 0)))
			.filter((admission) -> !admission.isAccepted())
			.map(Admission::retryAfterNanos)
			.toList();
		assertThat(retryTimes.size()).isGreaterThan(1_800);
		assertThat(retryTimes).allMatch((time) -> time > 0);
		assertThat(retryTimes.stream().distinct().count()).isGreaterThan(retryTimes.size() * 9L / 10);
	}

	/**
	 * Guards against exceeding the limit of a route, and against a raised limit that does
	 * not apply to queued tasks.
	 */
	@Example
	void routeLimitIsEnforced() {
		Pool pool = DispatcherHarness.runners(4, 4);
		DispatcherHarness harness = harness().configure(List.of(routeWithLimit(pool, 3)), pool);
		for (int i = 0; i < 8; i++) {
			harness.offer(harness.request(true));
		}
		harness.offer(harness.request("caller-1", "route-2", true, 0));
		assertThat(harness.starts).hasSize(4);
		harness.configure(List.of(routeWithLimit(pool, 5)), pool).advance(1);
		assertThat(harness.starts).as("a raised limit applies to queued tasks").hasSize(6);
	}

	private static Route routeWithLimit(Pool pool, int inFlight) {
		return new Route(RouteName.of("route-1"), "", "", "", "", Map.of(), pool.name(), Route.Idempotence.BY_METHOD,
				Route.DEFAULT_DEADLINE_MILLIS, inFlight);
	}

	/**
	 * Guards against starvation of a large task by small tasks that use all capacity as
	 * it becomes free.
	 */
	@Example
	void largeTaskIsNotStarvedBySmallOnes() {
		DispatcherHarness harness = harness().configure(Pool.of(DispatcherHarness.WORKERS, PoolKind.WORKERS,
				List.of(DispatcherHarness.worker("a", 8, 0, "r1"), DispatcherHarness.worker("b", 8, 0, "r2"))));
		int done = 0;
		List<Integer> startedIn = new ArrayList<>();
		TaskRequest large = null;
		for (int i = 0; i < 600; i++) {
			harness.offer(harness.workerRequest(2, 0));
			if (i == 100) {
				large = harness.workerRequest(8, 0);
				assertThat(harness.offer(large).isAccepted()).isTrue();
			}
			harness.advance(10);
			while (startedIn.size() < harness.starts.size()) {
				startedIn.add(i);
			}
			while (done < startedIn.size() && startedIn.get(done) <= i - 8) {
				harness.finish(harness.starts.get(done++), Outcome.COMPLETE);
			}
		}
		TaskRequest largeTask = large;
		assertThat(count(harness, largeTask.id().value(), largeTask.id().value()))
			.as("ended %s", harness.ends.get(largeTask.id()))
			.isEqualTo(1);
	}

	/**
	 * Guards against cores that stay idle while tasks are queued, and against overbooking
	 * a worker without limit.
	 */
	@Example
	void queuedTasksOverbookWorkersUpToALimit() {
		DispatcherHarness harness = harness().configure(Pool.of(DispatcherHarness.WORKERS, PoolKind.WORKERS,
				List.of(DispatcherHarness.worker("a", 16, 0, "r1"))));
		for (int i = 0; i < 10; i++) {
			harness.offer(harness.workerRequest(5, 0));
		}
		assertThat(harness.starts).hasSize(3);
		for (int i = 0; i < 10; i++) {
			harness.advance(10);
			harness.offer(harness.workerRequest(5, 0));
		}
		assertThat(harness.starts).hasSize(4);
	}

	/**
	 * Guards against relying on declared resources that differ from the reported usage.
	 */
	@Example
	void resourceUseIsLearnedFromReports() {
		DispatcherHarness harness = harness().configure(Pool.of(DispatcherHarness.WORKERS, PoolKind.WORKERS,
				List.of(DispatcherHarness.worker("a", 16, 0, "r1"))));
		for (int i = 0; i < 10; i++) {
			harness.offer(harness.workerRequest(4, 0));
		}
		assertThat(harness.starts).hasSize(4);
		for (int i = 0; i < 200; i++) {
			harness.advance(100);
			harness.dispatcher.usageReported(UpstreamId.of("a"), new Resources(8, 400, 0), harness.now, harness.now);
			harness.finish(harness.starts.get(i), Outcome.COMPLETE);
			harness.offer(harness.workerRequest(4, 0));
		}
		assertThat(harness.dispatcher.status(harness.now).get(0).inFlight()).isGreaterThanOrEqualTo(7);
	}

	/**
	 * Guards against slots that are assigned to two hosts or to none.
	 */
	@Property(seed = "1")
	void sharesAddUpToTheSlots(@ForAll @Size(min = 1, max = 6) List<@DoubleRange(min = 0.1, max = 500) Double> sizes,
			@ForAll @IntRange(min = 0, max = 64) int slots, @ForAll @IntRange(min = 0, max = 5_000) int index) {
		double[] weights = sizes.stream().mapToDouble(Double::doubleValue).toArray();
		int sum = IntStream.range(0, weights.length)
			.map((host) -> new SlotShares(weights, host).of(slots, index))
			.sum();
		assertThat(sum).isEqualTo(slots);
	}

	/**
	 * Guards against forwarding to a data centre that is slower, has a stale digest,
	 * accepts no tasks or has already received many, and against a second hop.
	 */
	@Example
	void spillsOnlyWhenFasterAndOnce() {
		DispatcherHarness harness = harness();
		long nanosPerMilli = DispatcherHarness.NANOS_PER_MILLI;
		TaskRequest task = harness.request(true);
		record Case(int hops, long localWait, long remoteWait, double rate, long age, boolean spills) {
		}
		List<Case> cases = List.of(new Case(0, 500, 0, 100, 100, true), new Case(1, 500, 0, 100, 100, false),
				new Case(0, 500, 490, 100, 100, false), new Case(0, 500, 0, 0, 100, false),
				new Case(0, 500, 0, 100, 5_000, false), new Case(0, 10, 0, 100, 100, false));
		for (Case testCase : cases) {
			RemotePoolState remote = new RemotePoolState(DataCentreId.of("gijon"), DispatcherHarness.POOL,
					nanosPerMilli / 2, testCase.remoteWait * nanosPerMilli, testCase.rate,
					harness.now - testCase.age * nanosPerMilli);
			ShortestWaitSpillPolicy policy = ShortestWaitSpillPolicy.ofDigestInterval(1_000_000_000L);
			assertThat(policy
				.destination(task, testCase.hops, testCase.localWait * nanosPerMilli, List.of(remote), harness.now)
				.isPresent()).as(testCase.toString()).isEqualTo(testCase.spills);
			long spilled = IntStream.range(0, 1_000)
				.filter((i) -> policy
					.destination(task, testCase.hops, testCase.localWait * nanosPerMilli, List.of(remote), harness.now)
					.isPresent())
				.count();
			assertThat(spilled).isLessThan(60);
		}
	}

	/**
	 * Guards against slots that stay unused because they are in the share of a dead or
	 * idle host.
	 */
	@Example
	void sharesOfIdleAndDeadPeersAreUsed() {
		DispatcherHarness harness = harness().configure(DispatcherHarness.runners(10, 8));
		PeerLoad busy = new PeerLoad(HostId.of("host-2"), 1,
				Map.of(DispatcherHarness.POOL, new PeerLoad.Demand(100, 40)));
		PeerLoad idle = new PeerLoad(HostId.of("host-2"), 1, Map.of());
		harness.dispatcher.updatePeerLoads(List.of(busy), harness.now);
		for (int i = 0; i < 100; i++) {
			harness.offer(harness.request("caller-1", "route-1", true, 1));
			harness.dispatcher.demand();
		}
		harness.tick();
		assertThat(harness.starts).hasSize(40);
		harness.dispatcher.updatePeerLoads(List.of(idle), harness.now);
		harness.tick();
		assertThat(harness.starts.size()).isBetween(72, 79);
		harness.dispatcher.updatePeerLoads(List.of(), harness.now);
		harness.tick();
		assertThat(harness.starts).hasSize(80);
	}

}
