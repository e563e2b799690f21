package org.limpetgate.standin;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import org.limpetgate.Outcome;
import org.limpetgate.Resources;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.platform.WorkerCodec;
import org.limpetgate.platform.LeaseId;
import org.limpetgate.platform.LeaseStatus;
import org.limpetgate.platform.WorkerTask;

/**
 * The lease requests of a {@link WorkerStandIn}.
 * <p>
 * Requests may come on any thread; the state belongs to one event loop.
 */
final class WorkerEndpoint {

	private static final long MAX_MILLIS = 3_600_000;

	private static final int LEASE_SEGMENT = 4;

	private final WorkerSettings settings;

	private final EventExecutor loop;

	private final LongSupplier clock;

	private final LeaseTable leases;

	private final StartCounter starts;

	private final RandomGenerator random;

	private final List<Waiting> waiting = new ArrayList<>();

	private ScheduledFuture<?> wake;

	private volatile UpstreamFaults faults = UpstreamFaults.NONE;

	WorkerEndpoint(EventExecutor loop, LongSupplier clock, WorkerSettings settings, LeaseTable leases,
			StartCounter starts) {
		this.settings = settings;
		this.loop = loop;
		this.clock = clock;
		this.starts = starts;
		this.leases = leases;
		this.random = new Random(settings.id().hashCode());
	}

	WorkerSettings settings() {
		return this.settings;
	}

	UpstreamFaults faults() {
		return this.faults;
	}

	void setFaults(UpstreamFaults faults) {
		StandIns.runOn(this.loop, () -> {
			this.faults = faults;
			this.leases.setLeaving(faults.leaving());
		});
	}

	CompletableFuture<StandInAnswer> handle(HttpCall call, Query query) {
		return StandIns.callOn(this.loop, () -> route(call, query));
	}

	private CompletableFuture<StandInAnswer> route(HttpCall call, Query query) {
		if (!query.segment(2).equals(this.settings.id().value())) {
			return done(StandInAnswer.error(421, Outcome.NOT_RUN, "this is worker " + this.settings.id(), 0));
		}
		long now = this.clock.getAsLong();
		if (query.segment(3).equals("usage")) {
			return done(StandInAnswer.whole(200, Map.of("content-type", "application/json"),
					WorkerCodec.encodeUsage(this.leases.usage(now))));
		}
		LeaseId lease = LeaseId.parse(query.segment(LEASE_SEGMENT));
		String operation = call.method()
				+ ((query.segments().size() > LEASE_SEGMENT + 1) ? " " + query.segment(LEASE_SEGMENT + 1) : "");
		try {
			return switch (operation) {
				case "POST" -> run(lease, call, query, now);
				case "GET" -> await(lease, this.leases.status(lease, now), query.number("waitMillis", 0, MAX_MILLIS));
				case "DELETE" -> done(answer(this.leases.stop(lease, now)));
				case "POST renew" -> done(answer(this.leases.renew(lease, leaseNanos(query), now)));
				case "POST throttle" ->
					done(answer(this.leases.throttle(lease, Double.parseDouble(query.text("share")), now)));
				case "POST checkpoint" ->
					done(StandInAnswer.json(200, Map.of("checkpoint", this.leases.checkpoint(lease, now))));
				default -> throw new IllegalArgumentException("no such operation; see docs/platform-protocol.md");
			};
		}
		finally {
			changed();
		}
	}

	private CompletableFuture<StandInAnswer> run(LeaseId lease, HttpCall call, Query query, long now) {
		Resources resources = new Resources(Double.parseDouble(query.text("cores")),
				query.number("memoryMb", 0, Long.MAX_VALUE), (int) query.number("accelerators", 0, Integer.MAX_VALUE));
		WorkerTask task = new WorkerTask(call.body(), resources, query.number("deadlineNanos", 0, Long.MAX_VALUE),
				query.text("resumeFrom"));
		long waitMillis = query.number("waitMillis", 0, MAX_MILLIS);
		TaskProgram program = TaskProgram.parse(call.body(), this.settings.defaultRunMillis());
		UpstreamFaults.Fault fault = (this.random.nextDouble() < this.faults.share()) ? this.faults.fault()
				: UpstreamFaults.Fault.NONE;
		boolean seen = this.leases.isSeen(lease);
		LeaseStatus status = this.leases.start(lease, task, program(program, fault), leaseNanos(query), now);
		if (!seen) {
			this.starts.started(program.id());
		}
		return switch (fault) {
			case CLOSE -> done(StandInAnswer.closed());
			case TRUNCATE -> await(lease, status, waitMillis).thenApply(StandInAnswer::truncated);
			case LATE -> late(await(lease, status, waitMillis));
			default -> await(lease, status, waitMillis);
		};
	}

	private LeaseTable.Program program(TaskProgram program, UpstreamFaults.Fault fault) {
		long work = TimeUnit.MILLISECONDS.toNanos(program.runMillis());
		return switch (fault) {
			case FAIL -> new LeaseTable.Program(0, true);
			case HANG -> new LeaseTable.Program(Long.MAX_VALUE, false);
			case SLOW ->
				new LeaseTable.Program(work + TimeUnit.MILLISECONDS.toNanos(this.faults.delayMillis()), program.fail());
			default -> new LeaseTable.Program(work, program.fail());
		};
	}

	private CompletableFuture<StandInAnswer> late(CompletableFuture<StandInAnswer> answer) {
		CompletableFuture<StandInAnswer> late = new CompletableFuture<>();
		answer.thenAccept((value) -> this.loop.schedule(() -> late.complete(value), this.faults.delayMillis(),
				TimeUnit.MILLISECONDS));
		return late;
	}

	private CompletableFuture<StandInAnswer> await(LeaseId lease, LeaseStatus status, long waitMillis) {
		if (status.state().isEnded() || waitMillis == 0) {
			return done(answer(status));
		}
		CompletableFuture<StandInAnswer> answer = new CompletableFuture<>();
		Waiting request = new Waiting(lease, answer);
		this.waiting.add(request);
		ScheduledFuture<?> timer = this.loop.schedule(() -> {
			this.waiting.remove(request);
			complete(request, this.clock.getAsLong());
			changed();
		}, waitMillis, TimeUnit.MILLISECONDS);
		answer.whenComplete((value, error) -> timer.cancel(false));
		return answer;
	}

	private void changed() {
		long now = this.clock.getAsLong();
		this.leases.tick(now);
		Iterator<Waiting> requests = this.waiting.iterator();
		List<Waiting> ended = new ArrayList<>();
		while (requests.hasNext()) {
			Waiting request = requests.next();
			if (this.leases.isEnded(request.lease)) {
				requests.remove();
				ended.add(request);
			}
		}
		// At a later time more tasks could end here, whose waiting requests were passed
		// over
		// above.
		ended.forEach((request) -> complete(request, now));
		schedule(now);
	}

	private void complete(Waiting request, long now) {
		try {
			request.answer.complete(answer(this.leases.status(request.lease, now)));
		}
		catch (RuntimeException ex) {
			request.answer.complete(StandInAnswer.error(ex));
		}
	}

	private void schedule(long now) {
		if (this.wake != null) {
			this.wake.cancel(false);
			this.wake = null;
		}
		long next = this.leases.nextWakeNanos();
		if (next != Long.MAX_VALUE) {
			this.wake = this.loop.schedule(this::changed, Math.max(0, next - now), TimeUnit.NANOSECONDS);
		}
	}

	private static long leaseNanos(Query query) {
		return TimeUnit.MILLISECONDS.toNanos(query.number("leaseMillis", 1, MAX_MILLIS));
	}

	private static StandInAnswer answer(LeaseStatus status) {
		return new StandInAnswer(WorkerCodec.encodeStatus(status), StandInAnswer.Delivery.WHOLE);
	}

	private static CompletableFuture<StandInAnswer> done(StandInAnswer answer) {
		return CompletableFuture.completedFuture(answer);
	}

	/**
	 * A request that waits for the end of a task.
	 *
	 * @param lease the lease
	 * @param answer the answer
	 */
	private record Waiting(LeaseId lease, CompletableFuture<StandInAnswer> answer) {
	}

}
