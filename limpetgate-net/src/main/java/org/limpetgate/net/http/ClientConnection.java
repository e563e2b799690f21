package org.limpetgate.net.http;

import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;

/**
 * One connection of a {@link ConnectionPool}.
 * <p>
 * All state belongs to the event loop of the pool.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

	private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

	/**
	 * The most informational responses before the final one; more count as a fault of the
	 * upstream.
	 */
	private static final int MAX_INFORMATIONAL = 8;

	/**
	 * The longest accepted {@code Retry-After}; a longer one is a fault of the upstream
	 * and is reduced to this value.
	 */
	private static final long MAX_RETRY_AFTER_SECONDS = 3600;

	private final ConnectionPool pool;

	private final StrictResponseDecoder decoder;

	private ChannelHandlerContext context;

	/** The request in flight, null while the connection is idle. */
	private ConnectionRequest inFlight;

	/** The identity of the process that accepted the connection, empty until known. */
	private OptionalLong identity = OptionalLong.empty();

	/**
	 * The exchange whose check succeeded and whose request is sent after the current
	 * read, null if there is none.
	 */
	private PendingExchange checkedExchange;

	private HttpResponse response;

	private BodyBuffer body;

	private int informationalCount;

	private boolean requestSent;

	/**
	 * Whether the response is complete and the connection may be reused after the current
	 * read.
	 */
	private boolean reusable;

	private boolean reused;

	private ScheduledFuture<?> idleTimer;

	ClientConnection(ConnectionPool pool, StrictResponseDecoder decoder) {
		this.pool = pool;
		this.decoder = decoder;
	}

	void install(ChannelPipeline pipeline) {
		pipeline.addLast(new WriteProgress(this::writeProgressed), this.decoder, new HttpRequestEncoder(), this);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	boolean isUsable() {
		return this.context.channel().isActive() && this.decoder.bufferedBytes() == 0;
	}

	void close() {
		this.context.close();
	}

	/**
	 * Tests whether the request of an exchange may be sent on this connection as far as
	 * is known.
	 * @param next the exchange
	 * @return false if the connection is known to have another identity than the expected
	 * one
	 */
	boolean accepts(PendingExchange next) {
		return !next.isBound() || this.identity.isEmpty()
				|| this.identity.getAsLong() == next.identityCheck().expectedIdentity();
	}

	void setIdentity(OptionalLong value) {
		this.identity = value;
	}

	/**
	 * Sends the request of an exchange that this connection accepts, after its check if
	 * it has one and the identity is not known.
	 * @param next the exchange
	 */
	void send(PendingExchange next) {
		boolean checked = !next.isBound() || this.identity.isPresent();
		sendRequest(checked ? next : new IdentityCheckRequest(this, next));
	}

	/**
	 * Sends the request of an exchange once the response of its check has been read
	 * completely, since input that follows the response belongs to no request.
	 * @param next the exchange
	 */
	void sendAfterRead(PendingExchange next) {
		this.checkedExchange = next;
	}

	private void sendRequest(ConnectionRequest next) {
		if (next.isDone()) {
			returnToPool();
			return;
		}
		cancelIdleTimer();
		FullHttpRequest request = toRequest(next);
		if (request == null) {
			returnToPool();
			return;
		}
		this.inFlight = next;
		this.requestSent = false;
		this.informationalCount = 0;
		this.decoder.expectResponseTo(next.call().method());
		next.attach(this);
		this.context.writeAndFlush(request).addListener((sent) -> {
			if (sent.isSuccess()) {
				this.requestSent = true;
			}
			else {
				failExchange("the request cannot be sent: " + sent.cause().getMessage());
			}
		});
	}

	private FullHttpRequest toRequest(ConnectionRequest next) {
		try {
			return toRequestUnchecked(next.call(), next.number());
		}
		catch (RuntimeException ex) {
			next.fail(DispatchException.of(ErrorKind.INTERNAL, Outcome.NOT_RUN,
					"the request cannot be encoded: " + ex.getMessage()));
			return null;
		}
	}

	private FullHttpRequest toRequestUnchecked(HttpCall call, long number) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method()),
				call.target(), Unpooled.wrappedBuffer(call.body()));
		Headers.addAll(call.headers(), request.headers());
		if (!request.headers().contains(HttpHeaderNames.HOST)) {
			request.headers()
				.set(HttpHeaderNames.HOST,
						HttpUtil.formatHostnameForHttp(this.pool.address()) + ":" + this.pool.address().getPort());
		}
		request.headers().set(HeaderNames.EXCHANGE, number);
		if (call.body().length > 0 || !(call.method().equals("GET") || call.method().equals("HEAD"))) {
			request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
		}
		return request;
	}

	private void writeProgressed() {
		if (this.inFlight != null) {
			this.inFlight.markWritten();
		}
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
		if (this.inFlight == null) {
			// Unsolicited input would be read as the response to the next request.
			this.reusable = false;
			close();
			return;
		}
		if (message instanceof HeadValidator.Result invalidHead) {
			failExchange("the response is malformed: " + invalidHead.detail());
			return;
		}
		if (message instanceof HttpResponse head && this.response == null) {
			startResponse(head);
		}
		if (message instanceof HttpContent content && this.response != null) {
			appendContent(content);
		}
	}

	private void startResponse(HttpResponse head) {
		String fault = headFault(head);
		if (fault != null) {
			failExchange("the response is malformed: " + fault);
			return;
		}
		this.response = head;
		if (isInformational()) {
			return;
		}
		if ("true".equalsIgnoreCase(head.headers().get(HeaderNames.LEAVING))) {
			this.inFlight.markUpstreamLeaving();
		}
		this.body = new BodyBuffer(this.pool.budget(), this.pool.limits().maxBodyBytes());
	}

	private String headFault(HttpResponse head) {
		if (head.decoderResult().isFailure()) {
			return head.decoderResult().cause().getMessage();
		}
		String framing = Headers.framingFault(head.headers());
		if (framing != null) {
			return framing;
		}
		String number = head.headers().get(HeaderNames.EXCHANGE);
		if (number != null && !number.equals(Long.toString(this.inFlight.number()))) {
			return "it belongs to another exchange";
		}
		int status = head.status().code();
		if (status < 200) {
			this.informationalCount++;
			return (status == 101 || this.informationalCount > MAX_INFORMATIONAL)
					? "it has an unexpected status " + status : null;
		}
		boolean noBody = status == 204 || status == 304 || this.inFlight.call().method().equals("HEAD");
		boolean framed = HttpUtil.isTransferEncodingChunked(head) || Headers.contentLength(head.headers()) >= 0;
		// A response delimited by the close of the connection cannot be distinguished
		// from a truncated one.
		return (noBody || framed) ? null : "it has neither Content-Length nor Transfer-Encoding";
	}

	private boolean isInformational() {
		return this.response.status().code() < 200;
	}

	private void appendContent(HttpContent content) {
		if (isInformational()) {
			if (content instanceof LastHttpContent) {
				this.response = null;
			}
			return;
		}
		if (content.decoderResult().isFailure()) {
			failExchange("the response is malformed: " + content.decoderResult().cause().getMessage());
			return;
		}
		switch (this.body.append(content.content())) {
			case BODY_TOO_LARGE ->
				failExchange("the body of the response has more than " + this.pool.limits().maxBodyBytes() + " bytes");
			case BUDGET_EXHAUSTED -> failExchange("the memory limit for buffered responses is reached");
			case APPENDED -> {
				if (content instanceof LastHttpContent) {
					finishResponse();
				}
			}
		}
	}

	private void finishResponse() {
		long declaredLength = Headers.contentLength(this.response.headers());
		boolean noBody = this.body.size() == 0
				&& (this.response.status().code() == 304 || this.inFlight.call().method().equals("HEAD"));
		if (declaredLength >= 0 && declaredLength != this.body.size() && !noBody) {
			failExchange("the response ended after " + this.body.size() + " of " + declaredLength + " bytes");
			return;
		}
		ConnectionRequest finished = this.inFlight;
		Map<String, String> headers = Headers.toMap(this.response.headers());
		headers.remove(HeaderNames.EXCHANGE);
		HttpReply reply = new HttpReply(this.response.status().code(), headers, this.body.toByteArray());
		this.reusable = this.requestSent && this.response.protocolVersion().equals(HttpVersion.HTTP_1_1)
				&& !Headers.hasConnectionOption(this.response.headers(), "close");
		clear();
		if (!this.reusable) {
			close();
		}
		if (this.identity.isEmpty()) {
			this.identity = finished.identity(reply);
		}
		deliver(finished, reply);
	}

	private void deliver(ConnectionRequest finished, HttpReply reply) {
		if (!this.pool.limits().refusalsAsResponses() && reply.status() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
				&& reply.header(HeaderNames.OUTCOME).equals(Outcome.NOT_RUN.text())) {
			finished.fail(refusal(reply));
		}
		else {
			finished.complete(reply);
		}
	}

	private DispatchException refusal(HttpReply reply) {
		String detail = "the upstream " + this.pool.address() + " refused the request";
		String retryAfter = reply.header("retry-after");
		if (!retryAfter.matches("[0-9]{1,9}")) {
			return DispatchException.of(ErrorKind.OVERLOADED, Outcome.NOT_RUN, detail);
		}
		long seconds = Math.min(Long.parseLong(retryAfter), MAX_RETRY_AFTER_SECONDS);
		return DispatchException.withRetryAfter(ErrorKind.OVERLOADED, Outcome.NOT_RUN, detail,
				TimeUnit.SECONDS.toNanos(seconds));
	}

	/**
	 * Returns the connection to the pool only at the end of the read, since input that
	 * arrived with the response and follows it belongs to no request.
	 */
	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		if (this.inFlight == null && this.decoder.bufferedBytes() > 0) {
			close();
		}
		else if (this.reusable) {
			this.reusable = false;
			if (this.checkedExchange != null) {
				sendCheckedExchange();
			}
			else {
				returnToPool();
			}
		}
	}

	private void sendCheckedExchange() {
		PendingExchange next = this.checkedExchange;
		this.checkedExchange = null;
		send(next);
	}

	private void returnToPool() {
		if (!isUsable()) {
			return;
		}
		this.reused = true;
		this.idleTimer = this.context.executor()
			.schedule(this::close, this.pool.limits().idleNanos(), TimeUnit.NANOSECONDS);
		this.pool.returnConnection(this);
	}

	private void cancelIdleTimer() {
		if (this.idleTimer != null) {
			this.idleTimer.cancel(false);
			this.idleTimer = null;
		}
	}

	// Closes the connection and fails the exchange.
	private void failExchange(String detail) {
		ConnectionRequest failed = this.inFlight;
		clear();
		close();
		if (failed == null) {
			return;
		}
		if (this.reused && !failed.isWritten() && !failed.isDone()) {
			// The idle connection was closed before a byte of the request was written.
			failed.retryOnAnotherConnection();
			return;
		}
		failed.fail(ErrorKind.UPSTREAM_FAILED, "the exchange with " + this.pool.address() + " failed: " + detail);
	}

	private void clear() {
		if (this.body != null) {
			this.body.release();
		}
		this.inFlight = null;
		this.response = null;
		this.body = null;
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		cancelIdleTimer();
		this.reusable = false;
		this.pool.remove(this);
		failExchange("the upstream closed the connection before the response was complete");
		if (this.checkedExchange != null) {
			this.checkedExchange.fail(ErrorKind.UPSTREAM_FAILED,
					"the connection to " + this.pool.address() + " closed after the identity check");
			this.checkedExchange = null;
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		LOG.atFine()
			.withCause(cause)
			.log("LG5004 UPSTREAM_CONNECTION_FAILED connection to %s failed", this.pool.address());
		failExchange(cause.getMessage());
	}

}
