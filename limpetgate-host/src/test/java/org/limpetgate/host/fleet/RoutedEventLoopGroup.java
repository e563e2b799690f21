package org.limpetgate.host.fleet;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.Executor;
import java.util.function.UnaryOperator;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;

/**
 * A group of one event loop that replaces the addresses to which its channels connect.
 * <p>
 * The id of a host is the address at which it listens, so that a relay between two hosts
 * can only be inserted where the connection is opened. Thread-safe.
 */
final class RoutedEventLoopGroup extends MultiThreadIoEventLoopGroup {

	private final UnaryOperator<InetSocketAddress> route;

	RoutedEventLoopGroup(UnaryOperator<InetSocketAddress> route) {
		super(1, NioIoHandler.newFactory());
		this.route = route;
	}

	// Called by the constructor of the superclass, before the fields are set.
	@Override
	protected IoEventLoop newChild(Executor executor, IoHandlerFactory handlerFactory, Object... arguments) {
		return new RoutedEventLoop(executor, handlerFactory);
	}

	private final class RoutedEventLoop extends SingleThreadIoEventLoop {

		RoutedEventLoop(Executor executor, IoHandlerFactory handlerFactory) {
			super(RoutedEventLoopGroup.this, executor, handlerFactory);
		}

		@Override
		public ChannelFuture register(ChannelPromise promise) {
			promise.channel().pipeline().addFirst(new ConnectRouter());
			return super.register(promise);
		}

	}

	private final class ConnectRouter extends ChannelOutboundHandlerAdapter {

		@Override
		public void connect(ChannelHandlerContext context, SocketAddress remote, SocketAddress local,
				ChannelPromise promise) {
			context.connect(RoutedEventLoopGroup.this.route.apply((InetSocketAddress) remote), local, promise);
		}

	}

}
