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
 * Stand-in for a runner: an HTTP service with slots that answers a request with its own
 * body after the time in the header {@code X-Run-Millis}.
 * <p>
 * A start is counted for the id in the header {@code X-Request-Id}. Faults can be set by
 * method call or with {@code POST /faults}; {@code GET /starts} gives the counts.
 * Thread-safe: the state belongs to one event loop.
 */
public final class RunnerStandIn implements AutoCloseable {

	private static final long MAX_RUN_MILLIS = 3_600_000;

	private final RunnerSettings settings;

	private final EventExecutor loop;

	private final StartCounter starts;

	private final RandomGenerator random;

	private final StandInServer server;

	private final Queue<Run> queued = new ArrayDeque<>();

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
	 * Returns the largest number of requests that ran at the same time.
	 * @return the number
	 */
	public int peakRunning() {
		return this.peakRunning;
	}

	/**
	 * Replaces all faults. The call returns when they are in force.
	 * @param faults the faults, not null
	 */
	public void setFaults(UpstreamFaults faults) {
		StandIns.runOn(this.loop, () -> this.faults = faults);
	}

	private CompletableFuture<StandInAnswer> handle(HttpCall call, CompletableFuture<Void> closed) {
		return StandIns.callOn(this.loop, () -> route(call, closed));
	}

	private CompletableFuture<StandInAnswer> route(HttpCall call, CompletableFuture<Void> closed) {
		return switch (call.path()) {
			case "/faults" -> CompletableFuture.completedFuture(control(call));
			case "/starts" -> CompletableFuture.completedFuture(counts());
			default -> accept(call, closed);
		};
	}

	private StandInAnswer control(HttpCall call) {
		if (call.method().equals("POST")) {
			this.faults = StandIns.parse(call.body(), UpstreamFaults.class);
		}
		return StandInAnswer.json(200, this.faults);
	}

	private StandInAnswer counts() {
		return StandInAnswer.json(200, StartCounts.of(this.starts));
	}

	private CompletableFuture<StandInAnswer> accept(HttpCall call, CompletableFuture<Void> closed) {
		if (this.faults.leaving()) {
			return CompletableFuture.completedFuture(StandInAnswer.json(503,
					headers(Map.of(HeaderNames.LEAVING, "true", HeaderNames.OUTCOME, Outcome.NOT_RUN.text())),
					Map.of("message", "the runner is leaving; send the request to another one")));
		}
		Run run = new Run(call, closed, runMillis(call), new CompletableFuture<>());
		if (this.running < this.settings.slots()) {
			begin(run);
		}
		else if (this.queued.size() < this.settings.maxQueued()) {
			this.queued.add(run);
		}
		else {
			run.answer
				.complete(StandInAnswer.error(503, Outcome.NOT_RUN, "all slots and places in the queue are taken", 0));
		}
		return run.answer;
	}

	private long runMillis(HttpCall call) {
		String header = call.header("x-run-millis");
		long millis = header.isEmpty() ? this.settings.defaultRunMillis() : Long.parseLong(header);
		if (millis < 0 || millis > MAX_RUN_MILLIS) {
			throw new IllegalArgumentException("X-Run-Millis must be from 0 to " + MAX_RUN_MILLIS);
		}
		return millis;
	}

	private void begin(Run run) {
		this.running++;
		this.peakRunning = Math.max(this.peakRunning, this.running);
		this.starts.started(run.call.header("x-request-id"));
		UpstreamFaults.Fault fault = (this.random.nextDouble() < this.faults.share()) ? this.faults.fault()
				: UpstreamFaults.Fault.NONE;
		switch (fault) {
			case FAIL -> {
				run.answer.complete(StandInAnswer.whole(500, headers(Map.of()), new byte[0]));
				end();
			}
			case HANG -> run.closed.thenRun(() -> this.loop.execute(this::end));
			case CLOSE -> {
				run.answer.complete(StandInAnswer.closed());
				after(run.runMillis, this::end);
			}
			case TRUNCATE -> after(run.runMillis, () -> {
				run.answer.complete(echo(run).truncated());
				end();
			});
			case SLOW -> finishAfter(run, run.runMillis + this.faults.delayMillis());
			case LATE -> {
				after(run.runMillis, this::end);
				after(run.runMillis + this.faults.delayMillis(), () -> run.answer.complete(echo(run)));
			}
			case NONE -> finishAfter(run, run.runMillis);
		}
	}

	private void finishAfter(Run run, long millis) {
		after(millis, () -> {
			run.answer.complete(echo(run));
			end();
		});
	}

	private void after(long millis, Runnable action) {
		long nanos = (long) (TimeUnit.MILLISECONDS.toNanos(millis) / this.settings.speed());
		if (nanos == 0) {
			action.run();
			return;
		}
		this.loop.schedule(action, nanos, TimeUnit.NANOSECONDS);
	}

	private void end() {
		this.running--;
		Run next = nextOpen();
		if (next != null) {
			begin(next);
		}
	}

	private Run nextOpen() {
		Run next = this.queued.poll();
		while (next != null && next.closed.isDone()) {
			next = this.queued.poll();
		}
		return next;
	}

	private StandInAnswer echo(Run run) {
		Map<String, String> headers = new LinkedHashMap<>();
		copy(run.call, "content-type", headers);
		copy(run.call, "x-request-id", headers);
		return StandInAnswer.whole(200, headers(headers), run.call.body());
	}

	private static void copy(HttpCall call, String name, Map<String, String> headers) {
		if (!call.header(name).isEmpty()) {
			headers.put(name, call.header(name));
		}
	}

	private Map<String, String> headers(Map<String, String> headers) {
		Map<String, String> all = new LinkedHashMap<>(headers);
		all.put("x-upstream", this.settings.id().value());
		return all;
	}

	@Override
	public void close() {
		this.server.close();
	}

	/**
	 * A request that runs or waits for a slot.
	 *
	 * @param call the request
	 * @param closed completes when its connection is closed
	 * @param runMillis its run time at speed 1
	 * @param answer its answer
	 */
	private record Run(HttpCall call, CompletableFuture<Void> closed, long runMillis,
			CompletableFuture<StandInAnswer> answer) {
	}

}
