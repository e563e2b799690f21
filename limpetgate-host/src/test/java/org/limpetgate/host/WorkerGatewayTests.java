package org.limpetgate.host;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import net.jqwik.api.Example;
import org.limpetgate.AttemptId;
import org.limpetgate.CallerId;
import org.limpetgate.DataCentreId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;
import org.limpetgate.PoolName;
import org.limpetgate.Resources;
import org.limpetgate.RouteName;
import org.limpetgate.TaskId;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.Upstream;
import org.limpetgate.dispatch.TaskRequest;
import org.limpetgate.net.http.ErrorReply;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.platform.LeaseId;
import org.limpetgate.platform.LeaseState;
import org.limpetgate.platform.LeaseStatus;
import org.limpetgate.platform.WorkerService;
import org.limpetgate.platform.WorkerTask;
import org.limpetgate.platform.WorkerUsage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link WorkerGateway} with a fake of the platform's workers.
 */
class WorkerGatewayTests {

	private static final Resources RESOURCES = new Resources(2, 512, 0);

	private static final Upstream WORKER = new Upstream(UpstreamId.of("w1"), DataCentreId.of("oviedo"), "127.0.0.1", 1,
			0, new Resources(16, 32_000, 0), "rack-1");

	/**
	 * Each case gives the worker's answers to the run and to a subsequent stop. Guards
	 * against a second start of a task that may have run, against a known answer that is
	 * discarded, and against a lost announcement that the worker is leaving.
	 */
	@Example
	void mapsEachLeaseEndToItsOutcome() {
		record Case(Object run, Object stop, Outcome outcome, boolean leaving) {
		}
		DispatchException lost = error(ErrorKind.PLATFORM_UNAVAILABLE, Outcome.UNKNOWN);
		List<Case> cases = List.of(new Case(status(LeaseState.COMPLETE, false), null, Outcome.COMPLETE, false),
				new Case(status(LeaseState.COMPLETE, true), null, Outcome.COMPLETE, true),
				new Case(status(LeaseState.FAILED, false), null, Outcome.FAILED, false),
				new Case(status(LeaseState.STOPPED, false), null, Outcome.FAILED, false),
				new Case(status(LeaseState.LAPSED, false), null, Outcome.UNKNOWN, false),
				new Case(status(LeaseState.TOMBSTONE, false), null, Outcome.NOT_RUN, false),
				new Case(error(ErrorKind.OVERLOADED, Outcome.NOT_RUN), null, Outcome.NOT_RUN, false),
				new Case(error(ErrorKind.SHUTTING_DOWN, Outcome.NOT_RUN), null, Outcome.NOT_RUN, true),
				new Case(lost, status(LeaseState.TOMBSTONE, false), Outcome.NOT_RUN, false),
				new Case(lost, status(LeaseState.COMPLETE, false), Outcome.COMPLETE, false),
				new Case(lost, status(LeaseState.STOPPED, false), Outcome.FAILED, false),
				new Case(lost, status(LeaseState.LAPSED, false), Outcome.UNKNOWN, false),
				new Case(lost, status(LeaseState.UNSEEN, false), Outcome.UNKNOWN, false),
				new Case(lost, lost, Outcome.UNKNOWN, false),
				new Case(lost, error(ErrorKind.PLATFORM_UNAVAILABLE, Outcome.NOT_RUN), Outcome.UNKNOWN, false),
				new Case(status(LeaseState.RUNNING, false), status(LeaseState.STOPPED, false), Outcome.FAILED, false),
				new Case(status(LeaseState.RUNNING, false), status(LeaseState.COMPLETE, false), Outcome.COMPLETE,
						false));
		for (Case testCase : cases) {
			FakeWorkers workers = new FakeWorkers(testCase.run, testCase.stop);
			UpstreamGateway.Exchange exchange = start(workers);
			assertThat(outcome(exchange)).as(testCase.toString()).isEqualTo(testCase.outcome);
			assertThat(exchange.isUpstreamLeaving()).as(testCase.toString()).isEqualTo(testCase.leaving);
			assertThat(workers.runs).as(testCase.toString()).isEqualTo(1);
			assertThat(workers.stops).as(testCase.toString()).isEqualTo((testCase.stop != null) ? 1 : 0);
		}
	}

	/** Guards against a lease that ends before the deadline of its task. */
	@Example
	void leaseLastsUntilTheDeadline() {
		FakeWorkers workers = new FakeWorkers(status(LeaseState.COMPLETE, false), null);
		start(workers);
		assertThat(workers.leaseDuration).isGreaterThanOrEqualTo(Duration.ofSeconds(3));
		assertThat(workers.task.resources()).isEqualTo(RESOURCES);
	}

	private static UpstreamGateway.Exchange start(FakeWorkers workers) {
		WorkerGateway gateway = new WorkerGateway(workers, Incarnation.of(HostId.of("h"), 1), () -> 1000L);
		TaskRequest task = new TaskRequest(TaskId.of(1), CallerId.of("c"), RouteName.of("r"), PoolName.of("p"), false,
				RESOURCES, 0, 5_000_000_000L, 0);
		HttpCall call = new HttpCall("POST", "/x", Map.of(), new byte[] { 1 });
		return gateway.start(WORKER,
				new UpstreamGateway.AttemptRequest(AttemptId.of(1), task, call, Duration.ofSeconds(3).toNanos()));
	}

	private static Outcome outcome(UpstreamGateway.Exchange exchange) {
		assertThat(exchange.answer()).isDone();
		return exchange.answer()
			.handle((reply, failure) -> (failure != null) ? ErrorReply.toDispatchException(failure).outcome()
					: (reply.status() < 500) ? Outcome.COMPLETE : Outcome.FAILED)
			.join();
	}

	private static LeaseStatus status(LeaseState state, boolean leaving) {
		return new LeaseStatus(state, new byte[0], 0, 0, leaving);
	}

	private static DispatchException error(ErrorKind kind, Outcome outcome) {
		return DispatchException.of(kind, outcome, "fake");
	}

	/** Answers immediately with the given states or failures. */
	private static final class FakeWorkers implements WorkerService {

		private final Object run;

		private final Object stop;

		private int runs;

		private int stops;

		private Duration leaseDuration;

		private WorkerTask task;

		FakeWorkers(Object run, Object stop) {
			this.run = run;
			this.stop = stop;
		}

		private static CompletableFuture<LeaseStatus> answer(Object answer) {
			return (answer instanceof LeaseStatus status) ? CompletableFuture.completedFuture(status)
					: CompletableFuture.failedFuture((DispatchException) answer);
		}

		@Override
		public CompletableFuture<LeaseStatus> run(LeaseId leaseId, UpstreamId workerId, WorkerTask workerTask,
				Duration duration, Duration maxWait) {
			this.runs++;
			this.leaseDuration = duration;
			this.task = workerTask;
			return answer(this.run);
		}

		@Override
		public CompletableFuture<LeaseStatus> stop(LeaseId leaseId, UpstreamId workerId) {
			this.stops++;
			return answer(this.stop);
		}

		@Override
		public CompletableFuture<LeaseStatus> renew(LeaseId leaseId, UpstreamId workerId, Duration duration) {
			throw new AssertionError("a lease lasts until the deadline and needs no renewal");
		}

		@Override
		public CompletableFuture<LeaseStatus> status(LeaseId leaseId, UpstreamId workerId, Duration maxWait) {
			throw new AssertionError("not used");
		}

		@Override
		public CompletableFuture<LeaseStatus> throttle(LeaseId leaseId, UpstreamId workerId, double share) {
			throw new AssertionError("not used");
		}

		@Override
		public CompletableFuture<String> checkpoint(LeaseId leaseId, UpstreamId workerId) {
			throw new AssertionError("not used");
		}

		@Override
		public CompletableFuture<WorkerUsage> usage(UpstreamId workerId) {
			throw new AssertionError("not used");
		}

	}

}
