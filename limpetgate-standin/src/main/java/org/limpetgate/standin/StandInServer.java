package org.limpetgate.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.limpetgate.net.Listeners;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.http.HttpReply;

/**
 * HTTP/1.1 server of a stand-in. To simulate faults, it can truncate responses, withhold
 * them or close the connection instead.
 * <p>
 * Connections beyond the limit are closed when accepted. The requests of a connection are
 * handled in order, one at a time. Thread-safe.
 */
final class StandInServer implements AutoCloseable {

	private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

	private static final int MAX_PIPELINED = 16;

	private static final int MAX_CLOSE_PROBES = 1_000;

	private static final int CLOSE_PROBE_MILLIS = 100;

	private final StandInHandler handler;

	private final int maxConnections;

	private final AtomicInteger connections = new AtomicInteger();

	private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);

	private Channel listener;

	private StandInServer(StandInHandler handler, int maxConnections) {
		this.handler = handler;
		this.maxConnections = maxConnections;
	}

	static StandInServer start(EventLoopGroup group, InetSocketAddress bind, int maxConnections,
			StandInHandler handler) {
		StandInServer server = new StandInServer(handler, maxConnections);
		server.listener = Listeners.open(group, bind, server::accept);
		server.channels.add(server.listener);
		return server;
	}

	private void accept(SocketChannel channel) {
		channel.closeFuture().addListener((closed) -> this.connections.decrementAndGet());
		if (this.connections.incrementAndGet() > this.maxConnections) {
			channel.close();
			return;
		}
		this.channels.add(channel);
		channel.pipeline()
			.addLast(new HttpServerCodec())
			.addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
			.addLast(new CallHandler());
	}

	InetSocketAddress address() {
		return (InetSocketAddress) this.listener.localAddress();
	}

	/**
	 * Closes the listener and all connections, as a crash of the process would, and
	 * returns when new connections are refused. Must not be called on an event loop.
	 */
	@Override
	public void close() {
		InetSocketAddress address = address();
		this.channels.close().syncUninterruptibly();
		// The selector keeps the socket of the closed listener open until its next
		// select; until then the operating system accepts connections.
		for (int probe = 0; probe < MAX_CLOSE_PROBES && isAccepting(address); probe++) {
			Thread.onSpinWait();
		}
	}

	private static boolean isAccepting(InetSocketAddress address) {
		try (Socket probe = new Socket()) {
			probe.connect(address, CLOSE_PROBE_MILLIS);
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final Queue<PendingRequest> pendingRequests = new ArrayDeque<>();

		private final CompletableFuture<Void> closed = new CompletableFuture<>();

		private boolean handling;

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			if (request.decoderResult().isFailure() || this.pendingRequests.size() >= MAX_PIPELINED) {
				context.close();
				return;
			}
			this.pendingRequests.add(new PendingRequest(toCall(request), HttpUtil.isKeepAlive(request)));
			handleNext(context);
		}

		private void handleNext(ChannelHandlerContext context) {
			PendingRequest pending = this.handling ? null : this.pendingRequests.poll();
			if (pending == null) {
				return;
			}
			this.handling = true;
			CompletableFuture<StandInResponse> response;
			try {
				response = StandInServer.this.handler.handle(pending.call, this.closed);
			}
			catch (IllegalArgumentException ex) {
				response = CompletableFuture.completedFuture(StandInResponse.badRequest(ex.getMessage()));
			}
			catch (RuntimeException ex) {
				response = CompletableFuture.failedFuture(ex);
			}
			response.exceptionally(StandInResponse::error)
				.thenAccept((result) -> context.executor().execute(() -> send(context, pending, result)));
		}

		private void send(ChannelHandlerContext context, PendingRequest pending, StandInResponse response) {
			switch (response.delivery()) {
				case COMPLETE -> {
					sendComplete(context, pending.keepAlive, response.reply());
					this.handling = false;
					handleNext(context);
				}
				case TRUNCATED -> sendTruncated(context, response.reply());
				case CLOSE -> context.close();
				case NEVER -> {
				}
			}
		}

		private void sendComplete(ChannelHandlerContext context, boolean keepAlive, HttpReply reply) {
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(reply.body()));
			setHeaders(response, reply);
			if (keepAlive) {
				context.writeAndFlush(response);
			}
			else {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
				context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
			}
		}

		private void sendTruncated(ChannelHandlerContext context, HttpReply reply) {
			HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(reply.status()));
			setHeaders(head, reply);
			ByteBuf half = Unpooled.wrappedBuffer(reply.body(), 0, reply.body().length / 2);
			if (reply.body().length == 0) {
				head.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 1);
			}
			context.write(head);
			context.writeAndFlush(new DefaultHttpContent(half)).addListener(ChannelFutureListener.CLOSE);
		}

		private void setHeaders(HttpResponse response, HttpReply reply) {
			reply.headers().forEach((name, value) -> response.headers().set(name, value));
			response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
		}

		private HttpCall toCall(FullHttpRequest request) {
			Map<String, String> headers = new LinkedHashMap<>();
			request.headers()
				.forEach((entry) -> headers.merge(entry.getKey().toLowerCase(Locale.ROOT), entry.getValue(),
						(first, second) -> first + "," + second));
			return new HttpCall(request.method().name(), request.uri(), headers,
					ByteBufUtil.getBytes(request.content()));
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			this.pendingRequests.clear();
			this.closed.complete(null);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

	/**
	 * A pipelined request that waits for the earlier requests of its connection.
	 *
	 * @param call the request
	 * @param keepAlive whether the connection stays open after the response
	 */
	private record PendingRequest(HttpCall call, boolean keepAlive) {
	}

}
