package org.limpetgate.net.peer;

import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;
import org.limpetgate.proto.PeerFrame;

/**
 * The outgoing link to one peer, which reconnects after each loss.
 * <p>
 * Connection state is confined to one event loop; the counters limit the requests and
 * messages that other threads queue for it.
 */
final class PeerLink {

	private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

	private final PeerAddress peer;

	private final EventLoop loop;

	private final PeerSettings settings;

	private final SplittableRandom random;

	private final AtomicInteger requestsInFlight = new AtomicInteger();

	private final AtomicInteger queuedMessages = new AtomicInteger();

	/** The connection that passed the handshake, null while there is none. */
	private OutboundConnection connection;

	private ChannelFuture connecting;

	private int failures;

	private boolean blocked;

	private boolean closed;

	private volatile boolean linkUp;

	/** The incarnation of the last connection, null before the first one. */
	private Incarnation incarnation;

	/** When an incarnation of the peer was last found to have ended, 0 before. */
	private volatile long endedNanos;

	/** When the last frame arrived, on the clock of the settings, 0 before. */
	private volatile long lastReceivedNanos;

	private String lastError = "no connection yet";

	PeerLink(PeerAddress peer, EventLoop loop, PeerSettings settings, SplittableRandom random) {
		this.peer = peer;
		this.loop = loop;
		this.settings = settings;
		this.random = random;
	}

	void start() {
		this.loop.execute(this::connect);
	}

	private void connect() {
		if (this.closed || this.blocked || this.connecting != null) {
			return;
		}
		OutboundConnection opening = new OutboundConnection(this, this.settings);
		this.connecting = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, this.settings.limits().waterMark())
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis())
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					opening.install(channel,
							(PeerLink.this.settings.tls() != null) ? PeerLink.this.settings.tls().client() : null);
				}
			})
			.connect(this.peer.address(), localAddress());
		this.connecting.addListener((connected) -> {
			if (!connected.isSuccess()) {
				this.lastError = connected.cause().getMessage();
				connectionFailed(connected.cause());
			}
		});
		this.connecting.channel().closeFuture().addListener((end) -> {
			this.connecting = null;
			reconnectLater();
		});
	}

	// A refused connection shows that no process listens at the address of the peer.
	private void connectionFailed(Throwable cause) {
		if (cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)) {
			this.endedNanos = this.settings.clock().getAsLong();
		}
	}

	private InetSocketAddress localAddress() {
		InetAddress address = this.settings.localAddress();
		return (address != null) ? new InetSocketAddress(address, 0) : null;
	}

	private int connectMillis() {
		return (int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(this.settings.limits().handshakeNanos()));
	}

	private void reconnectLater() {
		if (this.closed || this.blocked) {
			return;
		}
		this.loop.schedule(this::connect, backoffNanos(), TimeUnit.NANOSECONDS);
		this.failures++;
	}

	/**
	 * Returns the delay before the next attempt: exponential backoff with jitter over the
	 * upper half, so that the hosts do not all reconnect to a restarted host at the same
	 * time.
	 * @return the delay in nanoseconds
	 */
	private long backoffNanos() {
		PeerLimits limits = this.settings.limits();
		int doublings = Math.min(this.failures, 20);
		long longest = Math.min(limits.maxBackoffNanos(), limits.minBackoffNanos() << doublings);
		return longest / 2 + this.random.nextLong(longest / 2 + 1);
	}

	void linkUp(OutboundConnection opened) {
		Incarnation previous = this.incarnation;
		this.incarnation = opened.peer().incarnation();
		if (previous != null && !previous.equals(this.incarnation)) {
			this.endedNanos = this.settings.clock().getAsLong();
		}
		this.connection = opened;
		this.linkUp = true;
		this.failures = 0;
		this.settings.metrics().linkUp(this.incarnation);
		LOG.atInfo().log("LG5103 PEER_LINK_UP link to %s is up", opened.peer().incarnation());
	}

	void linkDown(OutboundConnection ended, String reason) {
		this.lastError = reason;
		if (this.connection == ended) {
			this.connection = null;
			this.linkUp = false;
			this.settings.metrics().linkDown(ended.peer().incarnation());
			LOG.atInfo().log("LG5104 PEER_LINK_DOWN link to %s is down: %s", host(), reason);
		}
	}

	/**
	 * Sends a request.
	 * @param target the only incarnation of the peer that may receive the request, null
	 * for any
	 * @param message the message without version and correlation id
	 * @param timeoutNanos the time limit for the reply, in nanoseconds
	 * @return the reply
	 */
	CompletableFuture<PeerFrame> request(Incarnation target, PeerFrame message, long timeoutNanos) {
		CompletableFuture<PeerFrame> reply = new CompletableFuture<>();
		if (message.getSerializedSize() > this.settings.limits().maxFrameBytes() - PeerLinks.FRAME_OVERHEAD_BYTES) {
			reply.completeExceptionally(DispatchException.of(ErrorKind.BODY_TOO_LARGE, Outcome.NOT_RUN,
					"the message to " + host() + " has " + message.getSerializedSize() + " bytes"));
			return reply;
		}
		int count = this.requestsInFlight.incrementAndGet();
		reply.whenComplete((frame, failure) -> this.requestsInFlight.decrementAndGet());
		if (count > this.settings.limits().maxInFlight()) {
			reply.completeExceptionally(DispatchException.of(ErrorKind.OVERLOADED, Outcome.NOT_RUN,
					"the link to " + host() + " has " + (count - 1) + " requests in flight"));
			return reply;
		}
		if (!execute(() -> requestOnLoop(target, message, timeoutNanos, reply))) {
			reply.completeExceptionally(unreachable("the host is closing"));
		}
		return reply;
	}

	private void requestOnLoop(Incarnation target, PeerFrame message, long timeoutNanos,
			CompletableFuture<PeerFrame> reply) {
		if (this.connection == null) {
			reply.completeExceptionally(unreachable(this.lastError));
		}
		else if (target != null && !target.equals(this.connection.peer().incarnation())) {
			reply.completeExceptionally(unreachable(
					"the link is connected to " + this.connection.peer().incarnation() + ", not to " + target));
		}
		else {
			this.connection.request(message, timeoutNanos, reply);
		}
	}

	DispatchException unreachable(String reason) {
		return DispatchException.of(ErrorKind.HOLDER_UNREACHABLE, Outcome.NOT_RUN,
				"no link to " + host() + ": " + reason);
	}

	void send(PeerFrame message) {
		if (this.queuedMessages.incrementAndGet() > this.settings.limits().maxInFlight()
				|| !execute(() -> sendOnLoop(message))) {
			this.queuedMessages.decrementAndGet();
			this.settings.metrics().messageDropped(host());
		}
	}

	private void sendOnLoop(PeerFrame message) {
		this.queuedMessages.decrementAndGet();
		if (this.connection == null || !this.connection.send(message)) {
			this.settings.metrics().messageDropped(host());
		}
	}

	/**
	 * Sends a one-way message that is lost only with the connection.
	 * @param message the message without version
	 * @return completes when the message is sent
	 */
	CompletableFuture<Void> sendUnlessDown(PeerFrame message) {
		CompletableFuture<Void> sent = new CompletableFuture<>();
		if (!execute(() -> sendAlwaysOnLoop(message, sent))) {
			sent.completeExceptionally(unreachable("the host is closing"));
		}
		return sent;
	}

	private void sendAlwaysOnLoop(PeerFrame message, CompletableFuture<Void> sent) {
		if (this.connection != null) {
			this.connection.sendAlways(message, sent);
		}
		else {
			sent.completeExceptionally(unreachable(this.lastError));
		}
	}

	private boolean execute(Runnable task) {
		try {
			this.loop.execute(task);
			return true;
		}
		catch (RejectedExecutionException ex) {
			return false;
		}
	}

	void setBlocked(boolean value) {
		execute(() -> {
			this.blocked = value;
			if (value) {
				closeConnection("the link is blocked");
			}
			else {
				connect();
			}
		});
	}

	void close() {
		execute(() -> {
			this.closed = true;
			closeConnection("the peer is no longer configured");
		});
	}

	// Closes the connection and opens a new one.
	void reopen(String reason) {
		execute(() -> closeConnection(reason));
	}

	/**
	 * Closes a connection to an incarnation that another one has replaced, and opens a
	 * new one.
	 * @param present the incarnation that has replaced the earlier ones
	 */
	void reopenToIncarnation(Incarnation present) {
		execute(() -> {
			if (this.connection != null && !this.connection.peer().incarnation().equals(present)) {
				closeConnection("the host has started again as " + present);
				// After the requests have failed, so that their sender learns that the
				// incarnation ended.
				this.endedNanos = this.settings.clock().getAsLong();
			}
		});
	}

	private void closeConnection(String reason) {
		if (this.connection != null) {
			this.connection.close(reason);
		}
		else if (this.connecting != null) {
			this.connecting.channel().close();
		}
	}

	void received(long nowNanos) {
		this.lastReceivedNanos = nowNanos;
	}

	long endedNanos() {
		return this.endedNanos;
	}

	long lastReceivedNanos() {
		return this.lastReceivedNanos;
	}

	HostId host() {
		return this.peer.host();
	}

	PeerAddress peer() {
		return this.peer;
	}

	boolean isUp() {
		return this.linkUp;
	}

}
