package org.limpetgate.host.fleet;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.fleet.WorkerOrders;
import org.limpetgate.scheduling.PollFailure;
import org.limpetgate.scheduling.SchedulingEffect;
import org.limpetgate.scheduling.StartAnswer;
import org.limpetgate.scheduling.WorkerInfo;
import org.limpetgate.scheduling.WorkerReport;

/**
 * The orders of one host to the {@link FakeWorkers}. Workers of some data centres can be
 * unreachable; orders to them have no effect and time out. So do stops that are lost.
 * Starts can be carried out late. As on the wire, an order names the id of its worker, so
 * that the present incarnation carries it out, whichever it was meant for.
 * <p>
 * Used on the event loop of the host; reachability may be changed by any thread.
 */
final class FakeWorkerOrders implements WorkerOrders {

	private static final long LATENCY_MILLIS = 1;

	private static final long TIMEOUT_MILLIS = 150;

	/** How often a pending poll is checked for ends of runs. */
	private static final long CHECK_INTERVAL_MILLIS = 10;

	private final HostId host;

	private final FakeWorkers workers;

	private final EventLoop loop;

	private final LongSupplier clock;

	private final Set<DataCentreId> unreachable = ConcurrentHashMap.newKeySet();

	private volatile boolean losingStops;

	private volatile long startDelayMillis;

	FakeWorkerOrders(HostId host, FakeWorkers workers, EventLoop loop, LongSupplier clock) {
		this.host = host;
		this.workers = workers;
		this.loop = loop;
		this.clock = clock;
	}

	void cutOff(DataCentreId dataCentre) {
		this.unreachable.add(dataCentre);
	}

	void reconnect(DataCentreId dataCentre) {
		this.unreachable.remove(dataCentre);
	}

	// From now on stops have no effect and time out.
	void loseStops() {
		this.losingStops = true;
	}

	// From now on starts are carried out after a delay, long after they have timed out;
	// 0 ends the delays.
	void delayStarts(long millis) {
		this.startDelayMillis = millis;
	}

	private boolean isReachable(WorkerInfo worker) {
		return !this.unreachable.contains(worker.dataCentre());
	}

	@Override
	public CompletableFuture<StartAnswer> start(SchedulingEffect.StartRun order) {
		if (this.startDelayMillis > 0) {
			this.loop.schedule(() -> this.workers.start(this.host, order), this.startDelayMillis,
					TimeUnit.MILLISECONDS);
			return answer(StartAnswer.UNKNOWN, TIMEOUT_MILLIS);
		}
		return isReachable(order.worker()) ? answer(this.workers.start(this.host, order), LATENCY_MILLIS)
				: answer(StartAnswer.UNKNOWN, TIMEOUT_MILLIS);
	}

	@Override
	public CompletableFuture<Boolean> stop(SchedulingEffect.StopRun order) {
		return (isReachable(order.worker()) && !this.losingStops) ? answer(this.workers.stop(order), LATENCY_MILLIS)
				: answer(false, TIMEOUT_MILLIS);
	}

	@Override
	public CompletableFuture<PollAnswer> poll(SchedulingEffect.PollWorker order) {
		CompletableFuture<PollAnswer> answer = new CompletableFuture<>();
		poll(order, this.workers.incarnationMillis(order.worker().id()), this.clock.getAsLong() + order.waitNanos(),
				answer);
		return answer;
	}

	// The connection of a waiting poll ends with the incarnation that received it.
	private void poll(SchedulingEffect.PollWorker order, long incarnationMillis, long latestNanos,
			CompletableFuture<PollAnswer> answer) {
		if (this.workers.incarnationMillis(order.worker().id()) != incarnationMillis) {
			complete(answer, new PollAnswer(null, PollFailure.NO_ANSWER), LATENCY_MILLIS);
			return;
		}
		if (!isReachable(order.worker())) {
			complete(answer, new PollAnswer(null, PollFailure.NO_ANSWER), TIMEOUT_MILLIS);
			return;
		}
		WorkerReport report = this.workers.poll(order);
		if (report == null) {
			complete(answer, new PollAnswer(null, PollFailure.FENCED), LATENCY_MILLIS);
		}
		else if (!report.ended().isEmpty() || this.clock.getAsLong() >= latestNanos) {
			complete(answer, new PollAnswer(report, null), LATENCY_MILLIS);
		}
		else {
			this.loop.schedule(() -> poll(order, incarnationMillis, latestNanos, answer), CHECK_INTERVAL_MILLIS,
					TimeUnit.MILLISECONDS);
		}
	}

	private <T> CompletableFuture<T> answer(T value, long delayMillis) {
		CompletableFuture<T> answer = new CompletableFuture<>();
		complete(answer, value, delayMillis);
		return answer;
	}

	private <T> void complete(CompletableFuture<T> answer, T value, long delayMillis) {
		this.loop.schedule(() -> answer.complete(value), delayMillis, TimeUnit.MILLISECONDS);
	}

}
