package org.limpetgate.standin;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import org.limpetgate.Outcome;
import org.limpetgate.net.http.HeaderNames;
import org.limpetgate.net.http.HttpCall;

/**
 * Stand-in for a runner: an HTTP service with a limited number of slots that echoes the
 * body of a request after the time in the header {@code X-Run-Millis}.
 * <p>
 * Starts are counted by the id in the header {@code X-Request-Id}; {@code GET /starts}
 * returns the counts. Faults can be injected by method call or with {@code POST /faults}.
 * Thread-safe: the state is confined to one event loop.
 */
public final class RunnerStandIn implements AutoCloseable {

	private static final long MAX_RUN_MILLIS = 3_600_000;

	private final RunnerSettings settings;

	private final EventExecutor loop;

	private final StartCounter starts;

	private final RandomGenerator random;

	private final StandInServer server;

	private final Queue<PendingRequest> queued = new ArrayDeque<>();

	private int running;

	private volatile int peakRunning;

	private volatile UpstreamFaults faults = UpstreamFaults.NONE;

	private RunnerStandIn(EventLoopGroup group, InetSocketAddress bind, RunnerSettings settings, StartCounter starts) {
		this.settings = settings;
		this.loop = group.next();
		this.starts = starts;
		this.random = new Random(settings.id().hashCode());
		this.server = StandInServer.start(group, bind, settings.maxConnections(), this::handle);
	}

	/**
	 * Starts a stand-in on an ephemeral loopback port.
	 * @param group the event loops, which stay open when the stand-in is closed, not null
	 * @param settings the settings, not null
	 * @param starts counts the starts, not null
	 * @return the stand-in, not null
	 */
	public static RunnerStandIn start(EventLoopGroup group, RunnerSettings settings, StartCounter starts) {
		return start(group, StandIns.ephemeral(), settings, starts);
	}

	/**
	 * Starts a stand-in.
	 * @param group the event loops, which stay open when the stand-in is closed, not null
	 * @param bind the address to listen on, not null
	 * @param settings the settings, not null
	 * @param starts counts the starts, not null
	 * @return the stand-in, not null
	 */
	public static RunnerStandIn start(EventLoopGroup group, InetSocketAddress bind, RunnerSettings settings,
			StartCounter starts) {
		return new RunnerStandIn(group, bind, settings, starts);
	}

	/**
	 * Returns the address it listens on.
	 * @return the address, not null
	 */
	public InetSocketAddress address() {
		return this.server.address();
	}

	/**
	 * Returns the highest number of concurrent requests so far.
	 * @return the number
	 */
	public int peakRunning() {
		return this.peakRunning;
	}

	/**
	 * Replaces all faults. Returns when they are in effect.
	 * @param faults the faults, not null
	 */
	public void setFaults(UpstreamFaults faults) {
		StandIns.runOn(this.loop, () -> this.faults = faults);
	}

	private CompletableFuture<StandInResponse> handle(HttpCall call, CompletableFuture<Void> closed) {
		return StandIns.callOn(this.loop, () -> route(call, closed));
	}

	private CompletableFuture<StandInResponse> route(HttpCall call, CompletableFuture<Void> closed) {
		return switch (call.path()) {
			case "/faults" -> CompletableFuture.completedFuture(handleFaults(call));
			case "/starts" -> CompletableFuture.completedFuture(startCounts());
			default -> accept(call, closed);
		};
	}

	private StandInResponse handleFaults(HttpCall call) {
		if (call.method().equals("POST")) {
			this.faults = StandIns.parse(call.body(), UpstreamFaults.class);
		}
		return StandInResponse.json(200, this.faults);
	}

	private StandInResponse startCounts() {
		return StandInResponse.json(200, StartCounts.of(this.starts));
	}

	private CompletableFuture<StandInResponse> accept(HttpCall call, CompletableFuture<Void> closed) {
		if (this.faults.leaving()) {
			return CompletableFuture.completedFuture(StandInResponse.json(503,
					headers(Map.of(HeaderNames.LEAVING, "true", HeaderNames.OUTCOME, Outcome.NOT_RUN.text())),
					Map.of("message", "the runner is leaving; send the request to another runner")));
		}
		PendingRequest request = new PendingRequest(call, closed, runMillis(call), new CompletableFuture<>());
		if (this.running < this.settings.slots()) {
			start(request);
		}
		else if (this.queued.size() < this.settings.maxQueued()) {
			this.queued.add(request);
		}
		else {
			request.response
				.complete(StandInResponse.error(503, Outcome.NOT_RUN, "all slots are busy and the queue is full", 0));
		}
		return request.response;
	}

	private long runMillis(HttpCall call) {
		String header = call.header("x-run-millis");
		long millis = header.isEmpty() ? this.settings.defaultRunMillis() : Long.parseLong(header);
		if (millis < 0 || millis > MAX_RUN_MILLIS) {
			throw new IllegalArgumentException("X-Run-Millis must be from 0 to " + MAX_RUN_MILLIS);
		}
		return millis;
	}

	private void start(PendingRequest request) {
		this.running++;
		this.peakRunning = Math.max(this.peakRunning, this.running);
		this.starts.recordStart(request.call.header("x-request-id"));
		UpstreamFaults.Fault fault = (this.random.nextDouble() < this.faults.share()) ? this.faults.fault()
				: UpstreamFaults.Fault.NONE;
		switch (fault) {
			case FAIL -> {
				request.response.complete(StandInResponse.complete(500, headers(Map.of()), new byte[0]));
				release();
			}
			case HANG -> request.closed.thenRun(() -> this.loop.execute(this::release));
			case CLOSE -> {
				request.response.complete(StandInResponse.closeConnection());
				runAfter(request.runMillis, this::release);
			}
			case TRUNCATE -> runAfter(request.runMillis, () -> {
				request.response.complete(echo(request).truncated());
				release();
			});
			case SLOW -> finishAfter(request, request.runMillis + this.faults.delayMillis());
			case LATE -> {
				runAfter(request.runMillis, this::release);
				runAfter(request.runMillis + this.faults.delayMillis(), () -> request.response.complete(echo(request)));
			}
			case NONE -> finishAfter(request, request.runMillis);
		}
	}

	private void finishAfter(PendingRequest request, long millis) {
		runAfter(millis, () -> {
			request.response.complete(echo(request));
			release();
		});
	}

	private void runAfter(long millis, Runnable action) {
		long nanos = (long) (TimeUnit.MILLISECONDS.toNanos(millis) / this.settings.speed());
		if (nanos == 0) {
			action.run();
			return;
		}
		this.loop.schedule(action, nanos, TimeUnit.NANOSECONDS);
	}

	private void release() {
		this.running--;
		PendingRequest next = pollConnected();
		if (next != null) {
			start(next);
		}
	}

	private PendingRequest pollConnected() {
		PendingRequest next = this.queued.poll();
		while (next != null && next.closed.isDone()) {
			next = this.queued.poll();
		}
		return next;
	}

	private StandInResponse echo(PendingRequest request) {
		Map<String, String> headers = new LinkedHashMap<>();
		copyHeader(request.call, "content-type", headers);
		copyHeader(request.call, "x-request-id", headers);
		return StandInResponse.complete(200, headers(headers), request.call.body());
	}

	private static void copyHeader(HttpCall call, String name, Map<String, String> headers) {
		if (!call.header(name).isEmpty()) {
			headers.put(name, call.header(name));
		}
	}

	private Map<String, String> headers(Map<String, String> headers) {
		Map<String, String> merged = new LinkedHashMap<>(headers);
		merged.put("x-upstream", this.settings.id().value());
		return merged;
	}

	@Override
	public void close() {
		this.server.close();
	}

	/**
	 * A running or queued request.
	 *
	 * @param call the request
	 * @param closed completes when the connection of the request is closed
	 * @param runMillis the run time at speed 1 in milliseconds
	 * @param response the response
	 */
	private record PendingRequest(HttpCall call, CompletableFuture<Void> closed, long runMillis,
			CompletableFuture<StandInResponse> response) {
	}

}
