package org.limpetgate.net.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

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
 * Contract tests for {@link HttpClient} against scripted upstreams.
 */
class HttpClientTests {

	private static final long LONG_NANOS = TimeUnit.SECONDS.toNanos(20);

	private static final long SHORT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final int MAX_BODY_BYTES = 1000;

	private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

	private static final String OK_HEAD_START = "HTTP/1.1 200 OK\r\n";

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	private final HttpClient client = HttpClient.of(this.group,
			HttpClientLimits.defaults()
				.withResponseBytes(1000, MAX_BODY_BYTES)
				.withMaxConnections(2)
				.withTimeouts(LONG_NANOS, 10 * LONG_NANOS));

	@AfterTry
	void stop() {
		this.client.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	private static HttpCall call(String method, int bodyBytes) {
		return new HttpCall(method, "/t", Map.of("connection", "x-hop", "x-hop", "1"), new byte[bodyBytes]);
	}

	private HttpExchange exchange(StubUpstream upstream, long timeoutNanos) {
		return this.client.exchange(upstream.address(), call("POST", 3), timeoutNanos);
	}

	/**
	 * Waits for the end of an exchange.
	 * @param exchange the exchange
	 * @return the body of the response, or the outcome and the kind of the failure
	 * @throws InterruptedException if interrupted
	 */
	private static String result(HttpExchange exchange) throws InterruptedException {
		try {
			return new String(exchange.reply().get().body(), StandardCharsets.UTF_8);
		}
		catch (ExecutionException ex) {
			DispatchException error = (DispatchException) ex.getCause();
			return error.outcome() + " " + error.kind();
		}
	}

	/**
	 * Guards against truncated, misdirected or malformed responses that are accepted,
	 * against refusals that are reported as possibly run, and against a connection that
	 * is reused after such a response.
	 */
	@Example
	void responsesOfFaultyUpstreams() throws Exception {
		record Case(String name, String response, String expected) {
		}
		String failed = Outcome.UNKNOWN + " " + ErrorKind.UPSTREAM_FAILED;
		String refused = Outcome.NOT_RUN + " " + ErrorKind.OVERLOADED;
		List<Case> cases = List.of(new Case("complete", OK, "ok"),
				new Case("chunked", OK_HEAD_START + "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
						"ok"),
				new Case("informational", "HTTP/1.1 102 P\r\n\r\n" + OK, "ok"),
				new Case("two responses", OK + OK, "ok"),
				new Case("unsolicited partial response", OK + "HTTP/1.1 200", "ok"),
				new Case("closed without response", "", failed),
				new Case("cut head", "HTTP/1.1 200 OK\r\nContent-Le", failed),
				new Case("cut body", OK_HEAD_START + "Content-Length: 3\r\n\r\nok", failed),
				new Case("no body", OK_HEAD_START + "Content-Length: 3\r\n\r\n", failed),
				new Case("cut chunk", OK_HEAD_START + "Transfer-Encoding: chunked\r\n\r\n3\r\nok", failed),
				new Case("no last chunk", OK_HEAD_START + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", failed),
				new Case("no length", OK_HEAD_START + "\r\nok", failed),
				new Case("two lengths", OK_HEAD_START + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nokk", failed),
				new Case("length and encoding",
						OK_HEAD_START + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
						failed),
				new Case("folding", OK_HEAD_START + "Content-Length: 2\r\na: b\r\n c\r\n\r\nok", failed),
				new Case("status 204 with a body", "HTTP/1.1 204 N\r\nContent-Length: 2\r\n\r\nok", failed),
				new Case("not HTTP", "hello\r\n\r\n", failed), new Case("upgrade", "HTTP/1.1 101 S\r\n\r\n", failed),
				new Case("another exchange", OK_HEAD_START + "Limpetgate-Exchange: 0\r\nContent-Length: 2\r\n\r\nok",
						failed),
				new Case("large head", OK_HEAD_START + "a: " + "b".repeat(1000) + "\r\n\r\n", failed),
				new Case("large body", OK_HEAD_START + "Content-Length: 1001\r\n\r\n" + "a".repeat(1001), failed),
				new Case("refused", "HTTP/1.1 503 S\r\nLimpetgate-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
						refused),
				new Case("failed", "HTTP/1.1 503 S\r\nContent-Length: 2\r\n\r\nno", "no"), new Case("not a refusal",
						"HTTP/1.1 500 S\r\nLimpetgate-Outcome: not-run\r\nContent-Length: 2\r\n\r\nno", "no"));
		for (Case c : cases) {
			CountDownLatch closed = new CountDownLatch(1);
			StubUpstream.Script faulty = StubUpstream.once(c.response(), closed);
			try (StubUpstream upstream = new StubUpstream(faulty, StubUpstream.always(OK))) {
				assertThat(result(exchange(upstream, LONG_NANOS))).as(c.name()).isEqualTo(c.expected());
				assertThat(closed.await(20, TimeUnit.SECONDS)).as(c.name()).isTrue();
				assertThat(result(exchange(upstream, LONG_NANOS))).as("after " + c.name()).isEqualTo("ok");
				assertThat(upstream.requests()).as(c.name()).isEqualTo(2);
			}
		}
		assertThat(this.client.bufferedBytes()).isZero();
	}

	/**
	 * Guards against a late response that is mistaken for the response to the next
	 * request, and against a wrong outcome of an exchange that timed out or was
	 * cancelled.
	 */
	@Example
	void timeoutsAndCancellationsCloseTheConnection() throws Exception {
		for (boolean cancel : List.of(true, false)) {
			CountDownLatch received = new CountDownLatch(1);
			CountDownLatch release = new CountDownLatch(1);
			StubUpstream.Script late = (connection, stub) -> {
				stub.read(connection);
				received.countDown();
				release.await();
				connection.send(OK.replace("ok", "no"));
			};
			try (StubUpstream upstream = new StubUpstream(late, StubUpstream.always(OK))) {
				HttpExchange exchange = exchange(upstream, cancel ? LONG_NANOS : SHORT_NANOS);
				received.await();
				if (cancel) {
					exchange.cancel();
				}
				assertThat(result(exchange))
					.isEqualTo(Outcome.UNKNOWN + " " + (cancel ? ErrorKind.CANCELLED : ErrorKind.DEADLINE_EXCEEDED));
				release.countDown();
				assertThat(result(exchange(upstream, LONG_NANOS))).isEqualTo("ok");
				assertThat(upstream.connections()).isEqualTo(2);
			}
		}
	}

	/**
	 * Guards against a request that is reported as possibly run although no byte of it
	 * was written.
	 */
	@Example
	void unwrittenRequestsAreNotRun() throws Exception {
		// A bound socket that does not listen keeps its port from other processes.
		try (Socket refusing = new Socket()) {
			refusing.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
			InetSocketAddress address = (InetSocketAddress) refusing.getLocalSocketAddress();
			assertThat(result(this.client.exchange(address, call("POST", 3), LONG_NANOS)))
				.isEqualTo(Outcome.NOT_RUN + " " + ErrorKind.UPSTREAM_FAILED);
		}
		StubUpstream.Script hang = (connection, stub) -> {
			stub.read(connection);
			connection.isAtEnd();
		};
		try (StubUpstream upstream = new StubUpstream(hang)) {
			List<HttpExchange> inFlight = List.of(exchange(upstream, LONG_NANOS), exchange(upstream, LONG_NANOS));
			assertThat(result(exchange(upstream, LONG_NANOS))).isEqualTo(Outcome.NOT_RUN + " " + ErrorKind.OVERLOADED);
			inFlight.forEach(HttpExchange::cancel);
			assertThat(result(exchange(upstream, 0))).isEqualTo(Outcome.NOT_RUN + " " + ErrorKind.DEADLINE_EXCEEDED);
			HttpCall split = new HttpCall("GET", "/", Map.of("a", "b\r\nc: d"), new byte[0]);
			assertThat(result(this.client.exchange(upstream.address(), split, LONG_NANOS)))
				.isEqualTo(Outcome.NOT_RUN + " " + ErrorKind.INTERNAL);
		}
	}

	/**
	 * Guards against a request that is reported as possibly run although its connection
	 * was never established. The listener accepts no connections and its backlog is full,
	 * so that no connection opens.
	 */
	@Example
	void requestsWithoutAConnectionAreNotRun() throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			InetSocketAddress address = (InetSocketAddress) listener.getLocalSocketAddress();
			try (RawConnection first = RawConnection.open(address);
					RawConnection second = RawConnection.open(address)) {
				HttpExchange cancelled = this.client.exchange(address, call("POST", 3), LONG_NANOS);
				HttpExchange late = this.client.exchange(address, call("POST", 3), SHORT_NANOS);
				assertThat(result(late)).isEqualTo(Outcome.NOT_RUN + " " + ErrorKind.DEADLINE_EXCEEDED);
				cancelled.cancel();
				assertThat(result(cancelled)).isEqualTo(Outcome.NOT_RUN + " " + ErrorKind.CANCELLED);
			}
		}
	}

	/**
	 * Guards against an idle connection that the upstream has closed or written to and
	 * that is used for the next request.
	 */
	@Example
	void idleConnectionsAreChecked() throws Exception {
		for (String unsolicited : List.of("", OK, "HTTP/1.1 2")) {
			CountDownLatch proceed = new CountDownLatch(1);
			CountDownLatch clientClosed = new CountDownLatch(1);
			StubUpstream.Script first = (connection, stub) -> {
				stub.read(connection);
				connection.send(OK);
				proceed.await();
				connection.send(unsolicited);
				if (unsolicited.isEmpty()) {
					connection.socket().shutdownOutput();
				}
				connection.isAtEnd();
				clientClosed.countDown();
			};
			try (StubUpstream upstream = new StubUpstream(first, StubUpstream.always(OK))) {
				assertThat(result(exchange(upstream, LONG_NANOS))).isEqualTo("ok");
				proceed.countDown();
				assertThat(clientClosed.await(20, TimeUnit.SECONDS)).as(unsolicited).isTrue();
				assertThat(result(exchange(upstream, LONG_NANOS))).isEqualTo("ok");
				assertThat(upstream.requests()).isEqualTo(2);
			}
		}
	}

	/**
	 * Guards against a request that is sent twice or lost when the upstream closes an
	 * idle connection while a request is written to it: each exchange is answered,
	 * certainly not run, or unknown, and a request is repeated only if it certainly did
	 * not run.
	 */
	@Example
	void idleCloseRacesReportTheRightOutcome() throws Exception {
		StubUpstream.Script once = (connection, stub) -> {
			stub.read(connection);
			connection.send(OK);
		};
		try (StubUpstream upstream = new StubUpstream(once)) {
			int answered = 0;
			int unknown = 0;
			for (int i = 0; i < 300; i++) {
				String result = result(exchange(upstream, LONG_NANOS));
				answered += result.equals("ok") ? 1 : 0;
				unknown += result.startsWith(Outcome.UNKNOWN.toString()) ? 1 : 0;
			}
			assertThat(upstream.requests()).isBetween(answered, answered + unknown);
			assertThat(answered).isPositive();
		}
	}

	/**
	 * Guards against more than one exchange on a connection at a time, an undetected
	 * leaving upstream, and hop-by-hop headers that are forwarded.
	 */
	@Example
	void connectionsAreReusedAndExclusive() throws Exception {
		List<RawConnection.Message> receivedRequests = new CopyOnWriteArrayList<>();
		StubUpstream.Script record = (connection, stub) -> {
			while (true) {
				receivedRequests.add(stub.read(connection));
				String number = receivedRequests.get(receivedRequests.size() - 1).header("limpetgate-exchange");
				connection.send("HTTP/1.1 200 OK\r\nLimpetgate-Leaving: true\r\nConnection: x-hop\r\nX-Hop: 1\r\n"
						+ "Limpetgate-Exchange: " + number + "\r\nX: 2\r\nContent-Length: 0\r\n\r\n");
			}
		};
		try (StubUpstream upstream = new StubUpstream(record)) {
			for (String method : List.of("GET", "POST", "HEAD")) {
				HttpExchange exchange = this.client.exchange(upstream.address(), call(method, 0), LONG_NANOS);
				assertThat(exchange.reply().get().headers()).isEqualTo(Map.of("limpetgate-leaving", "true", "x", "2"));
				assertThat(exchange.isUpstreamLeaving()).isTrue();
			}
			assertThat(upstream.connections()).isEqualTo(1);
		}
		for (String ending : List.of(OK.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"),
				OK.replace("/1.1", "/1.0"))) {
			try (StubUpstream upstream = new StubUpstream(StubUpstream.always(ending))) {
				assertThat(result(exchange(upstream, LONG_NANOS))).isEqualTo("ok");
				assertThat(result(exchange(upstream, LONG_NANOS))).isEqualTo("ok");
				assertThat(upstream.connections()).as(ending).isEqualTo(2);
			}
		}
		assertThat(receivedRequests).hasSize(3)
			.allSatisfy((request) -> assertThat(request.headers()).containsKey("host")
				.containsKey("limpetgate-exchange")
				.doesNotContainKeys("x-hop", "connection"));
	}

	/**
	 * Guards against more connections than the limit when exchanges may wait, an exchange
	 * that never completes because it is lost from the queue, and one that is sent after
	 * it timed out.
	 */
	@Example
	void exchangesWaitForAConnection() throws Exception {
		HttpClient queueingClient = HttpClient.of(this.group,
				HttpClientLimits.defaults().withMaxConnections(1).withMaxWaiting(3));
		CountDownLatch proceed = new CountDownLatch(1);
		StubUpstream.Script slowFirst = (connection, stub) -> {
			stub.read(connection);
			proceed.await();
			connection.send(OK);
			while (true) {
				stub.read(connection);
				connection.send(OK);
			}
		};
		try (StubUpstream upstream = new StubUpstream(slowFirst)) {
			List<HttpExchange> exchanges = new ArrayList<>();
			for (int number = 0; number < 3; number++) {
				exchanges.add(queueingClient.exchange(upstream.address(), call("POST", 3), LONG_NANOS));
			}
			HttpExchange late = queueingClient.exchange(upstream.address(), call("POST", 3), SHORT_NANOS);
			HttpExchange rejected = queueingClient.exchange(upstream.address(), call("POST", 3), LONG_NANOS);
			assertThat(result(rejected)).isEqualTo(Outcome.NOT_RUN + " " + ErrorKind.OVERLOADED);
			assertThat(result(late)).isEqualTo(Outcome.NOT_RUN + " " + ErrorKind.DEADLINE_EXCEEDED);
			proceed.countDown();
			for (HttpExchange exchange : exchanges) {
				assertThat(result(exchange)).isEqualTo("ok");
			}
			assertThat(upstream.connections()).isEqualTo(1);
			assertThat(upstream.requests()).isEqualTo(3);
		}
		String last = OK.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
		try (StubUpstream upstream = new StubUpstream(StubUpstream.always(last))) {
			HttpExchange first = queueingClient.exchange(upstream.address(), call("POST", 3), LONG_NANOS);
			HttpExchange second = queueingClient.exchange(upstream.address(), call("POST", 3), LONG_NANOS);
			assertThat(result(first)).isEqualTo("ok");
			assertThat(result(second)).isEqualTo("ok");
		}
	}

	/**
	 * Guards against the loss of the body of a refusal, for clients that read the reason
	 * from it.
	 */
	@Example
	void refusalsCanBeReadAsResponses() throws Exception {
		HttpClient reader = HttpClient.of(this.group, HttpClientLimits.defaults().withRefusalsAsResponses(true));
		String refusal = "HTTP/1.1 503 S\r\nLimpetgate-Outcome: not-run\r\nContent-Length: 6\r\n\r\nreason";
		try (StubUpstream upstream = new StubUpstream(StubUpstream.always(refusal))) {
			HttpReply reply = reader.exchange(upstream.address(), call("POST", 3), LONG_NANOS).reply().get();
			assertThat(reply.status()).isEqualTo(503);
			assertThat(reply.header(HeaderNames.OUTCOME)).isEqualTo(Outcome.NOT_RUN.text());
			assertThat(reply.body()).asString().isEqualTo("reason");
		}
		reader.close();
	}

	/**
	 * Guards against a memory leak for each address that was ever used, and against idle
	 * connections that stay open.
	 */
	@Example
	void unusedConnectionPoolsAreRemoved() throws Exception {
		HttpClient shortIdleClient = HttpClient.of(this.group, HttpClientLimits.defaults().withTimeouts(LONG_NANOS, 1));
		for (int i = 0; i < 3; i++) {
			try (StubUpstream upstream = new StubUpstream(StubUpstream.always(OK))) {
				assertThat(result(shortIdleClient.exchange(upstream.address(), call("POST", 3), LONG_NANOS)))
					.isEqualTo("ok");
				awaitNoActiveAddress(shortIdleClient);
				assertThat(result(shortIdleClient.exchange(upstream.address(), call("POST", 3), 0)))
					.isEqualTo(Outcome.NOT_RUN + " " + ErrorKind.DEADLINE_EXCEEDED);
				awaitNoActiveAddress(shortIdleClient);
			}
		}
	}

	// The time limit only fails a test that would hang.
	private static void awaitNoActiveAddress(HttpClient client) throws InterruptedException {
		long start = System.nanoTime();
		while (client.activeAddresses() > 0 && System.nanoTime() - start < LONG_NANOS) {
			Thread.sleep(1);
		}
		assertThat(client.activeAddresses()).isZero();
	}

	/**
	 * Guards against an exchange that never completes, or a thrown exception instead of a
	 * failed exchange, after the event loops were shut down.
	 */
	@Example
	void exchangesAfterShutdownAreNotRun() throws Exception {
		String shutDown = Outcome.NOT_RUN + " " + ErrorKind.SHUTTING_DOWN;
		try (StubUpstream upstream = new StubUpstream(StubUpstream.always(OK))) {
			this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
			assertThat(result(exchange(upstream, LONG_NANOS))).isEqualTo(shutDown);
			this.group.terminationFuture().await();
			HttpExchange late = exchange(upstream, LONG_NANOS);
			assertThat(result(late)).isEqualTo(shutDown);
			late.cancel();
			assertThat(upstream.requests()).isZero();
		}
	}

	/**
	 * Guards against a large request that is reported as not run although a part of it
	 * was sent before the connection broke.
	 */
	@Example
	void partlyWrittenRequestsAreUnknown() throws IOException, InterruptedException {
		StubUpstream.Script stall = (connection, stub) -> connection.socket().getInputStream().read();
		try (StubUpstream upstream = new StubUpstream(stall)) {
			HttpExchange exchange = this.client.exchange(upstream.address(), call("POST", 20_000_000), LONG_NANOS);
			assertThat(result(exchange)).isEqualTo(Outcome.UNKNOWN + " " + ErrorKind.UPSTREAM_FAILED);
		}
	}

}
