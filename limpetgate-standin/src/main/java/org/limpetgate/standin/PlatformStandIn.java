package org.limpetgate.standin;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.platform.HostListCodec;
import org.limpetgate.platform.HostListView;
import org.limpetgate.platform.ListedHost;
import org.limpetgate.platform.ListedUpstream;

/**
 * Stand-in for the platform: the log, the host list and the registered workers. Faults
 * can be injected by method call or with {@code POST /faults}, and the host list can be
 * set by method call or with {@code PUT /v1/hosts}.
 * <p>
 * The state is kept in memory only. Thread-safe: the state is confined to one event loop,
 * on which all requests are handled.
 */
public final class PlatformStandIn implements AutoCloseable {

	private static final int MAX_CONNECTIONS = 10_000;

	private final EventExecutor loop;

	private final LongSupplier clock;

	private final LogEndpoint log;

	private final HostListEndpoint hostList;

	private final Map<String, WorkerEndpoint> workers = new ConcurrentHashMap<>();

	private final StandInServer server;

	private volatile PlatformFaults faults = PlatformFaults.NONE;

	private PlatformStandIn(EventLoopGroup group, InetSocketAddress bind, LogLimits limits, Duration hostListLag,
			LongSupplier clock) {
		this.loop = group.next();
		this.clock = clock;
		this.hostList = new HostListEndpoint(hostListLag);
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
		return start(group, StandIns.ephemeral(), limits, Duration.ZERO);
	}

	/**
	 * Starts a stand-in.
	 * @param group the event loops, which stay open when the stand-in is closed, not null
	 * @param bind the address to listen on, not null
	 * @param limits the limits of the log, not null
	 * @param hostListLag the time until a change to the host list becomes visible, not
	 * null
	 * @return the stand-in, not null
	 */
	public static PlatformStandIn start(EventLoopGroup group, InetSocketAddress bind, LogLimits limits,
			Duration hostListLag) {
		return new PlatformStandIn(group, bind, limits, hostListLag, StandIns::epochNanos);
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
	public void setFaults(PlatformFaults faults) {
		StandIns.runOn(this.loop, () -> applyFaults(faults));
	}

	/**
	 * Removes records from the start of a stream. Returns when they are removed.
	 * @param stream the stream, not null
	 * @param beforeOffset the first offset to retain
	 */
	public void trim(String stream, long beforeOffset) {
		StandIns.runOn(this.loop, () -> this.log.trim(stream, beforeOffset));
	}

	/**
	 * Replaces the host list. Readers see it after the lag.
	 * @param hosts the entry hosts, not null
	 * @param upstreams the upstreams, not null
	 */
	public void setHosts(List<ListedHost> hosts, List<ListedUpstream> upstreams) {
		HostListView list = new HostListView(hosts, upstreams, 0);
		StandIns.runOn(this.loop, () -> this.hostList.update(list, this.clock.getAsLong()));
	}

	/**
	 * Registers a worker, so that it can also be reached at the address of the platform.
	 * @param worker the worker, not null
	 */
	public void addWorker(WorkerStandIn worker) {
		this.workers.put(worker.endpoint().settings().id().value(), worker.endpoint());
	}

	private void applyFaults(PlatformFaults faults) {
		this.faults = faults;
		this.log.setFaults(faults);
		this.hostList.freeze(faults.hostListFrozen(), this.clock.getAsLong());
	}

	private CompletableFuture<StandInResponse> handle(HttpCall call, CompletableFuture<Void> closed) {
		Query query = Query.of(call);
		if (query.startsWith("v1", "workers")) {
			WorkerEndpoint worker = this.workers.get(query.segment(2));
			return (worker != null) ? worker.handle(call, query)
					: CompletableFuture.completedFuture(StandInResponse.notFound(call.path()));
		}
		return StandIns.callOn(this.loop, () -> route(call, query));
	}

	private CompletableFuture<StandInResponse> route(HttpCall call, Query query) {
		if (query.startsWith("v1", "log")) {
			return this.log.handle(call, query);
		}
		return CompletableFuture.completedFuture(handleControl(call, query));
	}

	private StandInResponse handleHostList(HttpCall call) {
		if (this.faults.hostListDown()) {
			return StandInResponse.withoutOutcome(503);
		}
		if (call.method().equals("PUT")) {
			this.hostList.update(HostListCodec.decode(call.body()), this.clock.getAsLong());
			return StandInResponse.json(200, Map.of());
		}
		return this.hostList.read(Query.of(call), this.clock.getAsLong());
	}

	private StandInResponse handleControl(HttpCall call, Query query) {
		if (query.startsWith("v1", "hosts")) {
			return handleHostList(call);
		}
		if (query.startsWith("faults")) {
			if (call.method().equals("POST")) {
				applyFaults(StandIns.parse(call.body(), PlatformFaults.class));
			}
			return StandInResponse.json(200, this.faults);
		}
		if (query.startsWith("trim") && call.method().equals("POST")) {
			long beforeOffset = query.number("before", 0, Long.MAX_VALUE);
			this.log.trim(query.text("stream"), beforeOffset);
			return StandInResponse.json(200, Map.of("before", beforeOffset));
		}
		return StandInResponse.notFound(call.path());
	}

	@Override
	public void close() {
		this.server.close();
	}

}
