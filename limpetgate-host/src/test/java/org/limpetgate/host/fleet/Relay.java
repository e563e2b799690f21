package org.limpetgate.host.fleet;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.limpetgate.HostId;

/**
 * Relays the TCP connections between hosts on loopback addresses and simulates failures
 * of the network.
 * <p>
 * A silent direction keeps the bytes and the close of a connection and delivers them in
 * order when the silence ends, as the kernel does after a partition. Thread-safe: the
 * state is confined to the event loop of the relay, and each method returns when its
 * change is effective.
 */
final class Relay implements AutoCloseable {

	/** Small, so that few bytes fill the connections of a host that is not read from. */
	private static final int RECEIVE_BUFFER_BYTES = 65_536;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final Map<Route, Link> links = new HashMap<>();

	/**
	 * Opens a listener for the connections that one host opens to another.
	 * @param source the host that opens the connections
	 * @param target the host that accepts them
	 * @return the address of the listener
	 */
	InetSocketAddress open(HostId source, HostId target) {
		Link link = new Link(new Route(source, target), TestFleet.address(target));
		Channel listener = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					link.accept(channel);
				}
			})
			.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
			.syncUninterruptibly()
			.channel();
		onLoop(() -> this.links.put(link.route, link));
		return (InetSocketAddress) listener.localAddress();
	}

	// Keeps all bytes from one host to another, on open and on new connections.
	void silence(HostId from, HostId to) {
		onLoop(() -> setSilent(from, to, true));
	}

	// Delivers the kept bytes from one host to another and those that follow.
	void deliver(HostId from, HostId to) {
		onLoop(() -> setSilent(from, to, false));
	}

	// Delivers the bytes that are kept now, but keeps those that follow.
	void deliverKept(HostId from, HostId to) {
		onLoop(() -> {
			setSilent(from, to, false);
			setSilent(from, to, true);
		});
	}

	private void setSilent(HostId from, HostId to, boolean silent) {
		this.links.get(new Route(from, to)).setForwardSilent(silent);
		this.links.get(new Route(to, from)).setBackwardSilent(silent);
	}

	// Keeps the bytes in both directions of the connections that one host opens to
	// another, open and new ones.
	void silenceLink(HostId source, HostId target) {
		onLoop(() -> this.links.get(new Route(source, target)).setSilent(true));
	}

	// Ends the silence of such connections.
	void deliverLink(HostId source, HostId target) {
		onLoop(() -> this.links.get(new Route(source, target)).setSilent(false));
	}

	// Keeps the bytes in both directions of the connections that are open now; new ones
	// work.
	void silenceOpenConnections(HostId source, HostId target) {
		onLoop(() -> this.links.get(new Route(source, target)).setOpenConnectionsSilent(true));
	}

	// Keeps the bytes that arrive at the source of the connections that are open now.
	void silenceReplies(HostId source, HostId target) {
		onLoop(() -> this.links.get(new Route(source, target)).setOpenRepliesSilent());
	}

	// Ends the silence of all open connections.
	void deliverOpenConnections(HostId source, HostId target) {
		onLoop(() -> this.links.get(new Route(source, target)).setOpenConnectionsSilent(false));
	}

	// Resets the connections that one host has opened to another, at the side of that
	// host. The other side is closed after the bytes that were sent.
	void reset(HostId source, HostId target) {
		onLoop(() -> this.links.get(new Route(source, target)).reset());
	}

	// Reads nothing from the connections that one host has opened to another, so that the
	// buffers between them fill up.
	void stopReading(HostId source, HostId target) {
		onLoop(() -> this.links.get(new Route(source, target)).setReading(false));
	}

	// Reads from such connections again.
	void resumeReading(HostId source, HostId target) {
		onLoop(() -> this.links.get(new Route(source, target)).setReading(true));
	}

	private void onLoop(Runnable action) {
		this.loop.submit(action).syncUninterruptibly();
	}

	@Override
	public void close() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	/**
	 * An ordered pair of hosts.
	 *
	 * @param source the host that opens connections
	 * @param target the host that accepts them
	 */
	private record Route(HostId source, HostId target) {

	}

	/** The connections that one host opens to another. */
	private final class Link {

		private final Route route;

		private final InetSocketAddress targetAddress;

		private final List<Connection> connections = new ArrayList<>();

		private boolean forwardSilent;

		private boolean backwardSilent;

		Link(Route route, InetSocketAddress targetAddress) {
			this.route = route;
			this.targetAddress = targetAddress;
		}

		void accept(SocketChannel accepted) {
			Connection connection = new Connection(accepted);
			connection.forward.setSilent(this.forwardSilent);
			connection.backward.setSilent(this.backwardSilent);
			this.connections.add(connection);
			new Bootstrap().group(Relay.this.loop)
				.channel(NioSocketChannel.class)
				.option(ChannelOption.TCP_NODELAY, true)
				.handler(connection.backward)
				.connect(this.targetAddress)
				.addListener((connected) -> {
					if (!connected.isSuccess()) {
						accepted.close();
					}
				});
		}

		void setSilent(boolean silent) {
			setForwardSilent(silent);
			setBackwardSilent(silent);
		}

		void setForwardSilent(boolean silent) {
			this.forwardSilent = silent;
			this.connections.forEach((connection) -> connection.forward.setSilent(silent));
		}

		void setBackwardSilent(boolean silent) {
			this.backwardSilent = silent;
			this.connections.forEach((connection) -> connection.backward.setSilent(silent));
		}

		void setOpenConnectionsSilent(boolean silent) {
			for (Connection connection : this.connections) {
				connection.forward.setSilent(silent);
				connection.backward.setSilent(silent);
			}
		}

		void setOpenRepliesSilent() {
			this.connections.forEach((connection) -> connection.backward.setSilent(true));
		}

		void setReading(boolean reading) {
			this.connections.forEach((connection) -> connection.accepted.config().setAutoRead(reading));
		}

		void reset() {
			this.connections.forEach(Connection::reset);
		}

	}

	/** A connection of a host to the relay, and that of the relay to the other host. */
	private static final class Connection {

		private final SocketChannel accepted;

		private final Direction forward = new Direction();

		private final Direction backward = new Direction();

		Connection(SocketChannel accepted) {
			this.accepted = accepted;
			accepted.pipeline().addLast(this.forward);
			this.forward.reverse = this.backward;
			this.backward.reverse = this.forward;
		}

		// Does nothing if the host has closed the connection already.
		void reset() {
			if (this.accepted.isOpen()) {
				this.accepted.config().setSoLinger(0);
				this.accepted.close();
			}
		}

	}

	/**
	 * Passes on the bytes that its channel receives, or keeps them while silent. The end
	 * of the input closes only the outgoing half of the other channel, since replies to a
	 * closed socket would reset it and discard bytes that its peer has not read yet.
	 */
	private static final class Direction extends ChannelInboundHandlerAdapter {

		private final Deque<ByteBuf> kept = new ArrayDeque<>();

		private Direction reverse;

		/** The channel that this direction reads, null until it is connected. */
		private Channel input;

		private boolean inputClosed;

		private boolean silent;

		@Override
		public void channelActive(ChannelHandlerContext context) {
			this.input = context.channel();
			this.reverse.flush();
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			this.kept.add((ByteBuf) message);
			flush();
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			this.inputClosed = true;
			flush();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

		void setSilent(boolean value) {
			this.silent = value;
			flush();
		}

		private void flush() {
			Channel output = this.reverse.input;
			if (this.silent || output == null) {
				return;
			}
			while (!this.kept.isEmpty()) {
				output.write(this.kept.remove());
			}
			output.flush();
			if (this.inputClosed) {
				endOutput((DuplexChannel) output);
			}
		}

		private static void endOutput(DuplexChannel output) {
			output.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((written) -> output.shutdownOutput());
		}

	}

}
