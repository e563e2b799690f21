package org.limpetgate.net.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

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
 * Tests of exchanges with an {@link IdentityCheck}, against scripted upstreams that
 * answer {@code /id} with their identity.
 */
class HttpClientIdentityTests {

	private static final long LONG_NANOS = TimeUnit.SECONDS.toNanos(20);

	/** Exceeds the time to open a connection on a busy machine. */
	private static final long SHORT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	private static final String NOT_SENT = Outcome.NOT_RUN + " " + ErrorKind.UPSTREAM_FAILED;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	private final HttpClient client = newClient(2, 0);

	/** The requests other than checks, as identity of the connection and path. */
	private final List<String> orders = new CopyOnWriteArrayList<>();

	/** The identity of the connection of each check. */
	private final List<Long> checks = new CopyOnWriteArrayList<>();

	private final List<String> numbers = new CopyOnWriteArrayList<>();

	@AfterTry
	void stop() {
		this.client.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	private HttpClient newClient(int connections, int waiting) {
		return HttpClient.of(this.group,
				HttpClientLimits.defaults()
					.withMaxConnections(connections)
					.withMaxWaiting(waiting)
					.withTimeouts(LONG_NANOS, 10 * LONG_NANOS));
	}

	private static String text(HttpReply reply) {
		return new String(reply.body(), StandardCharsets.UTF_8);
	}

	private static HttpCall order(String path) {
		return new HttpCall("POST", path, Map.of(), new byte[3]);
	}

	private static HttpExchange exchange(HttpClient sender, StubUpstream upstream, String path, long identity) {
		return sender.exchange(upstream.address(), order(path), new Check(identity), LONG_NANOS);
	}

	// The time limit only fails a test that would hang.
	private static String result(HttpExchange exchange) throws InterruptedException, TimeoutException {
		try {
			HttpReply reply = exchange.reply().get(20, TimeUnit.SECONDS);
			return reply.status() + " " + text(reply);
		}
		catch (ExecutionException ex) {
			DispatchException error = (DispatchException) ex.getCause();
			return error.outcome() + " " + error.kind();
		}
	}

	private static String response(int status, String body) {
		return "HTTP/1.1 " + status + " S\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	// Answers checks with the identity and other requests with their path.
	private StubUpstream.Script process(long identity) {
		return (connection, stub) -> {
			while (true) {
				connection.send(receive(identity, stub.read(connection)));
			}
		};
	}

	private String receive(long identity, RawConnection.Message request) {
		String path = request.header("first").split(" ")[1];
		this.numbers.add(request.header(HeaderNames.EXCHANGE));
		if (path.equals("/id")) {
			this.checks.add(identity);
			return response(200, Long.toString(identity));
		}
		this.orders.add(identity + path);
		return response(200, path);
	}

	/**
	 * Guards against a round trip for each exchange, and against a response to a check
	 * that could be taken for the response to an exchange since both have the same
	 * number.
	 */
	@Example
	void identityIsAskedOncePerConnection() throws Exception {
		try (StubUpstream upstream = new StubUpstream(process(7))) {
			for (String path : List.of("/a", "/b", "/c")) {
				HttpExchange exchange = exchange(this.client, upstream, path, 7);
				assertThat(result(exchange)).isEqualTo("200 " + path);
				assertThat(exchange.otherIdentity()).isEmpty();
			}
			assertThat(this.orders).containsExactly("7/a", "7/b", "7/c");
			assertThat(this.checks).hasSize(1);
			assertThat(upstream.connections()).isEqualTo(1);
			assertThat(this.numbers).hasSize(4);
			assertThat(new HashSet<>(this.numbers)).hasSize(4);
		}
	}

	/**
	 * Guards against a check for an exchange that asks for none, and against an exchange
	 * that is sent unchecked on a connection that such an exchange has opened.
	 */
	@Example
	void connectionsOfUncheckedExchangesAreCheckedLater() throws Exception {
		try (StubUpstream upstream = new StubUpstream(process(7))) {
			assertThat(result(this.client.exchange(upstream.address(), order("/a"), LONG_NANOS))).isEqualTo("200 /a");
			assertThat(this.checks).isEmpty();
			assertThat(result(exchange(this.client, upstream, "/b", 8))).isEqualTo(NOT_SENT);
			assertThat(result(exchange(this.client, upstream, "/c", 7))).isEqualTo("200 /c");
			assertThat(result(this.client.exchange(upstream.address(), order("/d"), LONG_NANOS))).isEqualTo("200 /d");
			assertThat(this.checks).hasSize(1);
			assertThat(this.orders).containsExactly("7/a", "7/c", "7/d");
			assertThat(upstream.connections()).isEqualTo(1);
		}
	}

	/**
	 * Guards against a request that reaches another process than the one that it is meant
	 * for.
	 */
	@Example
	void nothingIsSentToAnotherIdentity() throws Exception {
		try (StubUpstream upstream = new StubUpstream(process(8))) {
			for (int i = 0; i < 3; i++) {
				HttpExchange exchange = exchange(this.client, upstream, "/for-7", 7);
				assertThat(result(exchange)).isEqualTo(NOT_SENT);
				assertThat(exchange.otherIdentity()).hasValue(8);
			}
			assertThat(result(exchange(this.client, upstream, "/for-8", 8))).isEqualTo("200 /for-8");
			assertThat(this.orders).containsExactly("8/for-8");
			assertThat(upstream.requests()).isEqualTo(this.checks.size() + 1);
		}
	}

	/**
	 * Guards against a request for a new process on an idle connection to the former one,
	 * and against idle connections to the former one that use up the limit.
	 */
	@Example
	void idleConnectionsOfTheFormerIdentityAreClosed() throws Exception {
		HttpClient single = newClient(1, 0);
		CountDownLatch closed = new CountDownLatch(1);
		StubUpstream.Script former = (connection, stub) -> {
			connection.send(receive(7, stub.read(connection)));
			connection.send(receive(7, stub.read(connection)));
			connection.isAtEnd();
			closed.countDown();
		};
		try (StubUpstream upstream = new StubUpstream(former, process(8))) {
			assertThat(result(exchange(single, upstream, "/a", 7))).isEqualTo("200 /a");
			assertThat(result(exchange(single, upstream, "/b", 8))).isEqualTo("200 /b");
			assertThat(closed.await(20, TimeUnit.SECONDS)).isTrue();
			assertThat(this.orders).containsExactly("7/a", "8/b");
			assertThat(this.checks).containsExactly(7L, 8L);
		}
		single.close();
	}

	/**
	 * Guards against a waiting exchange that gets the connection of the former process,
	 * loses its place to a later one, or waits forever.
	 */
	@Example
	void waitingExchangesAreSentToTheirIdentityInOrder() throws Exception {
		HttpClient single = newClient(1, 3);
		CountDownLatch proceed = new CountDownLatch(1);
		StubUpstream.Script former = (connection, stub) -> {
			connection.send(receive(7, stub.read(connection)));
			String answer = receive(7, stub.read(connection));
			proceed.await();
			connection.send(answer);
			while (true) {
				connection.send(receive(7, stub.read(connection)));
			}
		};
		try (StubUpstream upstream = new StubUpstream(former, process(8))) {
			List<HttpExchange> exchanges = new ArrayList<>();
			exchanges.add(exchange(single, upstream, "/a", 7));
			exchanges.add(exchange(single, upstream, "/b", 8));
			exchanges.add(exchange(single, upstream, "/c", 8));
			exchanges.add(single.exchange(upstream.address(), order("/d"), LONG_NANOS));
			proceed.countDown();
			List<String> results = new ArrayList<>();
			for (HttpExchange exchange : exchanges) {
				results.add(result(exchange));
			}
			assertThat(results).containsExactly("200 /a", "200 /b", "200 /c", "200 /d");
			assertThat(this.orders).containsExactly("7/a", "8/b", "8/c", "8/d");
			assertThat(upstream.connections()).isEqualTo(2);
		}
		single.close();
	}

	/**
	 * Guards against a request that is sent although its check was refused, against the
	 * loss of the reason, and against a refusal that is kept as the identity.
	 */
	@Example
	void refusedChecksAnswerTheExchange() throws Exception {
		String notRun = "HTTP/1.1 503 S\r\nLimpetgate-Outcome: not-run\r\nContent-Length: 0\r\n\r\n";
		for (String refusal : List.of(response(409, "fence"), notRun)) {
			this.orders.clear();
			StubUpstream.Script refusing = (connection, stub) -> {
				stub.read(connection);
				connection.send(refusal);
				process(7).run(connection, stub);
			};
			try (StubUpstream upstream = new StubUpstream(refusing)) {
				HttpExchange refused = exchange(this.client, upstream, "/a", 7);
				assertThat(result(refused))
					.isEqualTo(refusal.equals(notRun) ? Outcome.NOT_RUN + " " + ErrorKind.OVERLOADED : "409 fence");
				assertThat(refused.otherIdentity()).isEmpty();
				assertThat(this.orders).isEmpty();
				assertThat(result(exchange(this.client, upstream, "/b", 7))).isEqualTo("200 /b");
				assertThat(upstream.requests()).isEqualTo(3);
				assertThat(upstream.connections()).isEqualTo(1);
			}
		}
	}

	/**
	 * Guards against an exchange that is reported as possibly run although only its check
	 * was sent, that is sent although the check failed, or that never ends, and against
	 * the reuse of a connection after a failed check.
	 */
	@Example
	void failedChecksAreNotRun() throws Exception {
		record Case(String name, String answer) {
		}
		List<Case> cases = List.of(new Case("closed", ""),
				new Case("cut", "HTTP/1.1 200 S\r\nContent-Length: 2\r\n\r\n7"), new Case("malformed", "hello\r\n\r\n"),
				new Case("last of its connection", "HTTP/1.1 200 S\r\nConnection: close\r\nContent-Length: 1\r\n\r\n7"),
				new Case("two responses", response(200, "7") + response(200, "/a")),
				new Case("unsolicited partial response", response(200, "7") + "HTTP/1.1 200"));
		for (Case c : cases) {
			this.orders.clear();
			CountDownLatch closed = new CountDownLatch(1);
			StubUpstream.Script faulty = StubUpstream.once(c.answer(), closed);
			try (StubUpstream upstream = new StubUpstream(faulty, process(7))) {
				HttpExchange exchange = exchange(this.client, upstream, "/a", 7);
				assertThat(result(exchange)).as(c.name()).isEqualTo(NOT_SENT);
				assertThat(exchange.otherIdentity()).as(c.name()).isEmpty();
				assertThat(closed.await(20, TimeUnit.SECONDS)).as(c.name()).isTrue();
				assertThat(result(exchange(this.client, upstream, "/b", 7))).as(c.name()).isEqualTo("200 /b");
				assertThat(this.orders).as(c.name()).containsExactly("7/b");
			}
		}
		assertThat(this.client.bufferedBytes()).isZero();
	}

	/**
	 * Guards against an exchange that never ends because its check throws, and against
	 * one that is sent although the identity cannot be read.
	 */
	@Example
	void checksThatThrowAreNotRun() throws Exception {
		IdentityCheck withoutCall = new IdentityCheck() {
			@Override
			public HttpCall call() {
				throw new IllegalStateException("no call");
			}

			@Override
			public OptionalLong identity(HttpReply reply) {
				return OptionalLong.of(7);
			}

			@Override
			public long expectedIdentity() {
				return 7;
			}
		};
		StubUpstream.Script unreadable = (connection, stub) -> {
			stub.read(connection);
			connection.send(response(200, "seven"));
			process(7).run(connection, stub);
		};
		try (StubUpstream upstream = new StubUpstream(unreadable)) {
			assertThat(result(this.client.exchange(upstream.address(), order("/a"), withoutCall, LONG_NANOS)))
				.isEqualTo(Outcome.NOT_RUN + " " + ErrorKind.INTERNAL);
			assertThat(result(exchange(this.client, upstream, "/b", 7))).isEqualTo(NOT_SENT);
			assertThat(result(exchange(this.client, upstream, "/c", 7))).isEqualTo("200 /c");
			assertThat(this.orders).containsExactly("7/c");
		}
	}

	/**
	 * Guards against a time limit that starts again after the check, an exchange that is
	 * reported as possibly run when it ends during the check, and a late answer to a
	 * check that lets the exchange be sent after all.
	 */
	@Example
	void timeoutsAndCancellationsDuringTheCheckAreNotRun() throws Exception {
		for (boolean cancel : List.of(true, false)) {
			this.orders.clear();
			CountDownLatch received = new CountDownLatch(1);
			CountDownLatch release = new CountDownLatch(1);
			CountDownLatch closed = new CountDownLatch(1);
			StubUpstream.Script late = (connection, stub) -> {
				String answer = receive(7, stub.read(connection));
				received.countDown();
				release.await();
				try {
					connection.send(answer);
					receive(7, stub.read(connection));
				}
				finally {
					closed.countDown();
				}
			};
			try (StubUpstream upstream = new StubUpstream(late, process(7))) {
				HttpExchange exchange = this.client.exchange(upstream.address(), order("/a"), new Check(7),
						cancel ? LONG_NANOS : SHORT_NANOS);
				assertThat(received.await(20, TimeUnit.SECONDS)).isTrue();
				if (cancel) {
					exchange.cancel();
				}
				assertThat(result(exchange))
					.isEqualTo(Outcome.NOT_RUN + " " + (cancel ? ErrorKind.CANCELLED : ErrorKind.DEADLINE_EXCEEDED));
				release.countDown();
				assertThat(closed.await(20, TimeUnit.SECONDS)).isTrue();
				assertThat(result(exchange(this.client, upstream, "/b", 7))).isEqualTo("200 /b");
				assertThat(this.orders).containsExactly("7/b");
				assertThat(upstream.connections()).isEqualTo(2);
			}
		}
	}

	/**
	 * Guards against an exchange that is reported as not run although it was sent after
	 * its check.
	 */
	@Example
	void sentExchangesAreUnknownAfterTheCheck() throws Exception {
		CountDownLatch received = new CountDownLatch(1);
		StubUpstream.Script silent = (connection, stub) -> {
			connection.send(receive(7, stub.read(connection)));
			receive(7, stub.read(connection));
			received.countDown();
			connection.isAtEnd();
		};
		try (StubUpstream upstream = new StubUpstream(silent)) {
			HttpExchange cancelled = exchange(this.client, upstream, "/a", 7);
			assertThat(received.await(20, TimeUnit.SECONDS)).isTrue();
			cancelled.cancel();
			assertThat(result(cancelled)).isEqualTo(Outcome.UNKNOWN + " " + ErrorKind.CANCELLED);
			assertThat(this.orders).containsExactly("7/a");
		}
	}

	/**
	 * Guards against an exchange that is sent on a connection whose check is still
	 * pending, or that waits for the check of another connection.
	 */
	@Example
	void simultaneousExchangesCheckTheirOwnConnections() throws Exception {
		CyclicBarrier bothChecksReceived = new CyclicBarrier(2);
		StubUpstream.Script together = (connection, stub) -> {
			String answer = receive(7, stub.read(connection));
			try {
				bothChecksReceived.await(20, TimeUnit.SECONDS);
			}
			catch (Exception ex) {
				throw new IllegalStateException(ex);
			}
			assertThat(connection.socket().getInputStream().available()).isZero();
			connection.send(answer);
			process(7).run(connection, stub);
		};
		try (StubUpstream upstream = new StubUpstream(together)) {
			HttpExchange first = exchange(this.client, upstream, "/a", 7);
			HttpExchange second = exchange(this.client, upstream, "/b", 7);
			assertThat(result(first)).isEqualTo("200 /a");
			assertThat(result(second)).isEqualTo("200 /b");
			assertThat(this.checks).containsExactly(7L, 7L);
			assertThat(this.orders).containsExactlyInAnyOrder("7/a", "7/b");
			assertThat(upstream.connections()).isEqualTo(2);
		}
	}

	/**
	 * The check of the scripted upstreams.
	 *
	 * @param expectedIdentity the expected identity
	 */
	private record Check(long expectedIdentity) implements IdentityCheck {

		@Override
		public HttpCall call() {
			return new HttpCall("GET", "/id", Map.of(), new byte[0]);
		}

		@Override
		public OptionalLong identity(HttpReply reply) {
			return (reply.status() == 200) ? OptionalLong.of(Long.parseLong(text(reply))) : OptionalLong.empty();
		}

	}

}
