package org.limpetgate.net.http;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.EventLoopGroup;

/**
 * An HTTP/1.1 client for upstreams that sends and receives complete messages, without
 * streaming.
 * <p>
 * A connection carries one exchange at a time and is reused only after a complete,
 * well-formed response. The outcome of a failure indicates whether the request may have
 * run: {@link org.limpetgate.Outcome#NOT_RUN} if the operating system accepted no byte of
 * it or the upstream reported that it did not run, else
 * {@link org.limpetgate.Outcome#UNKNOWN}.
 * <p>
 * The connections to one address share one event loop. Thread-safe.
 */
public final class HttpClient {

	private final EventLoopGroup group;

	private final HttpClientLimits limits;

	private final HttpClientMetrics metrics;

	private final BufferBudget budget;

	private final ConcurrentMap<InetSocketAddress, ConnectionPool> pools = new ConcurrentHashMap<>();

	private final AtomicLong nextExchange = new AtomicLong(1);

	private HttpClient(EventLoopGroup group, HttpClientLimits limits, HttpClientMetrics metrics) {
		this.group = group;
		this.limits = limits;
		this.metrics = metrics;
		this.budget = new BufferBudget(limits.maxBufferedBytes());
	}

	/**
	 * Returns a client without metrics.
	 * @param group the event loops, not shut down by the client
	 * @param limits the limits, not null
	 * @return the client, not null
	 */
	public static HttpClient of(EventLoopGroup group, HttpClientLimits limits) {
		return of(group, limits, HttpClientMetrics.NONE);
	}

	/**
	 * Returns a client.
	 * @param group the event loops, not shut down by the client
	 * @param limits the limits, not null
	 * @param metrics the receiver of metrics events, not null
	 * @return the client, not null
	 */
	public static HttpClient of(EventLoopGroup group, HttpClientLimits limits, HttpClientMetrics metrics) {
		return new HttpClient(group, limits, metrics);
	}

	/**
	 * Sends a request.
	 * @param address the resolved address of the upstream, not null
	 * @param call the request, not null; {@code host} is set to the address if missing
	 * @param timeoutNanos the time limit for the complete response, in nanoseconds
	 * @return the exchange, not null; it fails with
	 * {@link org.limpetgate.ErrorKind#OVERLOADED} if all connections to the address are
	 * in use and the queue of waiting exchanges is full, and with
	 * {@link org.limpetgate.ErrorKind#SHUTTING_DOWN} if the event loops are shut down
	 */
	public HttpExchange exchange(InetSocketAddress address, HttpCall call, long timeoutNanos) {
		return start(new PendingExchange(retainPool(address), call, null, false, this.nextExchange.getAndIncrement()),
				timeoutNanos);
	}

	/**
	 * Sends a request only on a connection to the process with the expected identity. The
	 * identity is asked once per connection.
	 * <p>
	 * If another identity answers, the exchange fails with
	 * {@link org.limpetgate.Outcome#NOT_RUN} and {@link HttpExchange#otherIdentity()}
	 * tells which one. If the check is refused, its reply is the reply of the exchange.
	 * If it fails or is not answered in time, the exchange fails with
	 * {@link org.limpetgate.Outcome#NOT_RUN}. The request is not sent in these cases.
	 * @param address the resolved address of the upstream, not null
	 * @param call the request, not null; {@code host} is set to the address if missing
	 * @param check the identity that is expected and how to ask for it, not null
	 * @param timeoutNanos the time limit for the complete response and the check, in
	 * nanoseconds
	 * @return the exchange, not null; it fails as without a check
	 */
	public HttpExchange exchange(InetSocketAddress address, HttpCall call, IdentityCheck check, long timeoutNanos) {
		Objects.requireNonNull(check, "check");
		// The number before that of the exchange is reserved for its check.
		long number = this.nextExchange.getAndAdd(2) + 1;
		return start(new PendingExchange(retainPool(address), call, check, true, number), timeoutNanos);
	}

	/**
	 * Sends a request whose response tells the identity of the process, like the response
	 * to an {@link IdentityCheck}. It is sent to any process; exchanges with a check on
	 * the same connection need not ask for the identity again.
	 * @param address the resolved address of the upstream, not null
	 * @param call the request, not null; {@code host} is set to the address if missing
	 * @param check reads the identity from the response, not null
	 * @param timeoutNanos the time limit for the complete response, in nanoseconds
	 * @return the exchange, not null; it fails as without a check
	 */
	public HttpExchange identifyingExchange(InetSocketAddress address, HttpCall call, IdentityCheck check,
			long timeoutNanos) {
		Objects.requireNonNull(check, "check");
		return start(new PendingExchange(retainPool(address), call, check, false, this.nextExchange.getAndIncrement()),
				timeoutNanos);
	}

	private static HttpExchange start(PendingExchange exchange, long timeoutNanos) {
		exchange.start(timeoutNanos);
		return exchange;
	}

	private ConnectionPool retainPool(InetSocketAddress address) {
		return this.pools.compute(address, (key, existing) -> {
			ConnectionPool pool = (existing != null) ? existing : newPool(key);
			pool.retain();
			return pool;
		});
	}

	private ConnectionPool newPool(InetSocketAddress address) {
		return new ConnectionPool(address, this.group.next(), this.limits, this.metrics, this.budget,
				this::removeIfUnused);
	}

	// The check and the removal are atomic with respect to retainPool, so that no
	// exchange starts in a removed pool.
	private void removeIfUnused(ConnectionPool pool) {
		this.pools.computeIfPresent(pool.address(),
				(address, current) -> (current == pool && pool.isUnused()) ? null : current);
	}

	/**
	 * Returns the number of addresses with a pending exchange or an open connection.
	 * @return the number of addresses
	 */
	int activeAddresses() {
		return this.pools.size();
	}

	/**
	 * Closes the idle connections to an address that is no longer an upstream, and the
	 * others once their exchange has ended.
	 * @param address the address, not null
	 */
	public void retire(InetSocketAddress address) {
		ConnectionPool pool = this.pools.remove(address);
		if (pool != null) {
			pool.retire();
		}
	}

	/** Closes all idle connections, and the others once their exchange has ended. */
	public void close() {
		this.pools.keySet().forEach(this::retire);
	}

	/**
	 * Returns the bytes buffered for incomplete responses.
	 * @return the number of bytes
	 */
	public long bufferedBytes() {
		return this.budget.used();
	}

}
