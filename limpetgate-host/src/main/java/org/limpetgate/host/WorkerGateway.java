package org.limpetgate.host;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.Upstream;
import org.limpetgate.net.http.ErrorReply;
import org.limpetgate.net.http.HttpReply;
import org.limpetgate.platform.LeaseId;
import org.limpetgate.platform.LeaseState;
import org.limpetgate.platform.LeaseStatus;
import org.limpetgate.platform.WorkerService;
import org.limpetgate.platform.WorkerTask;

/**
 * Runs attempts on workers under leases.
 * <p>
 * The lease lasts until the deadline of the task, so that no renewal is needed and a task
 * whose host has crashed is stopped by then. When the answer to a start is lost, the
 * lease is stopped: a tombstone proves that the task did not run, and an ended lease
 * still provides the answer. Thread-safe.
 */
public final class WorkerGateway implements UpstreamGateway {

	/**
	 * Time allowed for the answer of a worker to arrive after the deadline of its task.
	 */
	private static final Duration ANSWER_GRACE = Duration.ofMillis(200);

	private static final int OK = 200;

	private static final int SERVER_ERROR = 500;

	private final WorkerService workers;

	private final Incarnation self;

	private final LongSupplier clock;

	/**
	 * Creates a gateway.
	 * @param workers the platform's workers, not null
	 * @param self this incarnation, which holds the leases, not null
	 * @param clock returns the current time in nanoseconds since the Unix epoch, not null
	 */
	public WorkerGateway(WorkerService workers, Incarnation self, LongSupplier clock) {
		this.workers = workers;
		this.self = self;
		this.clock = clock;
	}

	@Override
	public Exchange start(Upstream upstream, AttemptRequest request) {
		LeaseId lease = LeaseId.of(this.self, request.attempt(), this.clock.getAsLong());
		WorkerTask task = WorkerTask.of(request.call().body(), request.task().resources(),
				request.task().deadlineNanos());
		Duration leaseDuration = Duration.ofNanos(Math.max(request.timeoutNanos(), TimeUnit.MILLISECONDS.toNanos(1)))
			.plus(ANSWER_GRACE);
		LeaseExchange exchange = new LeaseExchange(this.workers, lease, upstream.id());
		exchange.run(task, leaseDuration);
		return exchange;
	}

	private static final class LeaseExchange implements Exchange {

		private final WorkerService workers;

		private final LeaseId lease;

		private final UpstreamId worker;

		private final CompletableFuture<HttpReply> answer = new CompletableFuture<>();

		private volatile boolean leaving;

		LeaseExchange(WorkerService workers, LeaseId lease, UpstreamId worker) {
			this.workers = workers;
			this.lease = lease;
			this.worker = worker;
		}

		void run(WorkerTask task, Duration leaseDuration) {
			this.workers.run(this.lease, this.worker, task, leaseDuration, leaseDuration)
				.whenComplete((status, failure) -> {
					if (failure != null) {
						startFailed(ErrorReply.toDispatchException(failure));
					}
					else if (status.state().isEnded()) {
						leaseEnded(status);
					}
					else {
						cancel();
					}
				});
		}

		// A request that provably did not start the task needs no stop, since the lease
		// had no earlier request.
		private void startFailed(DispatchException error) {
			this.leaving = error.kind() == ErrorKind.SHUTTING_DOWN;
			if (error.outcome() == Outcome.NOT_RUN) {
				this.answer.completeExceptionally(error);
				return;
			}
			stop(error.getMessage());
		}

		private void stop(String reason) {
			this.workers.stop(this.lease, this.worker).whenComplete((status, failure) -> {
				if (failure != null) {
					this.answer.completeExceptionally(DispatchException.of(ErrorKind.LEASE_LAPSED, Outcome.UNKNOWN,
							reason + "; the lease could not be stopped"));
				}
				else {
					leaseEnded(status);
				}
			});
		}

		private void leaseEnded(LeaseStatus status) {
			this.leaving = status.leaving();
			if (status.state() == LeaseState.COMPLETE || status.state() == LeaseState.FAILED) {
				int code = (status.state() == LeaseState.COMPLETE) ? OK : SERVER_ERROR;
				this.answer.complete(new HttpReply(code, Map.of(), status.response()));
				return;
			}
			this.answer.completeExceptionally(DispatchException.of(ErrorKind.LEASE_LAPSED, status.state().outcome(),
					"lease " + this.lease + " at worker '" + this.worker + "' is " + status.state().text()));
		}

		@Override
		public CompletableFuture<HttpReply> answer() {
			return this.answer;
		}

		@Override
		public boolean isUpstreamLeaving() {
			return this.leaving;
		}

		@Override
		public void cancel() {
			stop("cancelled");
		}

	}

}
