package org.limpetgate.net.http;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
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
import io.netty.handler.codec.http.HttpMethod;
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

	private static final Pattern HOST = Pattern.compile("[A-Za-z0-9._~!$&'()*+;=%:\\[\\]-]*");

	/** The retry delay sent when memory or connections are exhausted. */
	private static final long OVERLOAD_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** The memory of a request and its header map, without the characters. */
	private static final int REQUEST_OVERHEAD_BYTES = 512;

	/** Lower statuses are informational and do not end an exchange. */
	private static final int MIN_FINAL_STATUS = 200;

	private final HttpServer server;

	private final StrictRequestDecoder decoder;

	private final boolean overLimit;

	private final Deque<Exchange> queued = new ArrayDeque<>();

	private ChannelHandlerContext context;

	/** The request that is being received, null between requests. */
	private HttpRequest request;

	private BodyBuffer body;

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
		String fault = headFault(head);
		if (fault != null) {
			refuse(DispatchException.of(ErrorKind.MALFORMED_REQUEST, Outcome.NOT_RUN, fault));
			return;
		}
		if (Headers.contentLength(head.headers()) > this.server.limits().maxBodyBytes()) {
			refuseBodyTooLarge();
			return;
		}
		this.body = new BodyBuffer(this.server.budget(), this.server.limits().maxBodyBytes());
		if (!this.body.reserve(headBytes(head))) {
			refuseOverloaded("the memory limit for buffered requests is reached");
			return;
		}
		this.request = head;
		if (head.headers().contains(HttpHeaderNames.EXPECT) && this.current == null) {
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private static String headFault(HttpRequest head) {
		String framing = Headers.framingFault(head.headers());
		if (framing != null) {
			return framing;
		}
		var hosts = head.headers().getAll(HttpHeaderNames.HOST);
		if (hosts.size() != 1) {
			return "the head must have exactly one Host header";
		}
		if (!HOST.matcher(hosts.get(0)).matches()) {
			return "the Host header has a character that is not allowed";
		}
		if (head.headers()
			.getAll(HttpHeaderNames.EXPECT)
			.stream()
			.anyMatch((e) -> !e.equalsIgnoreCase("100-continue"))) {
			return "Expect has a value other than 100-continue";
		}
		return targetFault(head.method(), head.uri());
	}

	private static String targetFault(HttpMethod method, String target) {
		if (target.startsWith("/") || (target.equals("*") && method.equals(HttpMethod.OPTIONS))) {
			return null;
		}
		return isAbsolute(target) ? null : "the request target is neither a path nor an http URL";
	}

	private static boolean isAbsolute(String target) {
		try {
			return target.startsWith("http://") && URI.create(target).getHost() != null;
		}
		catch (IllegalArgumentException ex) {
			return false;
		}
	}

	private static long headBytes(HttpRequest head) {
		long bytes = REQUEST_OVERHEAD_BYTES + head.uri().length();
		for (Map.Entry<String, String> header : head.headers()) {
			bytes += header.getKey().length() + header.getValue().length();
		}
		return bytes;
	}

	private void appendContent(HttpContent content) {
		if (content.decoderResult().isFailure()) {
			refuseDecoding(content.decoderResult());
			return;
		}
		switch (this.body.append(content.content())) {
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
		boolean keepAlive = !Headers.hasConnectionOption(this.request.headers(), "close");
		HttpCall call = toCall(this.request, this.body.toByteArray());
		long reserved = this.body.detachReservation();
		this.request = null;
		this.body = null;
		cancelRequestTimer();
		if (!keepAlive) {
			endInput();
		}
		enqueue(new Exchange(call, null, keepAlive, reserved));
	}

	private static HttpCall toCall(HttpRequest request, byte[] body) {
		Map<String, String> headers = Headers.toMap(request.headers());
		String target = request.uri();
		if (target.startsWith("http://")) {
			// RFC 9112, 3.2.2: the authority of the target replaces the Host header.
			URI uri = URI.create(target);
			headers.put("host", uri.getRawAuthority());
			String path = uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
			target = (uri.getRawQuery() != null) ? path + "?" + uri.getRawQuery() : path;
		}
		return new HttpCall(request.method().name(), target, headers, body);
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
		if (this.body != null) {
			this.body.release();
		}
		this.request = null;
		this.body = null;
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
			return toResponseUnchecked(exchange, reply);
		}
		catch (RuntimeException ex) {
			// A header that cannot be encoded must not split the response or suppress it.
			LOG.atWarning()
				.atMostEvery(1, TimeUnit.SECONDS)
				.withCause(ex)
				.log("LG5002 ANSWER_NOT_ENCODABLE the response cannot be encoded");
			return toResponseUnchecked(exchange, ErrorReply.of(ex));
		}
	}

	private static FullHttpResponse toResponseUnchecked(Exchange exchange, HttpReply reply) {
		if (reply.status() < MIN_FINAL_STATUS) {
			throw new IllegalArgumentException("status " + reply.status() + " does not end an exchange");
		}
		boolean isHead = exchange.call() != null && exchange.call().method().equals("HEAD");
		ByteBuf content = isHead ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(reply.body());
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(reply.status()), content);
		Headers.addAll(reply.headers(), response.headers());
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
		if (!response.headers().contains(HeaderNames.OUTCOME)) {
			response.headers().set(HeaderNames.OUTCOME, Outcome.COMPLETE.text());
		}
		return response;
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
