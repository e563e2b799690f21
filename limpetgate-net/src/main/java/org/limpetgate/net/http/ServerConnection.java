package org.limpetgate.net.http;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;

/**
 * One connection of an {@link HttpServer}.
 * <p>
 * All state is confined to the connection's event loop. Complete requests and refusals
 * share one queue, so that they are answered in order of arrival.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

	private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

	/** The retry delay sent when memory or connections are exhausted. */
	private static final long OVERLOAD_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final HttpServer server;

	private final StrictRequestDecoder decoder;

	private final boolean overLimit;

	private final Deque<Exchange> queued = new ArrayDeque<>();

	private ChannelHandlerContext context;

	/** The request that is being received, null between requests. */
	private IncomingRequest request;

	/**
	 * The exchange whose response is being produced or written, null if there is none.
	 */
	private Exchange current;

	private CompletableFuture<HttpReply> pendingReply;

	/** Whether further input is discarded. */
	private boolean inputEnded;

	private ScheduledFuture<?> requestTimer;

	private ScheduledFuture<?> closeTimer;

	ServerConnection(HttpServer server, StrictRequestDecoder decoder, boolean overLimit) {
		this.server = server;
		this.decoder = decoder;
		this.overLimit = overLimit;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		if (this.overLimit) {
			refuseOverloaded("the connection limit of the host is reached");
		}
		updateTimers();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		try {
			receive(message);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void receive(Object message) {
		if (this.inputEnded) {
			return;
		}
		if (message instanceof HeadValidator.Result invalidHead) {
			refuse(DispatchException.of(invalidHead.errorKind(), Outcome.NOT_RUN, invalidHead.detail()));
			return;
		}
		if (message instanceof HttpRequest head) {
			startRequest(head);
		}
		if (message instanceof HttpContent content && this.request != null) {
			appendContent(content);
		}
	}

	private void startRequest(HttpRequest head) {
		if (head.decoderResult().isFailure()) {
			refuseDecoding(head.decoderResult());
			return;
		}
		String fault = IncomingRequest.fault(head);
		if (fault != null) {
			refuse(DispatchException.of(ErrorKind.MALFORMED_REQUEST, Outcome.NOT_RUN, fault));
			return;
		}
		if (Headers.contentLength(head.headers()) > this.server.limits().maxBodyBytes()) {
			refuseBodyTooLarge();
			return;
		}
		this.request = new IncomingRequest(head, this.server.budget(), this.server.limits().maxBodyBytes());
		if (!this.request.reserveHead()) {
			refuseOverloaded("the memory limit for buffered requests is reached");
			return;
		}
		if (head.headers().contains(HttpHeaderNames.EXPECT) && this.current == null) {
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private void appendContent(HttpContent content) {
		if (content.decoderResult().isFailure()) {
			refuseDecoding(content.decoderResult());
			return;
		}
		switch (this.request.append(content.content())) {
			case BODY_TOO_LARGE -> refuseBodyTooLarge();
			case BUDGET_EXHAUSTED -> refuseOverloaded("the memory limit for buffered requests is reached");
			case APPENDED -> {
				if (content instanceof LastHttpContent) {
					finishRequest();
				}
			}
		}
	}

	private void finishRequest() {
		boolean keepAlive = this.request.keepAlive();
		HttpCall call = this.request.toCall();
		long reserved = this.request.detachReservation();
		this.request = null;
		cancelRequestTimer();
		if (!keepAlive) {
			endInput();
		}
		enqueue(new Exchange(call, null, keepAlive, reserved));
	}

	private void refuseDecoding(DecoderResult result) {
		ErrorKind kind = (result.cause() instanceof TooLongHttpHeaderException) ? ErrorKind.HEAD_TOO_LARGE
				: ErrorKind.MALFORMED_REQUEST;
		refuse(DispatchException.of(kind, Outcome.NOT_RUN,
				"the request cannot be decoded: " + result.cause().getMessage()));
	}

	private void refuseBodyTooLarge() {
		refuse(DispatchException.of(ErrorKind.BODY_TOO_LARGE, Outcome.NOT_RUN,
				"the body has more than " + this.server.limits().maxBodyBytes() + " bytes"));
	}

	private void refuseOverloaded(String detail) {
		refuse(DispatchException.withRetryAfter(ErrorKind.OVERLOADED, Outcome.NOT_RUN, detail, OVERLOAD_RETRY_NANOS));
	}

	// Responds to the request that is being received with an error and discards further
	// input.
	private void refuse(DispatchException error) {
		this.server.metrics().requestRefused(error.kind());
		dropPartialRequest();
		endInput();
		enqueue(new Exchange(null, ErrorReply.of(error), false, 0));
	}

	private void dropPartialRequest() {
		if (this.request != null) {
			this.request.release();
		}
		this.request = null;
		cancelRequestTimer();
	}

	private void endInput() {
		this.inputEnded = true;
		this.decoder.discardInput();
	}

	private void enqueue(Exchange exchange) {
		this.queued.add(exchange);
		if (this.queued.size() >= this.server.limits().maxPipelined()) {
			this.context.channel().config().setAutoRead(false);
		}
		serveNext();
	}

	private void serveNext() {
		if (this.current != null || this.queued.isEmpty()) {
			return;
		}
		cancelCloseTimer();
		Exchange exchange = this.queued.poll();
		this.current = exchange;
		if (this.queued.isEmpty()) {
			this.context.channel().config().setAutoRead(true);
		}
		if (exchange.refusal() != null) {
			write(exchange, exchange.refusal());
			return;
		}
		this.server.metrics().requestStarted();
		this.pendingReply = handle(exchange.call());
		this.pendingReply.whenComplete((reply, failure) -> this.context.executor()
			.execute(() -> onHandlerCompleted(exchange, (failure != null) ? ErrorReply.of(failure) : reply)));
	}

	private CompletableFuture<HttpReply> handle(HttpCall call) {
		try {
			return Objects.requireNonNull(this.server.handler().handle(call), "handler returned no future");
		}
		catch (RuntimeException ex) {
			LOG.atWarning()
				.atMostEvery(1, TimeUnit.SECONDS)
				.withCause(ex)
				.log("LG5001 HANDLER_FAULT handler failed for %s %s", call.method(), call.path());
			return CompletableFuture.failedFuture(ex);
		}
	}

	private void onHandlerCompleted(Exchange exchange, HttpReply reply) {
		this.pendingReply = null;
		if (!this.context.channel().isActive()) {
			this.server.budget().release(exchange.reserved());
			return;
		}
		write(exchange, reply);
	}

	private void write(Exchange exchange, HttpReply reply) {
		boolean close = !exchange.keepAlive() || (this.server.isDraining() && !hasInput());
		FullHttpResponse response = toResponse(exchange, reply);
		if (close) {
			response.headers().set(HttpHeaderNames.CONNECTION, "close");
		}
		long replyBytes = response.content().readableBytes();
		this.server.budget().add(replyBytes);
		scheduleClose(this.server.limits().responseNanos());
		int status = response.status().code();
		this.context.writeAndFlush(response).addListener((ChannelFuture written) -> {
			this.server.budget().release(exchange.reserved() + replyBytes);
			if (written.isSuccess()) {
				this.server.metrics().responseWritten(status);
			}
			this.context.executor().execute(() -> onResponseWritten(written.isSuccess(), close));
		});
	}

	private static FullHttpResponse toResponse(Exchange exchange, HttpReply reply) {
		try {
			return ResponseEncoder.encode(exchange.call(), reply);
		}
		catch (RuntimeException ex) {
			// A header that cannot be encoded must not split the response or suppress it.
			LOG.atWarning()
				.atMostEvery(1, TimeUnit.SECONDS)
				.withCause(ex)
				.log("LG5002 ANSWER_NOT_ENCODABLE the response cannot be encoded");
			return ResponseEncoder.encode(exchange.call(), ErrorReply.of(ex));
		}
	}

	private void onResponseWritten(boolean success, boolean close) {
		this.current = null;
		cancelCloseTimer();
		if (!success) {
			this.context.close();
		}
		else if (close) {
			endOutput();
		}
		else {
			serveNext();
			updateTimers();
		}
	}

	/**
	 * Closes the output after the last response. Closing the connection immediately could
	 * reset it while the caller still sends, and the caller could lose the response, so
	 * input is discarded until the caller closes.
	 */
	private void endOutput() {
		dropPartialRequest();
		endInput();
		this.context.channel().config().setAutoRead(true);
		((DuplexChannel) this.context.channel()).shutdownOutput();
		scheduleClose(this.server.limits().lingerNanos());
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		updateTimers();
	}

	private void updateTimers() {
		boolean reading = !this.inputEnded && this.context.channel().config().isAutoRead();
		boolean partial = this.request != null || this.decoder.bufferedBytes() > 0;
		if (!reading || !partial) {
			cancelRequestTimer();
		}
		else if (this.requestTimer == null) {
			this.requestTimer = schedule(this::requestTimedOut, this.server.limits().requestNanos());
		}
		if (isIdle() && !this.inputEnded && this.closeTimer == null) {
			scheduleClose(this.server.isDraining() ? this.server.limits().drainGraceNanos()
					: this.server.limits().idleNanos());
		}
		else if (partial && this.current == null && !this.inputEnded) {
			cancelCloseTimer();
		}
	}

	private void requestTimedOut() {
		this.requestTimer = null;
		refuse(DispatchException.of(ErrorKind.REQUEST_TIMEOUT, Outcome.NOT_RUN,
				"the request was not complete within the time limit"));
	}

	// Tests whether a request was received, completely or in part, and not yet handled.
	private boolean hasInput() {
		return !this.queued.isEmpty() || this.request != null || this.decoder.bufferedBytes() > 0;
	}

	private boolean isIdle() {
		return this.current == null && !hasInput();
	}

	void closeIfIdle() {
		this.context.executor().execute(() -> {
			if (isIdle()) {
				this.context.close();
			}
		});
	}

	void close() {
		this.context.close();
	}

	private ScheduledFuture<?> schedule(Runnable task, long nanos) {
		return this.context.executor().schedule(task, nanos, TimeUnit.NANOSECONDS);
	}

	private void scheduleClose(long nanos) {
		cancelCloseTimer();
		this.closeTimer = schedule(this.context::close, nanos);
	}

	private void cancelCloseTimer() {
		if (this.closeTimer != null) {
			this.closeTimer.cancel(false);
			this.closeTimer = null;
		}
	}

	private void cancelRequestTimer() {
		if (this.requestTimer != null) {
			this.requestTimer.cancel(false);
			this.requestTimer = null;
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		dropPartialRequest();
		cancelCloseTimer();
		this.inputEnded = true;
		this.queued.forEach((exchange) -> this.server.budget().release(exchange.reserved()));
		this.queued.clear();
		if (this.pendingReply != null) {
			this.server.metrics().requestAbandoned();
			this.pendingReply.cancel(true);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		if (!(cause instanceof IOException)) {
			LOG.atWarning()
				.atMostEvery(1, TimeUnit.SECONDS)
				.withCause(cause)
				.log("LG5003 CALLER_CONNECTION_FAULT connection from %s failed", ctx.channel().remoteAddress());
		}
		ctx.close();
	}

	/**
	 * A request or a refusal that waits to be answered.
	 *
	 * @param call the request, null for a refusal
	 * @param refusal the error response of the server itself, null for a request
	 * @param keepAlive whether the connection stays open after the response
	 * @param reserved the bytes reserved in the budget
	 */
	private record Exchange(HttpCall call, HttpReply refusal, boolean keepAlive, long reserved) {

	}

}
