package org.limpetgate.net.platform;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.http.HttpReply;

/**
 * HTTP/1.1 connections to the platform, one request at a time on each.
 * <p>
 * A request is written once and never repeated. Until it is written its failure is
 * {@link Outcome#NOT_RUN}, afterwards {@link Outcome#UNKNOWN}. Thread-safe.
 */
final class PlatformHttp implements AutoCloseable {

	private static final AttributeKey<Exchange> EXCHANGE = AttributeKey.valueOf(PlatformHttp.class, "exchange");

	/**
	 * How long a connection without a request stays open. It limits the connections to
	 * workers, of which there may be thousands.
	 */
	private static final int IDLE_SECONDS = 30;

	private final EventLoopGroup group;

	private final PlatformClientSettings settings;

	private final ErrorKind errorKind;

	private final Map<InetSocketAddress, Connections> connections = new HashMap<>();

	private boolean closed;

	PlatformHttp(EventLoopGroup group, PlatformClientSettings settings, ErrorKind errorKind) {
		this.group = group;
		this.settings = settings;
		this.errorKind = errorKind;
	}

	/**
	 * Sends a request. Cancelling the future closes the connection.
	 * @param <T> the type of the content
	 * @param address the address
	 * @param call the request
	 * @param wait the time that the request asks the platform to wait
	 * @param reader reads an answer with status 200
	 * @return the content, or a failure with a {@link DispatchException} of the error
	 * kind of this client, not wrapped
	 */
	<T> CompletableFuture<T> send(InetSocketAddress address, HttpCall call, Duration wait,
			PlatformReplies.ReplyReader<T> reader) {
		CompletableFuture<HttpReply> reply = send(address, call, wait);
		CompletableFuture<T> content = new CompletableFuture<>();
		reply.whenComplete((whole, error) -> {
			if (error != null) {
				content.completeExceptionally(error);
				return;
			}
			try {
				content.complete(PlatformReplies.read(whole, this.errorKind, reader));
			}
			catch (DispatchException ex) {
				content.completeExceptionally(ex);
			}
		});
		content.whenComplete((value, error) -> {
			if (content.isCancelled()) {
				reply.cancel(false);
			}
		});
		return content;
	}

	private CompletableFuture<HttpReply> send(InetSocketAddress address, HttpCall call, Duration wait) {
		Exchange exchange = new Exchange(address, call);
		Channel idle;
		synchronized (this.connections) {
			// Netty notifies nobody of a failed connection once its event loops have
			// ended.
			if (this.closed || this.group.isShuttingDown()) {
				exchange.fail("the client is closed");
				return exchange.reply;
			}
			Connections open = this.connections.computeIfAbsent(address, (key) -> new Connections());
			idle = open.pollIdle();
			if (idle == null && open.total >= this.settings.maxConnections()) {
				exchange.fail("all " + open.total + " connections to " + address + " are busy");
				return exchange.reply;
			}
			if (idle == null) {
				open.total++;
			}
		}
		long timeoutNanos = this.settings.requestTimeout().plus(wait).toNanos();
		if (idle != null) {
			start(idle, exchange, timeoutNanos);
		}
		else {
			connect(exchange, timeoutNanos);
		}
		return exchange.reply;
	}

	private void connect(Exchange exchange, long timeoutNanos) {
		Bootstrap bootstrap = new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) this.settings.connectTimeout().toMillis())
			.handler(new Initializer());
		bootstrap.connect(exchange.address).addListener((Future<Void> connected) -> {
			Channel channel = ((ChannelFuture) connected).channel();
			if (!connected.isSuccess()) {
				forget(exchange.address, channel);
				exchange.fail("cannot connect to " + exchange.address + ": " + connected.cause().getMessage());
				return;
			}
			channel.closeFuture().addListener((done) -> forget(exchange.address, channel));
			start(channel, exchange, timeoutNanos);
		});
	}

	private void start(Channel channel, Exchange exchange, long timeoutNanos) {
		if (!channel.eventLoop().inEventLoop()) {
			try {
				channel.eventLoop().execute(() -> start(channel, exchange, timeoutNanos));
			}
			catch (RejectedExecutionException ex) {
				exchange.fail("the event loops are shut down");
			}
			return;
		}
		if (exchange.reply.isDone()) {
			release(channel, exchange.address);
			return;
		}
		if (!channel.isActive()) {
			reconnect(exchange, timeoutNanos);
			return;
		}
		channel.attr(EXCHANGE).set(exchange);
		Future<?> timeout = channel.eventLoop()
			.schedule(() -> exchange.fail("no answer from " + exchange.address + " in time"), timeoutNanos,
					TimeUnit.NANOSECONDS);
		// Closes the connection of a request that was cancelled or timed out, so that its
		// late answer cannot be taken for the answer to the next request.
		exchange.reply.whenComplete((reply, error) -> {
			timeout.cancel(false);
			if (error != null) {
				channel.close();
			}
		});
		exchange.written = true;
		channel.writeAndFlush(toRequest(exchange)).addListener((written) -> {
			if (!written.isSuccess()) {
				exchange.fail("cannot send to " + exchange.address + ": " + written.cause().getMessage());
			}
		});
	}

	// The platform closed the connection while it was idle; nothing was written to it.
	private void reconnect(Exchange exchange, long timeoutNanos) {
		synchronized (this.connections) {
			this.connections.computeIfAbsent(exchange.address, (key) -> new Connections()).total++;
		}
		connect(exchange, timeoutNanos);
	}

	private FullHttpRequest toRequest(Exchange exchange) {
		HttpCall call = exchange.call;
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method()),
				call.target(), Unpooled.wrappedBuffer(call.body()));
		call.headers().forEach((name, value) -> request.headers().set(name, value));
		request.headers()
			.set(HttpHeaderNames.HOST, exchange.address.getHostString() + ":" + exchange.address.getPort());
		request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
		return request;
	}

	private void release(Channel channel, InetSocketAddress address) {
		channel.attr(EXCHANGE).set(null);
		synchronized (this.connections) {
			Connections open = this.connections.get(address);
			if (!this.closed && open != null && channel.isActive()) {
				open.idle.addFirst(channel);
				return;
			}
		}
		channel.close();
	}

	private boolean retire(Channel channel) {
		synchronized (this.connections) {
			Connections open = this.connections.get((InetSocketAddress) channel.remoteAddress());
			return open != null && open.idle.remove(channel);
		}
	}

	private void forget(InetSocketAddress address, Channel channel) {
		synchronized (this.connections) {
			Connections open = this.connections.get(address);
			if (open == null) {
				return;
			}
			open.idle.remove(channel);
			open.total--;
			if (open.total == 0) {
				this.connections.remove(address);
			}
		}
	}

	@Override
	public void close() {
		Deque<Channel> idle = new ArrayDeque<>();
		synchronized (this.connections) {
			this.closed = true;
			this.connections.values().forEach((open) -> idle.addAll(open.idle));
		}
		idle.forEach(Channel::close);
	}

	private static final class Connections {

		private final Deque<Channel> idle = new ArrayDeque<>();

		private int total;

		private Channel pollIdle() {
			Channel channel = this.idle.pollFirst();
			while (channel != null && !channel.isActive()) {
				channel = this.idle.pollFirst();
			}
			return channel;
		}

	}

	private final class Exchange {

		private final InetSocketAddress address;

		private final HttpCall call;

		private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();

		private volatile boolean written;

		private Exchange(InetSocketAddress address, HttpCall call) {
			this.address = address;
			this.call = call;
		}

		private void fail(String detail) {
			Outcome outcome = this.written ? Outcome.UNKNOWN : Outcome.NOT_RUN;
			this.reply.completeExceptionally(DispatchException.of(PlatformHttp.this.errorKind, outcome, detail));
		}

	}

	private final class Initializer extends ChannelInitializer<SocketChannel> {

		@Override
		protected void initChannel(SocketChannel channel) {
			channel.pipeline()
				.addLast(new HttpClientCodec())
				.addLast(new LengthCheck())
				.addLast(new HttpObjectAggregator(PlatformHttp.this.settings.maxAnswerBytes()))
				.addLast(new IdleStateHandler(0, 0, IDLE_SECONDS))
				.addLast(new ReplyHandler());
		}

	}

	/**
	 * Refuses answers that end with the connection, since a truncated one looks whole.
	 */
	private static final class LengthCheck extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
			if (message instanceof HttpResponse response && !HttpUtil.isContentLengthSet(response)
					&& !HttpUtil.isTransferEncodingChunked(response)) {
				ReferenceCountUtil.release(message);
				throw new IllegalStateException("the answer has neither a length nor chunks");
			}
			super.channelRead(context, message);
		}

	}

	private final class ReplyHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
			Exchange exchange = context.channel().attr(EXCHANGE).get();
			if (exchange == null || exchange.reply.isDone()) {
				context.close();
				return;
			}
			if (response.decoderResult().isFailure()) {
				exchange.fail("malformed answer from " + exchange.address);
				return;
			}
			HttpReply reply = toReply(response);
			if (HttpUtil.isKeepAlive(response)) {
				release(context.channel(), exchange.address);
			}
			else {
				context.channel().attr(EXCHANGE).set(null);
				context.close();
			}
			exchange.reply.complete(reply);
		}

		private HttpReply toReply(FullHttpResponse response) {
			Map<String, String> headers = new LinkedHashMap<>();
			response.headers()
				.forEach((entry) -> headers.put(entry.getKey().toLowerCase(Locale.ROOT), entry.getValue()));
			return new HttpReply(response.status().code(), headers, ByteBufUtil.getBytes(response.content()));
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			if (event instanceof IdleStateEvent && retire(context.channel())) {
				context.close();
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			failExchange(context, "the connection was closed before the whole answer");
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			failExchange(context, cause.getMessage());
			context.close();
		}

		private void failExchange(ChannelHandlerContext context, String detail) {
			Exchange exchange = context.channel().attr(EXCHANGE).get();
			if (exchange != null) {
				exchange.fail("no whole answer from " + exchange.address + ": " + detail);
			}
		}

	}

}
