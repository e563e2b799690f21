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
 * All state but the reference count is confined to one event loop, which also serves the
 * connections, so that connections are assigned and returned without locks. An exchange
 * with an identity check is never assigned to a connection that is known to have another
 * identity than the expected one.
 */
final class ConnectionPool {

	private final InetSocketAddress address;

	private final EventLoop loop;

	private final HttpClientLimits limits;

	private final HttpClientMetrics metrics;

	private final BufferBudget budget;

	private final Consumer<ConnectionPool> onUnused;

	/**
	 * The number of exchanges that are not done and of connections that are not closed.
	 */
	private final AtomicInteger references = new AtomicInteger();

	/** Idle connections, the most recently used first. */
	private final Deque<ClientConnection> idle = new ArrayDeque<>();

	/** Exchanges that wait for a connection, the oldest first. */
	private final Deque<PendingExchange> waiting = new ArrayDeque<>();

	private int openConnections;

	private boolean retired;

	ConnectionPool(InetSocketAddress address, EventLoop loop, HttpClientLimits limits, HttpClientMetrics metrics,
			BufferBudget budget, Consumer<ConnectionPool> onUnused) {
		this.address = address;
		this.loop = loop;
		this.limits = limits;
		this.metrics = metrics;
		this.budget = budget;
		this.onUnused = onUnused;
	}

	/** Adds a reference for an exchange or a connection, until {@link #release()}. */
	void retain() {
		this.references.incrementAndGet();
	}

	void release() {
		if (this.references.decrementAndGet() == 0) {
			this.onUnused.accept(this);
		}
	}

	boolean isUnused() {
		return this.references.get() == 0;
	}

	/**
	 * Sends the request of an exchange on an idle or a new connection, or queues the
	 * exchange.
	 * @param exchange the exchange, not done yet
	 */
	void assignConnection(PendingExchange exchange) {
		ClientConnection connection = pollIdle(exchange);
		if (connection != null) {
			connection.send(exchange);
		}
		else if (this.openConnections < this.limits.maxConnections()) {
			connect(exchange);
		}
		else if (this.waiting.size() < this.limits.maxWaiting()) {
			this.waiting.add(exchange);
		}
		else {
			exchange.fail(DispatchException.of(ErrorKind.OVERLOADED, Outcome.NOT_RUN,
					"all " + this.openConnections + " connections to " + this.address + " are in use"));
		}
	}

	// Closes the idle connections with another identity than the expected one: their
	// process has usually ended, and they would keep the exchange from opening a
	// connection when the limit is reached.
	private ClientConnection pollIdle(PendingExchange exchange) {
		ClientConnection connection = this.idle.pollFirst();
		while (connection != null && !(connection.isUsable() && connection.accepts(exchange))) {
			connection.close();
			connection = this.idle.pollFirst();
		}
		return connection;
	}

	private void connect(PendingExchange exchange) {
		// Once the event loop has ended, Netty does not call the listeners of a failed
		// connection attempt.
		if (this.loop.isShuttingDown()) {
			exchange.fail(shutDownError());
			return;
		}
		this.openConnections++;
		retain();
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
			this.openConnections--;
			release();
			assignToNextWaiting();
		});
		exchange.connecting(connecting);
		connecting.addListener((ChannelFuture connected) -> {
			if (connected.isSuccess()) {
				onConnected(connected, connection, exchange);
			}
			else {
				exchange.fail(DispatchException.of(ErrorKind.UPSTREAM_FAILED, Outcome.NOT_RUN,
						"no connection to " + this.address + ": " + connected.cause().getMessage()));
			}
		});
	}

	private void assignToNextWaiting() {
		PendingExchange next = pollWaiting();
		if (next != null) {
			assignConnection(next);
		}
	}

	// Skips exchanges that timed out or were cancelled while they waited.
	private PendingExchange pollWaiting() {
		PendingExchange next = this.waiting.poll();
		while (next != null && next.isDone()) {
			next = this.waiting.poll();
		}
		return next;
	}

	DispatchException shutDownError() {
		return DispatchException.of(ErrorKind.SHUTTING_DOWN, Outcome.NOT_RUN,
				"the event loops of the client are shut down");
	}

	private int connectMillis() {
		return (int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(this.limits.connectNanos()));
	}

	private void onConnected(ChannelFuture connected, ClientConnection connection, PendingExchange exchange) {
		this.metrics.connectionOpened(this.address);
		connected.channel().closeFuture().addListener((closed) -> this.metrics.connectionClosed(this.address));
		connection.send(exchange);
	}

	/**
	 * Returns a connection to the pool after a complete response and assigns it to the
	 * next waiting exchange.
	 * @param connection the connection
	 */
	void returnConnection(ClientConnection connection) {
		if (this.retired) {
			connection.close();
			return;
		}
		PendingExchange next = pollWaiting();
		if (next == null) {
			this.idle.addFirst(connection);
		}
		else if (connection.accepts(next)) {
			connection.send(next);
		}
		else {
			// The close assigns a new connection to the exchange, which keeps its place.
			this.waiting.addFirst(next);
			connection.close();
		}
	}

	void remove(ClientConnection connection) {
		this.idle.remove(connection);
	}

	void retire() {
		try {
			this.loop.execute(this::closeIdle);
		}
		catch (RejectedExecutionException ex) {
			// The event loop has ended, which closed all connections.
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
