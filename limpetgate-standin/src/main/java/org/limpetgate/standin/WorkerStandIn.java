package org.limpetgate.standin;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.EventLoopGroup;
import org.limpetgate.net.http.HttpCall;

/**
 * Stand-in for a worker, which simulates the run of tasks under leases.
 * <p>
 * A task returns its own body; a body that is a JSON object may set {@code id},
 * {@code runMillis} and {@code fail}. Faults can be injected by method call or with
 * {@code POST /faults}; {@code GET /starts} returns the start counts. Thread-safe.
 */
public final class WorkerStandIn implements AutoCloseable {

	private static final int MAX_CONNECTIONS = 10_000;

	private final WorkerEndpoint endpoint;

	private final StartCounter starts;

	private final StandInServer server;

	private WorkerStandIn(EventLoopGroup group, InetSocketAddress bind, WorkerSettings settings, StartCounter starts,
			long startNanos) {
		this.starts = starts;
		LeaseTable leases = new LeaseTable(settings, startNanos);
		this.endpoint = new WorkerEndpoint(group.next(), StandIns::epochNanos, settings, leases, starts);
		this.server = StandInServer.start(group, bind, MAX_CONNECTIONS, this::handle);
	}

	/**
	 * Starts a stand-in on an ephemeral loopback port.
	 * @param group the event loops, which stay open when the stand-in is closed, not null
	 * @param settings the settings, not null
	 * @param starts counts the starts, not null
	 * @return the stand-in, not null
	 */
	public static WorkerStandIn start(EventLoopGroup group, WorkerSettings settings, StartCounter starts) {
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
	public static WorkerStandIn start(EventLoopGroup group, InetSocketAddress bind, WorkerSettings settings,
			StartCounter starts) {
		return start(group, bind, settings, starts, StandIns.epochNanos());
	}

	static WorkerStandIn start(EventLoopGroup group, InetSocketAddress bind, WorkerSettings settings,
			StartCounter starts, long startNanos) {
		return new WorkerStandIn(group, bind, settings, starts, startNanos);
	}

	/**
	 * Returns the address it listens on.
	 * @return the address, not null
	 */
	public InetSocketAddress address() {
		return this.server.address();
	}

	/**
	 * Replaces all faults. Returns when they are in effect.
	 * @param faults the faults, not null
	 */
	public void setFaults(UpstreamFaults faults) {
		this.endpoint.setFaults(faults);
	}

	WorkerEndpoint endpoint() {
		return this.endpoint;
	}

	private CompletableFuture<StandInResponse> handle(HttpCall call, CompletableFuture<Void> closed) {
		Query query = Query.of(call);
		if (query.startsWith("v1", "workers")) {
			return this.endpoint.handle(call, query);
		}
		return CompletableFuture.completedFuture(handleControl(call));
	}

	private StandInResponse handleControl(HttpCall call) {
		if (call.path().equals("/starts")) {
			return StandInResponse.json(200, StartCounts.of(this.starts));
		}
		if (!call.path().equals("/faults")) {
			return StandInResponse.notFound(call.path());
		}
		if (call.method().equals("POST")) {
			setFaults(StandIns.parse(call.body(), UpstreamFaults.class));
		}
		return StandInResponse.json(200, this.endpoint.faults());
	}

	/**
	 * Stops the stand-in as a crash of the process would: connections are closed, and
	 * leases and tombstones are lost.
	 */
	@Override
	public void close() {
		this.server.close();
	}

}
