package org.limpetgate.standin;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import org.limpetgate.Outcome;
import org.limpetgate.net.http.HttpCall;

/**
 * Stand-in for the platform: the log, with faults that can be set by method call or with
 * {@code POST /faults}.
 * <p>
 * Its state lives in memory and ends with it. Thread-safe: the state belongs to one event
 * loop, on which all requests are handled.
 */
public final class PlatformStandIn implements AutoCloseable {

	private static final int MAX_CONNECTIONS = 10_000;

	private final EventExecutor loop;

	private final LogEndpoint log;

	private final StandInServer server;

	private volatile PlatformFaults faults = PlatformFaults.NONE;

	private PlatformStandIn(EventLoopGroup group, InetSocketAddress bind, LogLimits limits, LongSupplier clock) {
		this.loop = group.next();
		this.log = new LogEndpoint(this.loop, clock, limits);
		this.server = StandInServer.start(group, bind, MAX_CONNECTIONS, this::handle);
	}

	/**
	 * Starts a stand-in on an ephemeral loopback port.
	 * @param group the event loops, which stay open when the stand-in is closed, not null
	 * @param limits the limits of the log, not null
	 * @return the stand-in, not null
	 */
	public static PlatformStandIn start(EventLoopGroup group, LogLimits limits) {
		return start(group, StandIns.ephemeral(), limits);
	}

	/**
	 * Starts a stand-in.
	 * @param group the event loops, which stay open when the stand-in is closed, not null
	 * @param bind the address to listen on, not null
	 * @param limits the limits of the log, not null
	 * @return the stand-in, not null
	 */
	public static PlatformStandIn start(EventLoopGroup group, InetSocketAddress bind, LogLimits limits) {
		return new PlatformStandIn(group, bind, limits, StandIns::epochNanos);
	}

	/**
	 * Returns the address it listens on.
	 * @return the address, not null
	 */
	public InetSocketAddress address() {
		return this.server.address();
	}

	/**
	 * Replaces all faults. The call returns when they are in force.
	 * @param faults the faults, not null
	 */
	public void setFaults(PlatformFaults faults) {
		StandIns.runOn(this.loop, () -> apply(faults));
	}

	/**
	 * Trims a stream. The call returns when it is trimmed.
	 * @param stream the stream, not null
	 * @param beforeOffset the first offset to keep
	 */
	public void trim(String stream, long beforeOffset) {
		StandIns.runOn(this.loop, () -> this.log.trim(stream, beforeOffset));
	}

	private void apply(PlatformFaults faults) {
		this.faults = faults;
		this.log.setFaults(faults);
	}

	private CompletableFuture<StandInAnswer> handle(HttpCall call, CompletableFuture<Void> closed) {
		Query query = Query.of(call);
		return StandIns.callOn(this.loop, () -> route(call, query));
	}

	private CompletableFuture<StandInAnswer> route(HttpCall call, Query query) {
		if (query.startsWith("v1", "log")) {
			return this.log.handle(call, query);
		}
		return CompletableFuture.completedFuture(control(call, query));
	}

	private StandInAnswer control(HttpCall call, Query query) {
		if (query.startsWith("faults")) {
			if (call.method().equals("POST")) {
				apply(StandIns.parse(call.body(), PlatformFaults.class));
			}
			return StandInAnswer.json(200, this.faults);
		}
		if (query.startsWith("trim") && call.method().equals("POST")) {
			long beforeOffset = query.number("before", 0, Long.MAX_VALUE);
			this.log.trim(query.text("stream"), beforeOffset);
			return StandInAnswer.json(200, Map.of("before", beforeOffset));
		}
		return StandInAnswer.error(404, Outcome.NOT_RUN, "no such path: " + call.path(), 0);
	}

	@Override
	public void close() {
		this.server.close();
	}

}
