package org.limpetgate.net.http;

import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.limpetgate.net.Listeners;

/**
 * An HTTP/1.1 server that receives and sends complete messages, without streaming.
 * <p>
 * Requests on one connection are answered in the order in which they arrived, one at a
 * time. A request that is malformed, too large or too slow is answered by the server with
 * outcome {@link org.limpetgate.Outcome#NOT_RUN}, since it did not reach the handler; the
 * connection is then closed, because the start of the next request cannot be located
 * reliably. When a caller closes its connection before the response, the future returned
 * by the handler is cancelled.
 * <p>
 * Thread-safe.
 */
public final class HttpServer {

	private final HttpServerLimits limits;

	private final HttpHandler handler;

	private final HttpServerMetrics metrics;

	private final BufferBudget budget;

	private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private volatile boolean draining;

	private Channel listener;

	private HttpServer(HttpServerLimits limits, HttpHandler handler, HttpServerMetrics metrics) {
		this.limits = limits;
		this.handler = handler;
		this.metrics = metrics;
		this.budget = new BufferBudget(limits.maxBufferedBytes());
	}

	/**
	 * Starts a server without metrics.
	 * @param group the event loops, not shut down by the server
	 * @param address the address to listen on; port 0 chooses a free port
	 * @param limits the limits, not null
	 * @param handler the handler, not null
	 * @return the listening server, not null
	 * @throws UncheckedIOException if the address cannot be used
	 */
	public static HttpServer start(EventLoopGroup group, InetSocketAddress address, HttpServerLimits limits,
			HttpHandler handler) {
		return start(group, address, limits, handler, HttpServerMetrics.NONE);
	}

	/**
	 * Starts a server.
	 * @param group the event loops, not shut down by the server
	 * @param address the address to listen on; port 0 chooses a free port
	 * @param limits the limits, not null
	 * @param handler the handler, not null
	 * @param metrics the receiver of metrics events, not null
	 * @return the listening server, not null
	 * @throws UncheckedIOException if the address cannot be used
	 */
	public static HttpServer start(EventLoopGroup group, InetSocketAddress address, HttpServerLimits limits,
			HttpHandler handler, HttpServerMetrics metrics) {
		HttpServer server = new HttpServer(limits, handler, metrics);
		server.listener = Listeners.open(group, address, server::accept);
		return server;
	}

	private void accept(SocketChannel channel) {
		int open = this.connections.size();
		int max = this.limits.maxConnections();
		// Accepts some connections over the limit, only to send them a refusal.
		if (open >= max + max / 8 + 16) {
			channel.close();
			return;
		}
		StrictRequestDecoder decoder = new StrictRequestDecoder(this.limits.maxHeadBytes());
		ServerConnection connection = new ServerConnection(this, decoder, open >= max);
		channel.pipeline().addLast(decoder, new HttpResponseEncoder(), connection);
		this.connections.add(connection);
		this.metrics.connectionOpened();
		channel.closeFuture().addListener((future) -> onClosed(connection));
	}

	private void onClosed(ServerConnection connection) {
		this.connections.remove(connection);
		this.metrics.connectionClosed();
		completeDrain();
	}

	private void completeDrain() {
		if (this.draining && !this.listener.isOpen() && this.connections.isEmpty()) {
			this.drained.complete(null);
		}
	}

	/**
	 * Returns the address that the server listens on.
	 * @return the address with the port in use, not null
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.listener.localAddress();
	}

	/**
	 * Returns the bytes buffered for requests and responses.
	 * @return the number of bytes
	 */
	public long bufferedBytes() {
		return this.budget.used();
	}

	/**
	 * Returns the number of open connections.
	 * @return the number of connections
	 */
	public int openConnections() {
		return this.connections.size();
	}

	/**
	 * Stops accepting connections and answers every request that is in flight or arrives
	 * on an open connection, each with {@code Connection: close}. Connections without a
	 * request are closed after {@link HttpServerLimits#drainGraceNanos()}.
	 * @return completes when the last connection is closed, not null
	 */
	public CompletableFuture<Void> drain() {
		this.draining = true;
		this.listener.close().addListener((future) -> completeDrain());
		this.listener.eventLoop()
			.schedule(() -> this.connections.forEach(ServerConnection::closeIfIdle), this.limits.drainGraceNanos(),
					TimeUnit.NANOSECONDS);
		return this.drained;
	}

	/**
	 * Closes the listener and all connections immediately, without sending pending
	 * responses.
	 */
	public void close() {
		this.draining = true;
		this.listener.close().awaitUninterruptibly();
		this.connections.forEach(ServerConnection::close);
		completeDrain();
	}

	HttpServerLimits limits() {
		return this.limits;
	}

	HttpHandler handler() {
		return this.handler;
	}

	HttpServerMetrics metrics() {
		return this.metrics;
	}

	BufferBudget budget() {
		return this.budget;
	}

	boolean isDraining() {
		return this.draining;
	}

}
