package org.limpetgate.net.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;

/**
 * The connections to one upstream address.
 * <p>
 * All state but the number of users belongs to one event loop, which also serves the
 * connections, so that an exchange takes a connection, and a connection returns, without
 * locks.
 */
final class ConnectionPool {

	private final InetSocketAddress address;

	private final EventLoop loop;

	private final HttpClientLimits limits;

	private final HttpClientMetrics metrics;

	private final BufferBudget budget;

	private final Consumer<ConnectionPool> unused;

	/** The exchanges that are not decided and the connections that are not closed. */
	private final AtomicInteger users = new AtomicInteger();

	/** Unused connections, the most recently used first. */
	private final Deque<ClientConnection> idle = new ArrayDeque<>();

	/** Exchanges that wait for a connection, the oldest first. */
	private final Deque<PendingExchange> waiting = new ArrayDeque<>();

	private int open;

	private boolean retired;

	ConnectionPool(InetSocketAddress address, EventLoop loop, HttpClientLimits limits, HttpClientMetrics metrics,
			BufferBudget budget, Consumer<ConnectionPool> unused) {
		this.address = address;
		this.loop = loop;
		this.limits = limits;
		this.metrics = metrics;
		this.budget = budget;
		this.unused = unused;
	}

	/** Counts an exchange or a connection, until {@link #release()}. */
	void acquire() {
		this.users.incrementAndGet();
	}

	void release() {
		if (this.users.decrementAndGet() == 0) {
			this.unused.accept(this);
		}
	}

	boolean isUnused() {
		return this.users.get() == 0;
	}

	/**
	 * Finds a connection for an exchange and sends the request on it.
	 * @param exchange the exchange, not decided yet
	 */
	void serve(PendingExchange exchange) {
		ClientConnection connection = pollIdle();
		if (connection != null) {
			connection.send(exchange);
		}
		else if (this.open < this.limits.maxConnections()) {
			connect(exchange);
		}
		else if (this.waiting.size() < this.limits.maxWaiting()) {
			this.waiting.add(exchange);
		}
		else {
			exchange.fail(DispatchException.of(ErrorKind.OVERLOADED, Outcome.NOT_RUN,
					"all " + this.open + " connections to " + this.address + " are in use"));
		}
	}

	private ClientConnection pollIdle() {
		ClientConnection connection = this.idle.pollFirst();
		while (connection != null && !connection.isUsable()) {
			connection.close();
			connection = this.idle.pollFirst();
		}
		return connection;
	}

	private void connect(PendingExchange exchange) {
		// Netty notifies nobody of a failed connection once the event loop has ended.
		if (this.loop.isShuttingDown()) {
			exchange.fail(shutDown());
			return;
		}
		this.open++;
		acquire();
		StrictResponseDecoder decoder = new StrictResponseDecoder(this.limits.maxHeadBytes());
		ClientConnection connection = new ClientConnection(this, decoder);
		ChannelFuture connecting = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis())
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					connection.install(channel.pipeline());
				}
			})
			.connect(this.address);
		connecting.channel().closeFuture().addListener((closed) -> {
			this.open--;
			release();
			serveWaiting();
		});
		exchange.connecting(connecting);
		connecting.addListener((ChannelFuture connected) -> {
			if (connected.isSuccess()) {
				opened(connected, connection, exchange);
			}
			else {
				exchange.fail(DispatchException.of(ErrorKind.UPSTREAM_FAILED, Outcome.NOT_RUN,
						"no connection to " + this.address + ": " + connected.cause().getMessage()));
			}
		});
	}

	private void serveWaiting() {
		PendingExchange next = pollWaiting();
		if (next != null) {
			serve(next);
		}
	}

	// Exchanges that were decided while they waited need no connection any more.
	private PendingExchange pollWaiting() {
		PendingExchange next = this.waiting.poll();
		while (next != null && next.isDecided()) {
			next = this.waiting.poll();
		}
		return next;
	}

	DispatchException shutDown() {
		return DispatchException.of(ErrorKind.SHUTTING_DOWN, Outcome.NOT_RUN,
				"the threads of the client are shut down");
	}

	private int connectMillis() {
		return (int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(this.limits.connectNanos()));
	}

	private void opened(ChannelFuture connected, ClientConnection connection, PendingExchange exchange) {
		this.metrics.connectionOpened(this.address);
		connected.channel().closeFuture().addListener((closed) -> this.metrics.connectionClosed(this.address));
		connection.send(exchange);
	}

	/**
	 * Takes back a connection after a whole answer.
	 * @param connection the connection
	 */
	void giveBack(ClientConnection connection) {
		if (this.retired) {
			connection.close();
			return;
		}
		this.idle.addFirst(connection);
		serveWaiting();
	}

	void remove(ClientConnection connection) {
		this.idle.remove(connection);
	}

	void retire() {
		try {
			this.loop.execute(this::closeIdle);
		}
		catch (RejectedExecutionException ex) {
			// The event loop has ended and with it all connections.
		}
	}

	private void closeIdle() {
		this.retired = true;
		this.idle.forEach(ClientConnection::close);
		this.idle.clear();
	}

	InetSocketAddress address() {
		return this.address;
	}

	EventLoop loop() {
		return this.loop;
	}

	HttpClientLimits limits() {
		return this.limits;
	}

	HttpClientMetrics metrics() {
		return this.metrics;
	}

	BufferBudget budget() {
		return this.budget;
	}

}
