package org.limpetgate.standin;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoopGroup;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.limpetgate.AttemptId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;
import org.limpetgate.Resources;
import org.limpetgate.UpstreamId;
import org.limpetgate.net.platform.HttpWorkerService;
import org.limpetgate.net.platform.PlatformClientSettings;
import org.limpetgate.platform.LeaseId;
import org.limpetgate.platform.LeaseState;
import org.limpetgate.platform.LeaseStatus;
import org.limpetgate.platform.WorkerService;
import org.limpetgate.platform.WorkerTask;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Contract tests for {@link WorkerService}, run against the network client and the
 * stand-in.
 */
class WorkerServiceContractTests {

	private static final UpstreamId WORKER = UpstreamId.of("worker-1");

	private static final Duration LONG = Duration.ofSeconds(20);

	/**
	 * Longer than the time limit of {@link Futures}, so that a missed end fails the test.
	 */
	private static final Duration HANGING = Duration.ofMinutes(2);

	private static final Duration SHORT = Duration.ofMillis(1);

	private static final Resources CORE = new Resources(1, 100, 0);

	private static final List<FaultCase> FAULT_CASES = List.of(
			new FaultCase("none", UpstreamFaults.NONE, null, LeaseState.COMPLETE, 1),
			new FaultCase("fails", UpstreamFaults.always(UpstreamFaults.Fault.FAIL), null, LeaseState.FAILED, 1),
			new FaultCase("hangs", UpstreamFaults.always(UpstreamFaults.Fault.HANG), null, LeaseState.STOPPED, 1),
			new FaultCase("closes", UpstreamFaults.always(UpstreamFaults.Fault.CLOSE), Outcome.UNKNOWN,
					LeaseState.COMPLETE, 1),
			new FaultCase("truncates", UpstreamFaults.always(UpstreamFaults.Fault.TRUNCATE), Outcome.UNKNOWN,
					LeaseState.COMPLETE, 1),
			new FaultCase("late", UpstreamFaults.always(UpstreamFaults.Fault.LATE).withDelayMillis(60_000),
					Outcome.UNKNOWN, LeaseState.COMPLETE, 1),
			new FaultCase("leaving", UpstreamFaults.NONE.withLeaving(true), Outcome.NOT_RUN, LeaseState.TOMBSTONE, 0));

	private final EventLoopGroup group = StandIns.newEventLoops(2);

	private final StartCounter starts = new StartCounter();

	private WorkerStandIn worker = start(WorkerSettings.of(WORKER).withUsageLag(Duration.ZERO));

	private InetSocketAddress address = this.worker.address();

	private final WorkerService service = client(LONG);

	private final WorkerService limitedService = HttpWorkerService.of(this.group, (id) -> this.address,
			PlatformClientSettings.DEFAULT.withMaxConnections(20));

	private final Incarnation holder = Incarnation.of(HostId.of("e1/a:b"), 7);

	private long attempts;

	@AfterTry
	void close() {
		this.worker.close();
		this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
	}

	/**
	 * Guards against a start whose outcome contradicts the state that a stop reports, and
	 * against a second start by a repeated request.
	 */
	@Example
	void startAndStopAgreeUnderEachFault() {
		for (FaultCase faultCase : FAULT_CASES) {
			LeaseId lease = lease();
			WorkerTask task = task(faultCase.name, 0);
			this.worker.setFaults(faultCase.faults);
			WorkerService client = client((faultCase.faults.delayMillis() > 0) ? Duration.ofSeconds(1) : LONG);
			Duration wait = faultCase.stopped.equals(LeaseState.STOPPED) ? SHORT : Duration.ofMillis(500);
			DispatchException error = Futures.error(client.run(lease, WORKER, task, LONG, wait));
			this.worker.setFaults(UpstreamFaults.NONE);
			assertThat((error != null) ? error.outcome() : null).as(faultCase.name).isEqualTo(faultCase.outcome);
			assertThat(Futures.get(this.service.stop(lease, WORKER)).state()).as(faultCase.name)
				.isEqualTo(faultCase.stopped);
			assertThat(Futures.get(this.service.run(lease, WORKER, task, LONG, LONG)).state()).as(faultCase.name)
				.isEqualTo(faultCase.stopped);
			assertThat(this.starts.starts(faultCase.name)).as(faultCase.name).isEqualTo(faultCase.starts);
		}
	}

	/**
	 * Guards against a response that is lost or belongs to another task.
	 */
	@Example
	void responseCanBeReadAgain() {
		LeaseId lease = lease();
		WorkerTask task = task("a", 5);
		LeaseStatus first = Futures.get(this.service.run(lease, WORKER, task, LONG, LONG));
		assertThat(first.state()).isEqualTo(LeaseState.COMPLETE);
		assertThat(first.response()).isEqualTo(task.body());
		assertThat(Futures.get(this.service.status(lease, WORKER, LONG)).response()).isEqualTo(task.body());
		assertThat(Futures.get(this.service.renew(lease, WORKER, LONG)).state()).isEqualTo(LeaseState.COMPLETE);
	}

	/**
	 * Guards against a delayed start that takes effect after a stop proved that the task
	 * had not started.
	 */
	@Example
	void tombstoneRefusesADelayedStart() {
		LeaseId lease = lease();
		assertThat(Futures.get(this.service.status(lease, WORKER, Duration.ZERO)).state()).isEqualTo(LeaseState.UNSEEN);
		assertThat(Futures.get(this.service.renew(lease, WORKER, LONG)).state()).isEqualTo(LeaseState.UNSEEN);
		assertThat(Futures.get(this.service.stop(lease, WORKER)).state()).isEqualTo(LeaseState.TOMBSTONE);
		assertThat(Futures.get(this.service.start(lease, WORKER, task("a", 0), LONG)).state())
			.isEqualTo(LeaseState.TOMBSTONE);
		assertThat(this.starts.starts("a")).isZero();
	}

	/**
	 * Guards against a task that continues after its holder has lost contact, and against
	 * an expired lease that can be renewed.
	 */
	@Example
	void expiredLeaseStopsTheTask() {
		LeaseId lease = lease();
		assertThat(Futures.get(this.service.run(lease, WORKER, task("a", 600_000), SHORT, LONG)).state())
			.isEqualTo(LeaseState.LAPSED);
		assertThat(Futures.get(this.service.renew(lease, WORKER, LONG)).state()).isEqualTo(LeaseState.LAPSED);
		assertThat(Futures.get(this.service.usage(WORKER)).running()).isZero();
	}

	/**
	 * Guards against a lease that expires although it was renewed, and against a running
	 * task that is missing from the reported usage.
	 */
	@Example
	void runningTaskCanBeRenewedThrottledResumedAndStopped() {
		LeaseId lease = lease();
		WorkerTask task = task("a", 600_000);
		Futures.get(this.service.start(lease, WORKER, task, LONG));
		CompletableFuture<LeaseStatus> waiting = this.service.status(lease, WORKER, LONG);
		LeaseStatus renewed = Futures.get(this.service.renew(lease, WORKER, Duration.ofMinutes(5)));
		assertThat(renewed.remainingNanos()).isGreaterThan(LONG.toNanos());
		assertThat(Futures.get(this.service.usage(WORKER)).used()).isEqualTo(CORE);
		assertThat(Futures.get(this.service.throttle(lease, WORKER, 0.5)).state()).isEqualTo(LeaseState.RUNNING);
		String checkpoint = Futures.get(this.service.checkpoint(lease, WORKER));
		assertThat(Futures.get(this.service.stop(lease, WORKER)).state()).isEqualTo(LeaseState.STOPPED);
		assertThat(Futures.get(waiting).state()).isEqualTo(LeaseState.STOPPED);
		LeaseId next = lease();
		assertThat(Futures.get(this.service.start(next, WORKER, task.withResumeFrom(checkpoint), LONG)).state())
			.isEqualTo(LeaseState.RUNNING);
		assertThat(Futures.error(this.service.checkpoint(lease, WORKER))).isNotNull();
	}

	/**
	 * Guards against refusals that leave no tombstone, and against a wrong reason, which
	 * would direct the retry of the task to the wrong place.
	 */
	@Example
	void refusalsHaveAReasonAndLeaveATombstone() {
		long now = StandIns.epochNanos();
		long later = now + LONG.toNanos();
		LeaseId full = lease();
		Futures.get(this.service.start(full, WORKER, WorkerTask.of(body("b", 600_000), new Resources(16, 1, 0), later),
				LONG));
		assertRefused(WorkerTask.of(body("a", 0), new Resources(17, 1, 0), later), ErrorKind.IMPOSSIBLE);
		assertRefused(WorkerTask.of(body("a", 0), CORE, later), ErrorKind.OVERLOADED);
		assertRefused(WorkerTask.of(body("a", 0), CORE, now - 1), ErrorKind.DEADLINE_EXCEEDED);
		this.worker.setFaults(UpstreamFaults.NONE.withLeaving(true));
		assertRefused(WorkerTask.of(body("a", 0), CORE, later), ErrorKind.SHUTTING_DOWN);
		assertThat(this.starts.starts("a")).isZero();
	}

	private void assertRefused(WorkerTask task, ErrorKind kind) {
		LeaseId lease = lease();
		DispatchException error = Futures.error(this.service.start(lease, WORKER, task, LONG));
		assertThat(error.kind()).isEqualTo(kind);
		assertThat(error.outcome()).isEqualTo(Outcome.NOT_RUN);
		assertThat(Futures.get(this.service.status(lease, WORKER, Duration.ZERO)).state())
			.isEqualTo(LeaseState.TOMBSTONE);
	}

	/**
	 * Guards against a restarted worker that reports a lease of its earlier process as
	 * never started.
	 */
	@Example
	void restartedWorkerProvesNothingAboutEarlierLeases() {
		LeaseId lease = lease();
		Futures.get(this.service.run(lease, WORKER, task("a", 0), LONG, LONG));
		this.worker.close();
		LeaseId unsent = lease();
		assertThat(Futures.error(client(LONG).start(unsent, WORKER, task("b", 0), LONG)).outcome())
			.isEqualTo(Outcome.NOT_RUN);
		this.worker = start(WorkerSettings.of(WORKER).restarted());
		this.address = this.worker.address();
		assertThat(Futures.get(this.service.stop(lease, WORKER)).state()).isEqualTo(LeaseState.UNSEEN);
		assertThat(Futures.error(this.service.start(lease, WORKER, task("a", 0), LONG)).outcome())
			.isEqualTo(Outcome.UNKNOWN);
		assertThat(this.starts.startedTwice()).isEmpty();
	}

	/**
	 * Guards against a worker that runs a task of another worker at a reused address.
	 * Also covers requests routed through the platform.
	 */
	@Example
	void requestsReachOnlyTheWorkerThatTheyName() {
		UpstreamId other = UpstreamId.of("worker-2");
		Consumer<UpstreamId> misdirected = (
				id) -> assertThat(Futures.error(this.service.start(lease(), id, task("a", 0), LONG)).outcome())
					.isEqualTo(Outcome.NOT_RUN);
		misdirected.accept(other);
		try (PlatformStandIn platform = PlatformStandIn.start(this.group, LogLimits.DEFAULT)) {
			platform.addWorker(this.worker);
			this.address = platform.address();
			misdirected.accept(other);
			Futures.get(this.service.run(lease(), WORKER, task("a", 0), LONG, LONG));
		}
		this.address = null;
		misdirected.accept(WORKER);
		assertThat(this.starts.starts("a")).isEqualTo(1);
	}

	/**
	 * Guards against responses to the wrong request and against wrong outcomes when many
	 * requests share few connections that keep failing.
	 */
	@Example
	void concurrentRequestsGetTheirOwnResponsesAndOutcomes() {
		Random random = new Random(21);
		List<UpstreamFaults.Fault> faults = List.of(UpstreamFaults.Fault.CLOSE, UpstreamFaults.Fault.TRUNCATE,
				UpstreamFaults.Fault.LATE, UpstreamFaults.Fault.FAIL);
		Map<LeaseId, WorkerTask> tasks = new LinkedHashMap<>();
		Map<LeaseId, CompletableFuture<LeaseStatus>> results = new LinkedHashMap<>();
		for (int i = 0; i < 2_000; i++) {
			if (i % 50 == 0) {
				Futures.get(CompletableFuture.allOf(results.values().toArray(CompletableFuture[]::new))
					.handle((done, error) -> true));
				UpstreamFaults.Fault fault = faults.get(random.nextInt(faults.size()));
				this.worker.setFaults(UpstreamFaults.always(fault).withShare(0.3).withDelayMillis(5));
			}
			LeaseId lease = lease();
			tasks.put(lease, task(lease.toString(), random.nextInt(5)));
			results.put(lease, this.limitedService.run(lease, WORKER, tasks.get(lease), HANGING, HANGING));
		}
		results.forEach((lease, result) -> assertOutcomeIsCorrect(lease, tasks.get(lease), result));
		assertThat(this.starts.startedTwice()).isEmpty();
		assertThat(Futures.get(this.service.usage(WORKER)).running()).isZero();
	}

	private void assertOutcomeIsCorrect(LeaseId lease, WorkerTask task, CompletableFuture<LeaseStatus> result) {
		DispatchException error = Futures.error(result);
		int started = this.starts.starts(lease.toString());
		if (error == null) {
			LeaseStatus status = Futures.get(result);
			assertThat(started).isEqualTo(1);
			assertThat(status.response())
				.isEqualTo((status.state() == LeaseState.COMPLETE) ? task.body() : new byte[0]);
			return;
		}
		LeaseState stopped = Futures.get(this.service.stop(lease, WORKER)).state();
		assertThat(stopped == LeaseState.TOMBSTONE).isEqualTo(started == 0);
		assertThat(error.outcome() == Outcome.NOT_RUN && started > 0).isFalse();
	}

	private WorkerStandIn start(WorkerSettings settings) {
		return WorkerStandIn.start(this.group, settings, this.starts);
	}

	private WorkerService client(Duration timeout) {
		return HttpWorkerService.of(this.group, (id) -> this.address,
				PlatformClientSettings.DEFAULT.withRequestTimeout(timeout));
	}

	private LeaseId lease() {
		return LeaseId.of(this.holder, AttemptId.of(this.attempts++), StandIns.epochNanos());
	}

	private static WorkerTask task(String id, long runMillis) {
		return WorkerTask.of(body(id, runMillis), CORE, StandIns.epochNanos() + Duration.ofHours(1).toNanos());
	}

	private static byte[] body(String id, long runMillis) {
		return ("{\"id\":\"" + id + "\",\"runMillis\":" + runMillis + "}").getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * A fault and its expected effects.
	 *
	 * @param name the name
	 * @param faults the faults during the start
	 * @param outcome the outcome of the failed start, null for success
	 * @param stopped the state after a stop
	 * @param starts the number of starts of the task at the end
	 */
	private record FaultCase(String name, UpstreamFaults faults, Outcome outcome, LeaseState stopped, int starts) {
	}

}
