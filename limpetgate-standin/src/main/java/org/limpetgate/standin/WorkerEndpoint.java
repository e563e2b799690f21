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
 * Handles the lease requests of a {@link WorkerStandIn}.
 * <p>
 * Thread-safe: the state is confined to one event loop.
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

	private final List<PendingRequest> pendingRequests = new ArrayList<>();

	private ScheduledFuture<?> nextTick;

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

	CompletableFuture<StandInResponse> handle(HttpCall call, Query query) {
		return StandIns.callOn(this.loop, () -> route(call, query));
	}

	private CompletableFuture<StandInResponse> route(HttpCall call, Query query) {
		if (!query.segment(2).equals(this.settings.id().value())) {
			return completed(StandInResponse.error(421, Outcome.NOT_RUN, "this is worker " + this.settings.id(), 0));
		}
		long now = this.clock.getAsLong();
		if (query.segment(3).equals("usage")) {
			return completed(StandInResponse.complete(200, Map.of("content-type", "application/json"),
					WorkerCodec.encodeUsage(this.leases.usage(now))));
		}
		LeaseId lease = LeaseId.parse(query.segment(LEASE_SEGMENT));
		String operation = call.method()
				+ ((query.segments().size() > LEASE_SEGMENT + 1) ? " " + query.segment(LEASE_SEGMENT + 1) : "");
		try {
			return switch (operation) {
				case "POST" -> run(lease, call, query, now);
				case "GET" -> await(lease, this.leases.status(lease, now), query.number("waitMillis", 0, MAX_MILLIS));
				case "DELETE" -> completed(toResponse(this.leases.stop(lease, now)));
				case "POST renew" -> completed(toResponse(this.leases.renew(lease, leaseNanos(query), now)));
				case "POST throttle" ->
					completed(toResponse(this.leases.throttle(lease, Double.parseDouble(query.text("share")), now)));
				case "POST checkpoint" ->
					completed(StandInResponse.json(200, Map.of("checkpoint", this.leases.checkpoint(lease, now))));
				default -> throw new IllegalArgumentException("no such operation; see docs/platform-protocol.md");
			};
		}
		finally {
			processEndedLeases();
		}
	}

	private CompletableFuture<StandInResponse> run(LeaseId lease, HttpCall call, Query query, long now) {
		Resources resources = new Resources(Double.parseDouble(query.text("cores")),
				query.number("memoryMb", 0, Long.MAX_VALUE), (int) query.number("accelerators", 0, Integer.MAX_VALUE));
		WorkerTask task = new WorkerTask(call.body(), resources, query.number("deadlineNanos", 0, Long.MAX_VALUE),
				query.text("resumeFrom"));
		long waitMillis = query.number("waitMillis", 0, MAX_MILLIS);
		TaskBody body = TaskBody.parse(call.body(), this.settings.defaultRunMillis());
		UpstreamFaults.Fault fault = (this.random.nextDouble() < this.faults.share()) ? this.faults.fault()
				: UpstreamFaults.Fault.NONE;
		boolean seen = this.leases.isSeen(lease);
		LeaseStatus status = this.leases.start(lease, task, simulatedRun(body, fault), leaseNanos(query), now);
		if (!seen) {
			this.starts.recordStart(body.id());
		}
		return switch (fault) {
			case CLOSE -> completed(StandInResponse.closeConnection());
			case TRUNCATE -> await(lease, status, waitMillis).thenApply(StandInResponse::truncated);
			case LATE -> delay(await(lease, status, waitMillis));
			default -> await(lease, status, waitMillis);
		};
	}

	private LeaseTable.SimulatedRun simulatedRun(TaskBody body, UpstreamFaults.Fault fault) {
		long work = TimeUnit.MILLISECONDS.toNanos(body.runMillis());
		return switch (fault) {
			case FAIL -> new LeaseTable.SimulatedRun(0, true);
			case HANG -> new LeaseTable.SimulatedRun(Long.MAX_VALUE, false);
			case SLOW -> new LeaseTable.SimulatedRun(work + TimeUnit.MILLISECONDS.toNanos(this.faults.delayMillis()),
					body.fail());
			default -> new LeaseTable.SimulatedRun(work, body.fail());
		};
	}

	private CompletableFuture<StandInResponse> delay(CompletableFuture<StandInResponse> response) {
		CompletableFuture<StandInResponse> delayed = new CompletableFuture<>();
		response.thenAccept((value) -> this.loop.schedule(() -> delayed.complete(value), this.faults.delayMillis(),
				TimeUnit.MILLISECONDS));
		return delayed;
	}

	private CompletableFuture<StandInResponse> await(LeaseId lease, LeaseStatus status, long waitMillis) {
		if (status.state().isEnded() || waitMillis == 0) {
			return completed(toResponse(status));
		}
		CompletableFuture<StandInResponse> response = new CompletableFuture<>();
		PendingRequest request = new PendingRequest(lease, response);
		this.pendingRequests.add(request);
		ScheduledFuture<?> timer = this.loop.schedule(() -> {
			this.pendingRequests.remove(request);
			complete(request, this.clock.getAsLong());
			processEndedLeases();
		}, waitMillis, TimeUnit.MILLISECONDS);
		response.whenComplete((value, error) -> timer.cancel(false));
		return response;
	}

	private void processEndedLeases() {
		long now = this.clock.getAsLong();
		this.leases.tick(now);
		Iterator<PendingRequest> requests = this.pendingRequests.iterator();
		List<PendingRequest> ended = new ArrayList<>();
		while (requests.hasNext()) {
			PendingRequest request = requests.next();
			if (this.leases.isEnded(request.lease)) {
				requests.remove();
				ended.add(request);
			}
		}
		// Uses the same time as above: at a later time more tasks could end here, after
		// their requests were skipped in the loop.
		ended.forEach((request) -> complete(request, now));
		scheduleNextTick(now);
	}

	private void complete(PendingRequest request, long now) {
		try {
			request.response.complete(toResponse(this.leases.status(request.lease, now)));
		}
		catch (RuntimeException ex) {
			request.response.complete(StandInResponse.error(ex));
		}
	}

	private void scheduleNextTick(long now) {
		if (this.nextTick != null) {
			this.nextTick.cancel(false);
			this.nextTick = null;
		}
		long next = this.leases.nextWakeNanos();
		if (next != Long.MAX_VALUE) {
			this.nextTick = this.loop.schedule(this::processEndedLeases, Math.max(0, next - now), TimeUnit.NANOSECONDS);
		}
	}

	private static long leaseNanos(Query query) {
		return TimeUnit.MILLISECONDS.toNanos(query.number("leaseMillis", 1, MAX_MILLIS));
	}

	private static StandInResponse toResponse(LeaseStatus status) {
		return new StandInResponse(WorkerCodec.encodeStatus(status), StandInResponse.Delivery.COMPLETE);
	}

	private static CompletableFuture<StandInResponse> completed(StandInResponse response) {
		return CompletableFuture.completedFuture(response);
	}

	/**
	 * A long-poll request that waits for the end of a task.
	 *
	 * @param lease the lease
	 * @param response the response
	 */
	private record PendingRequest(LeaseId lease, CompletableFuture<StandInResponse> response) {
	}

}
