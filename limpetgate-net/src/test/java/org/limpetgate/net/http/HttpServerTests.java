package org.limpetgate.net.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Contract tests for {@link HttpServer} over raw connections.
 */
class HttpServerTests {

	private static final int MAX_HEAD_BYTES = 1000;

	private static final int MAX_BODY_BYTES = 100;

	private static final String GET = "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n";

	private static final String GET_HEAD_START = "GET / HTTP/1.1\r\nHost: h\r\n";

	private static final String POST_HEAD_START = "POST / HTTP/1.1\r\nHost: h\r\n";

	private static final long SHORT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private static final long LONG_NANOS = TimeUnit.SECONDS.toNanos(60);

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	private final List<HttpCall> calls = Collections.synchronizedList(new ArrayList<>());

	private final BlockingQueue<CompletableFuture<HttpReply>> heldReplies = new LinkedBlockingQueue<>();

	private HttpServer server;

	@AfterTry
	void stop() {
		this.server.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	private static HttpServerLimits limits() {
		return HttpServerLimits.defaults()
			.withRequestBytes(MAX_HEAD_BYTES, MAX_BODY_BYTES)
			.withRequestTimes(LONG_NANOS, LONG_NANOS)
			.withClosingTimes(LONG_NANOS, SHORT_NANOS, LONG_NANOS);
	}

	private void start(HttpServerLimits limits) {
		this.server = HttpServer.start(this.group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), limits,
				this::handle);
	}

	private CompletableFuture<HttpReply> handle(HttpCall call) {
		this.calls.add(call);
		return switch (call.path()) {
			case "/held" -> {
				CompletableFuture<HttpReply> future = new CompletableFuture<>();
				this.heldReplies.add(future);
				yield future;
			}
			case "/late" -> CompletableFuture.failedFuture(
					DispatchException.withRetryAfter(ErrorKind.OVERLOADED, Outcome.NOT_RUN, "full", 1_000_000_001L));
			case "/lost" ->
				CompletableFuture.failedFuture(DispatchException.of(ErrorKind.UPSTREAM_FAILED, Outcome.UNKNOWN, "cut"));
			case "/fault" -> throw new IllegalStateException("fault");
			case "/null" -> CompletableFuture.completedFuture(null);
			case "/early" -> CompletableFuture.completedFuture(new HttpReply(102, Map.of(), new byte[0]));
			case "/split" -> CompletableFuture.completedFuture(reply("x", Map.of("a", "b\r\nc: d")));
			case "/hop" -> CompletableFuture
				.completedFuture(reply("x", Map.of("connection", "x-a", "x-a", "1", "transfer-encoding", "chunked")));
			default -> CompletableFuture
				.completedFuture(reply(call.target() + new String(call.body(), StandardCharsets.UTF_8), Map.of()));
		};
	}

	private static HttpReply reply(String body, Map<String, String> headers) {
		return new HttpReply(200, headers, body.getBytes(StandardCharsets.UTF_8));
	}

	private RawConnection.Message exchange(String request) throws IOException {
		try (RawConnection connection = RawConnection.open(this.server.address())) {
			return connection.send(request).read();
		}
	}

	/**
	 * Guards against accepting input that HTTP implementations parse differently, and
	 * against refusals without an outcome or a remedy.
	 */
	@Example
	void malformedInputIsRefusedAndTheNextRequestServed() throws IOException {
		start(limits());
		record Case(String name, String input, ErrorKind error) {
		}
		ErrorKind malformed = ErrorKind.MALFORMED_REQUEST;
		List<Case> cases = List.of(new Case("not HTTP", "hello\r\n\r\n", malformed),
				new Case("version", "GET / HTTP/1.0\r\nHost: h\r\n\r\n", malformed),
				new Case("version 2", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", malformed),
				new Case("two spaces", "GET  / HTTP/1.1\r\nHost: h\r\n\r\n", malformed),
				new Case("method", "G@T / HTTP/1.1\r\nHost: h\r\n\r\n", malformed),
				new Case("target", "GET a HTTP/1.1\r\nHost: h\r\n\r\n", malformed),
				new Case("non-ASCII target", "GET /\u00e9 HTTP/1.1\r\nHost: h\r\n\r\n", malformed),
				new Case("bare line feeds", "GET / HTTP/1.1\nHost: h\n\n", malformed),
				new Case("bare carriage return", GET_HEAD_START + "a: b\rc: d\r\n\r\n", malformed),
				new Case("no Host", "GET / HTTP/1.1\r\n\r\n", malformed),
				new Case("two Hosts", GET_HEAD_START + "Host: i\r\n\r\n", malformed),
				new Case("bad Host", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n", malformed),
				new Case("folding", GET_HEAD_START + "a: b\r\n c\r\n\r\n", malformed),
				new Case("space before colon", GET_HEAD_START + "a : b\r\n\r\n", malformed),
				new Case("no colon", GET_HEAD_START + "abc\r\n\r\n", malformed),
				new Case("no name", GET_HEAD_START + ": b\r\n\r\n", malformed),
				new Case("control character", GET_HEAD_START + "a: b\u0001\r\n\r\n", malformed),
				new Case("null character", GET_HEAD_START + "a: b\u0000c\r\n\r\n", malformed),
				new Case("expectation", GET_HEAD_START + "Expect: more\r\n\r\n", malformed),
				new Case("conflicting lengths", POST_HEAD_START + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
						malformed),
				new Case("equal lengths", POST_HEAD_START + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
						malformed),
				new Case("list of lengths", POST_HEAD_START + "Content-Length: 1, 1\r\n\r\na", malformed),
				new Case("signed length", POST_HEAD_START + "Content-Length: +1\r\n\r\na", malformed),
				new Case("negative length", POST_HEAD_START + "Content-Length: -1\r\n\r\n", malformed),
				new Case("huge length", POST_HEAD_START + "Content-Length: 99999999999999999999\r\n\r\n", malformed),
				new Case("length and encoding",
						POST_HEAD_START + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
						malformed),
				new Case("unknown encoding", POST_HEAD_START + "Transfer-Encoding: gzip, chunked\r\n\r\n", malformed),
				new Case("two encodings",
						POST_HEAD_START + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
						malformed),
				new Case("bad chunk size", POST_HEAD_START + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", malformed),
				new Case("bad chunk end", POST_HEAD_START + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n",
						malformed),
				new Case("large head", GET_HEAD_START + "a: " + "b".repeat(MAX_HEAD_BYTES) + "\r\n\r\n",
						ErrorKind.HEAD_TOO_LARGE),
				new Case("endless head", "GET /" + "a".repeat(4 * MAX_HEAD_BYTES), ErrorKind.HEAD_TOO_LARGE),
				new Case("many headers", GET_HEAD_START + "a:\r\n".repeat(300) + "\r\n", ErrorKind.HEAD_TOO_LARGE),
				new Case("large body", POST_HEAD_START + "Content-Length: 101\r\n\r\n", ErrorKind.BODY_TOO_LARGE),
				new Case("large body in one write",
						POST_HEAD_START + "Content-Length: 8000000\r\n\r\n" + "a".repeat(8_000_000),
						ErrorKind.BODY_TOO_LARGE),
				new Case("large chunks", POST_HEAD_START + "Transfer-Encoding: chunked\r\n\r\n65\r\n" + "a".repeat(101),
						ErrorKind.BODY_TOO_LARGE));
		for (Case c : cases) {
			try (RawConnection connection = RawConnection.open(this.server.address())) {
				assertRefused(c.name(), connection.send(c.input()).read(), c.error());
				assertThat(connection.isAtEnd()).as(c.name()).isTrue();
			}
			assertThat(exchange(GET).body()).as(c.name()).isEqualTo("/a?b=c");
		}
		assertThat(this.calls).hasSize(cases.size());
		assertAllBytesReleased();
	}

	// Waits, since the bytes are released only after the response was written, and the
	// caller may receive it earlier.
	private void assertAllBytesReleased() {
		for (int i = 0; i < 4000 && this.server.bufferedBytes() != 0; i++) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
		}
		assertThat(this.server.bufferedBytes()).isZero();
	}

	private static void assertRefused(String name, RawConnection.Message response, ErrorKind error) throws IOException {
		JsonNode body = new ObjectMapper().readTree(response.body());
		assertThat(response.status()).as(name).isEqualTo(error.httpStatus());
		assertThat(response.header("limpetgate-outcome")).as(name).isEqualTo("not-run");
		assertThat(body.path("error").asText()).as(name).isEqualTo(error.name());
		assertThat(body.path("outcome").asText()).as(name).isEqualTo("not-run");
		assertThat(body.path("message").asText()).as(name).endsWith(error.remedy());
	}

	/**
	 * Guards against slow senders that occupy memory and connections.
	 */
	@Example
	void slowSendersAreRefused() throws IOException {
		start(limits().withRequestTimes(SHORT_NANOS, LONG_NANOS));
		for (String partialRequest : List.of("G", GET_HEAD_START, POST_HEAD_START + "Content-Length: 5\r\n\r\nab",
				POST_HEAD_START + "Transfer-Encoding: chunked\r\n\r\n1\r\na")) {
			try (RawConnection connection = RawConnection.open(this.server.address())) {
				assertRefused(partialRequest, connection.send(partialRequest).read(), ErrorKind.REQUEST_TIMEOUT);
			}
		}
		assertAllBytesReleased();
		assertThat(this.calls).isEmpty();
	}

	/**
	 * Guards against unlimited memory and connections, and against bytes that stay
	 * reserved after the request ended.
	 */
	@Example
	void totalConnectionsAndBytesAreLimited() throws IOException {
		start(limits().withTotalLimits(1, 1000));
		try (RawConnection first = RawConnection.open(this.server.address())) {
			first.send(POST_HEAD_START.replace("/", "/held").replace("HTTP/held", "HTTP/")
					+ "Content-Length: 90\r\n\r\n" + "a".repeat(90));
			CompletableFuture<HttpReply> pending = takeHeldReply();
			assertRefused("connections", exchange(GET), ErrorKind.OVERLOADED);
			first.send(POST_HEAD_START + "x: " + "y".repeat(500) + "\r\nContent-Length: 0\r\n\r\n");
			pending.complete(reply("done", Map.of()));
			assertThat(first.read().body()).isEqualTo("done");
			RawConnection.Message refused = first.read();
			assertRefused("bytes", refused, ErrorKind.OVERLOADED);
			assertThat(refused.header("retry-after")).isEqualTo("1");
			assertThat(first.isAtEnd()).isTrue();
		}
		assertAllBytesReleased();
	}

	private CompletableFuture<HttpReply> takeHeldReply() {
		try {
			return this.heldReplies.poll(20, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Guards against responses in another order than the requests, and against a refusal
	 * that is sent before the response to an earlier pipelined request.
	 */
	@Example
	void pipelinedRequestsAreAnsweredInOrder() throws IOException {
		start(limits());
		try (RawConnection connection = RawConnection.open(this.server.address())) {
			StringBuilder input = new StringBuilder("\r\n" + GET.replace("/a", "/held"));
			for (int i = 0; i < 40; i++) {
				input.append(GET.replace("/a", "/" + i));
			}
			connection.send(input + "bad\r\n\r\n");
			takeHeldReply().complete(reply("first", Map.of()));
			assertThat(connection.read().body()).isEqualTo("first");
			for (int i = 0; i < 40; i++) {
				assertThat(connection.read().body()).isEqualTo("/" + i + "?b=c");
			}
			assertRefused("last", connection.read(), ErrorKind.MALFORMED_REQUEST);
			assertThat(connection.isAtEnd()).isTrue();
		}
	}

	/**
	 * Guards against bodies and headers that are altered on the way to the handler.
	 */
	@Example
	void wellFormedRequestsReachTheHandler() throws IOException {
		start(limits());
		assertThat(exchange(POST_HEAD_START + "Content-Length: 3\r\n\r\nabc").body()).isEqualTo("/abc");
		assertThat(
				exchange(POST_HEAD_START + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\nt: u\r\n\r\n")
					.body())
			.isEqualTo("/abc");
		assertThat(exchange("GET http://other:1/p?q HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n"
				+ "TE: trailers\r\nCookie: a\r\nCookie: b\r\nX: 1\r\nX: 2\r\n\r\n")
			.header("connection")).isEqualTo("close");
		HttpCall call = this.calls.get(2);
		assertThat(call.target()).isEqualTo("/p?q");
		assertThat(call.headers()).isEqualTo(Map.of("host", "other:1", "cookie", "a; b", "x", "1, 2"));
		RawConnection.Message head = exchange("HEAD /abc HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
		assertThat(head.header("content-length")).isEqualTo("4");
		try (RawConnection connection = RawConnection.open(this.server.address())) {
			connection.send(POST_HEAD_START + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\n");
			assertThat(connection.read().status()).isEqualTo(100);
			assertThat(connection.send("a").read().body()).isEqualTo("/a");
		}
	}

	/**
	 * Guards against error responses that lose the outcome or the retry delay of a
	 * handler failure.
	 */
	@Example
	void handlerFailuresBecomeErrorResponses() throws IOException {
		start(limits());
		record Case(String path, int status, String outcome, String retryAfter) {
		}
		for (Case c : List.of(new Case("/late", 503, "not-run", "2"), new Case("/lost", 502, "unknown", ""),
				new Case("/fault", 500, "unknown", ""), new Case("/null", 500, "unknown", ""),
				new Case("/split", 500, "unknown", ""), new Case("/early", 500, "unknown", ""),
				new Case("/hop", 200, "complete", ""))) {
			RawConnection.Message response = exchange(GET.replace("/a", c.path()));
			assertThat(response.status()).as(c.path()).isEqualTo(c.status());
			assertThat(response.header("limpetgate-outcome")).as(c.path()).isEqualTo(c.outcome());
			assertThat(response.header("retry-after")).as(c.path()).isEqualTo(c.retryAfter());
			assertThat(response.headers()).as(c.path()).doesNotContainKeys("c", "x-a", "transfer-encoding");
		}
		assertThat(exchange(GET.replace("/a", "/late")).body()).contains("\"retryAfterMillis\":1001");
	}

	/**
	 * Guards against a shutdown that drops requests in flight or on open connections.
	 */
	@Example
	void drainAnswersRequestsInFlight() throws Exception {
		start(limits().withClosingTimes(LONG_NANOS, LONG_NANOS, LONG_NANOS));
		try (RawConnection busy = RawConnection.open(this.server.address());
				RawConnection partial = RawConnection.open(this.server.address());
				RawConnection idle = RawConnection.open(this.server.address())) {
			busy.send(GET.replace("/a", "/held") + GET);
			CompletableFuture<HttpReply> pending = takeHeldReply();
			idle.send(GET).read();
			partial.send(GET).read();
			partial.send(POST_HEAD_START + "Content-Length: 2\r\n\r\na");
			CompletableFuture<Void> drained = this.server.drain();
			assertThat(idle.send(GET).read().header("connection")).isEqualTo("close");
			assertThat(idle.isAtEnd()).isTrue();
			assertThat(partial.send("b").read().body()).isEqualTo("/ab");
			assertThat(drained).isNotDone();
			pending.complete(reply("done", Map.of()));
			assertThat(busy.read().body()).isEqualTo("done");
			assertThat(busy.read().header("connection")).isEqualTo("close");
			assertThat(busy.isAtEnd()).isTrue();
			idle.close();
			partial.close();
			busy.close();
			drained.get(20, TimeUnit.SECONDS);
		}
	}

	/**
	 * Guards against idle connections that keep a drain from completing, and against work
	 * that continues after its caller has disconnected.
	 */
	@Example
	void idleAndAbandonedConnectionsAreClosed() throws Exception {
		start(limits());
		try (RawConnection idle = RawConnection.open(this.server.address())) {
			idle.send(GET).read();
			RawConnection abandoned = RawConnection.open(this.server.address()).send(GET.replace("/a", "/held"));
			CompletableFuture<HttpReply> pending = takeHeldReply();
			abandoned.close();
			assertThat(pending.handle((reply, failure) -> failure).get(20, TimeUnit.SECONDS)).isNotNull();
			this.server.drain().get(20, TimeUnit.SECONDS);
			assertThat(idle.isAtEnd()).isTrue();
			assertAllBytesReleased();
		}
	}

}
