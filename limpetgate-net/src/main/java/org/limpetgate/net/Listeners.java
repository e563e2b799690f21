package org.limpetgate.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;

/**
 * Opens TCP listeners.
 * <p>
 * Thread-safe.
 */
public final class Listeners {

	/**
	 * The accept backlog; connections of a burst beyond it are delayed by TCP
	 * retransmission.
	 */
	private static final int BACKLOG = 1024;

	private Listeners() {
	}

	/**
	 * Opens a listener.
	 * @param group the threads of the listener and its connections
	 * @param address the address to listen on; port 0 chooses a free port
	 * @param acceptor sets up each new connection on its event loop, before it reads
	 * @return the listener, not null
	 * @throws UncheckedIOException if the address cannot be used
	 */
	public static Channel open(EventLoopGroup group, InetSocketAddress address, Consumer<SocketChannel> acceptor) {
		ChannelFuture bound = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					acceptor.accept(channel);
				}
			})
			.bind(address)
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new UncheckedIOException(new IOException(
					"cannot listen on " + address + "; choose a free local address and port", bound.cause()));
		}
		return bound.channel();
	}

}
