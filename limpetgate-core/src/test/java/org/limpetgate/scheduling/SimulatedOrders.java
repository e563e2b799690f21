package org.limpetgate.scheduling;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.FleetNetwork.Impairment;
import org.limpetgate.scheduling.WorkerReport.EndKind;

/**
 * Sends the orders of a host of {@link FleetSimulation} to the workers and reports the
 * answers to its scheduler. An order may be lost, or carried out long after its timeout.
 * Not thread-safe.
 */
final class SimulatedOrders {

	/** Timeout of an order, as in {@code WorkerClient} of the platform module. */
	private static final long ORDER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	/** How frequently a worker checks whether a waiting poll can be answered. */
	private static final long POLL_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

	/** How frequently an order that a partition holds up is retransmitted. */
	private static final long RETRANSMISSION_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/** One in so many orders is carried out late. */
	private static final int LATE_ORDERS = 60;

	private static final int MAX_LATE_MILLIS = 8000;

	/** One in so many orders over an unreliable path is lost, and as many are late. */
	private static final int UNRELIABLE_ORDERS = 4;

	/** One in so many runs fails. */
	private static final int FAILED_RUNS = 40;

	private final SimulatedHost host;

	private final FleetNetwork network;

	private final Map<UpstreamId, FakeWorker> workers;

	private final Scheduler scheduler;

	SimulatedOrders(SimulatedHost host, FleetNetwork network, Map<UpstreamId, FakeWorker> workers,
			Scheduler scheduler) {
		this.host = host;
		this.network = network;
		this.workers = workers;
		this.scheduler = scheduler;
	}

	void start(SchedulingEffect.StartRun start, StepSpec step) {
		this.host.trace()
			.job(start.run().task().job(),
					"RUN_ORDERED " + start.run() + " on " + start.worker().id() + " with " + start.token().value());
		long durationNanos = durationNanos(step);
		EndKind end = (this.network.random().nextInt(FAILED_RUNS) == 0) ? EndKind.FAILED : EndKind.DONE;
		exchange(start.worker(), ORDER_TIMEOUT_NANOS, (worker, reply) -> {
			ConnectionCheck check = check(worker, start.worker(), start.token());
			if (!check.passed()) {
				reply.accept(check.startAnswer());
				return;
			}
			StartAnswer answer = worker.start(start, step.demand(), durationNanos, end, this.network.time().nowNanos());
			if (answer == StartAnswer.STARTED || answer == StartAnswer.OLD_ATTEMPT) {
				traceRenewal(worker, start.token(), "start of " + start.run());
			}
			reply.accept(answer);
		}, StartAnswer.UNKNOWN, (answer) -> this.scheduler.startAnswered(start, answer, this.host.clockNanos()));
	}

	private long durationNanos(StepSpec step) {
		return (long) (step.estimatedNanos() * (0.5 + this.network.random().nextDouble()));
	}

	void stop(SchedulingEffect.StopRun stop) {
		this.host.trace().job(stop.run().task().job(), "STOP_ORDERED " + stop.run() + " on " + stop.worker().id());
		exchange(stop.worker(), ORDER_TIMEOUT_NANOS,
				(worker, reply) -> reply.accept(check(worker, stop.worker(), stop.token()).passed()
						&& worker.stop(stop, this.network.time().nowNanos())),
				false, (confirmed) -> this.scheduler.stopAnswered(stop.worker().id(), stop.run(), confirmed,
						this.host.clockNanos()));
	}

	void poll(SchedulingEffect.PollWorker poll) {
		exchange(poll.worker(), poll.waitNanos() + ORDER_TIMEOUT_NANOS,
				(worker, reply) -> checkAndPoll(worker, poll, reply), PollAnswer.of(PollFailure.NO_ANSWER),
				(answer) -> pollAnswered(poll, answer));
	}

	private ConnectionCheck check(FakeWorker worker, WorkerInfo target, FencingToken token) {
		return ConnectionCheck.of(worker, target, token, this.network.time().nowNanos());
	}

	private void checkAndPoll(FakeWorker worker, SchedulingEffect.PollWorker poll, Consumer<PollAnswer> reply) {
		ConnectionCheck check = check(worker, poll.worker(), poll.token());
		if (check.passed()) {
			poll(worker, poll, worker.info().incarnationMillis(), this.network.time().nowNanos() + poll.waitNanos(),
					reply);
		}
		else {
			reply.accept(PollAnswer.of(check.report()));
		}
	}

	// The connection of a waiting poll ends with the incarnation that received it.
	private void poll(FakeWorker worker, SchedulingEffect.PollWorker poll, long incarnationMillis, long waitUntilNanos,
			Consumer<PollAnswer> reply) {
		long now = this.network.time().nowNanos();
		if (incarnationMillis != worker.info().incarnationMillis()) {
			reply.accept(PollAnswer.of(PollFailure.NO_ANSWER));
			return;
		}
		WorkerReport report = worker.poll(poll, now);
		if (report != null && poll.leaseEndMillis() > 0) {
			traceRenewal(worker, poll.token(), "poll");
		}
		if (report == null || !report.ended().isEmpty() || now >= waitUntilNanos) {
			reply.accept(PollAnswer.of(report));
		}
		else {
			// The poll was carried out already; only its answer is delayed.
			SchedulingEffect.PollWorker continuation = new SchedulingEffect.PollWorker(poll.worker(), poll.sequence(),
					poll.token(), 0, 0, poll.waitNanos());
			this.network.time()
				.schedule(POLL_CHECK_NANOS, () -> poll(worker, continuation, incarnationMillis, waitUntilNanos, reply));
		}
	}

	private void traceRenewal(FakeWorker worker, FencingToken token, String order) {
		worker.jobs()
			.forEach((job) -> this.host.trace()
				.job(job, "order renews the lease of " + worker.id() + ": " + order + " with " + token.value()));
	}

	private void pollAnswered(SchedulingEffect.PollWorker poll, PollAnswer answer) {
		UpstreamId id = poll.worker().id();
		if (answer.report() != null) {
			this.scheduler.reported(id, poll.sequence(), poll.token(), answer.report(), this.host.clockNanos());
			return;
		}
		this.host.trace().event("poll of " + id + " failed: " + answer.failure());
		this.scheduler.pollFailed(id, poll.sequence(), poll.token(), answer.failure(), this.host.clockNanos());
	}

	private <T> void exchange(WorkerInfo target, long timeoutNanos, Order<T> order, T noAnswer, Consumer<T> answered) {
		Exchange<T> exchange = new Exchange<>(this.workers.get(target.id()), order, answered);
		this.host.schedule(timeoutNanos, () -> exchange.complete(noAnswer));
		boolean late = this.network.random().nextInt(LATE_ORDERS) == 0;
		boolean lost = this.network.random().nextBoolean();
		if (this.network.isImpaired(Impairment.UNRELIABLE, this.host.name(), target.id().value())) {
			int fate = this.network.random().nextInt(UNRELIABLE_ORDERS);
			if (fate == 0) {
				return;
			}
			late |= fate == 1;
		}
		if (late) {
			long delayNanos = this.network.random().nextInt(MAX_LATE_MILLIS) * FleetNetwork.MILLI;
			this.network.time().schedule(Math.min(FleetNetwork.MILLI, delayNanos), exchange::accept);
			this.network.time().schedule(delayNanos, () -> exchange.deliver(lost));
			return;
		}
		this.network.time().schedule(this.network.delayNanos(), () -> exchange.deliver(lost));
	}

	/**
	 * An order that a worker carries out.
	 *
	 * @param <T> the type of its answer
	 */
	private interface Order<T> {

		void carryOut(FakeWorker worker, Consumer<T> reply);

	}

	/**
	 * An order on its way, or its answer. Only the incarnation that has accepted the
	 * connection of the order can carry it out.
	 */
	private final class Exchange<T> {

		private final FakeWorker worker;

		private final Order<T> order;

		private final Consumer<T> answered;

		/** The incarnation that has accepted the order, 0 before. */
		private long acceptedBy;

		private boolean completed;

		Exchange(FakeWorker worker, Order<T> order, Consumer<T> answered) {
			this.worker = worker;
			this.order = order;
			this.answered = answered;
		}

		// A worker that has ended accepts nothing.
		void accept() {
			boolean running = this.worker != null && SimulatedOrders.this.workers.get(this.worker.id()) == this.worker;
			if (this.acceptedBy == 0 && running) {
				this.acceptedBy = this.worker.info().incarnationMillis();
			}
		}

		// An order that meets a partition is lost, or delivered when that has ended.
		void deliver(boolean lostInPartition) {
			SimulatedOrders outer = SimulatedOrders.this;
			accept();
			if (this.acceptedBy == 0 || this.acceptedBy != this.worker.info().incarnationMillis()) {
				return;
			}
			if (outer.network.isOpen(outer.host.name(), this.worker.id().value())) {
				this.order.carryOut(this.worker, this::reply);
			}
			else if (!lostInPartition
					&& !outer.network.isImpaired(Impairment.LOSSY, outer.host.name(), this.worker.id().value())) {
				outer.network.time().schedule(RETRANSMISSION_NANOS, () -> deliver(false));
			}
		}

		private void reply(T answer) {
			SimulatedOrders outer = SimulatedOrders.this;
			boolean lost = outer.network.isImpaired(Impairment.UNRELIABLE, this.worker.id().value(), outer.host.name())
					&& outer.network.random().nextBoolean();
			if (!lost && outer.network.isOpen(this.worker.id().value(), outer.host.name())) {
				outer.host.schedule(outer.network.delayNanos(), () -> complete(answer));
			}
		}

		void complete(T answer) {
			if (!this.completed) {
				this.completed = true;
				this.answered.accept(answer);
			}
		}

	}

	/**
	 * The answer to a poll.
	 *
	 * @param report the report, null if the poll failed
	 * @param failure why it failed, null if it did not
	 */
	private record PollAnswer(WorkerReport report, PollFailure failure) {

		// A worker that rejects the token returns no report.
		static PollAnswer of(WorkerReport report) {
			return (report != null) ? new PollAnswer(report, null) : of(PollFailure.FENCED);
		}

		static PollAnswer of(PollFailure failure) {
			return new PollAnswer(null, failure);
		}

	}

}
