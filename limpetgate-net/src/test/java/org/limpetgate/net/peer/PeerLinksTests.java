package org.limpetgate.net.peer;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.limpetgate.DataCentreId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;
import org.limpetgate.proto.Hello;
import org.limpetgate.proto.PeerFrame;
import org.limpetgate.proto.QuerySubmission;
import org.limpetgate.proto.SubmissionReply;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Contract tests for {@link PeerLinks} and {@link PeerServer}.
 */
class PeerLinksTests {

	private static final long LONG_NANOS = TimeUnit.SECONDS.toNanos(20);

	private static final long SHORT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private static final int MAX_FRAME_BYTES = 2_000_000;

	/** Small, so that few bytes fill a link that is not read from. */
	private static final int RECEIVE_BUFFER_BYTES = 65_536;

	/** More messages of a quarter of the frame limit than the buffers of a link take. */
	private static final int MORE_THAN_UNSENT_MESSAGES = 40;

	/** Fails a test that would hang; no assertion depends on it. */
	private static final Duration LIMIT = Duration.ofSeconds(20);

	private static final byte[] KEY = new byte[32];

	private static final byte[] OTHER_KEY = "another key of at least 32 bytes".getBytes();

	private static final PeerLimits LIMITS = PeerLimits.defaults()
		.withMemory(MAX_FRAME_BYTES, 1000)
		.withTimeouts(LONG_NANOS, LONG_NANOS, SHORT_NANOS);

	private static final PeerIdentity A = identity("a");

	private static final PeerIdentity B = identity("b");

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	private final BlockingQueue<PeerFrame> received = new LinkedBlockingQueue<>();

	private final BlockingQueue<CompletableFuture<PeerFrame.Builder>> heldReplies = new LinkedBlockingQueue<>();

	private final AtomicInteger dropped = new AtomicInteger();

	private final AtomicInteger linkDowns = new AtomicInteger();

	private final PeerKeys keysOfA = PeerKeys.of("k", Map.of("k", KEY));

	private final PeerKeys keysOfB = PeerKeys.of("k", Map.of("k", KEY));

	private PeerLimits limits = LIMITS;

	/** Added to the clock of the server, in nanoseconds. */
	private final AtomicLong serverClockOffset = new AtomicLong();

	private PeerServer server;

	private PeerLinks links;

	private static PeerIdentity identity(String host) {
		return new PeerIdentity(Incarnation.of(HostId.of(host), 7), DataCentreId.of("dc"));
	}

	@AfterTry
	void stop() {
		if (this.links != null) {
			this.links.close();
		}
		if (this.server != null) {
			this.server.close();
		}
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	private void startServer(PeerTls tls) {
		PeerSettings settings = PeerSettings.of(B, this.keysOfB)
			.withLimits(this.limits)
			.withClock(() -> System.nanoTime() + this.serverClockOffset.get());
		this.server = PeerServer.start(this.group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
				(tls != null) ? settings.withTls(tls) : settings, this::handle);
	}

	private void startLinks(InetSocketAddress address, PeerTls tls) {
		PeerSettings settings = PeerSettings.of(A, this.keysOfA).withLimits(this.limits).withMetrics(new PeerMetrics() {
			@Override
			public void messageDropped(HostId peer) {
				PeerLinksTests.this.dropped.incrementAndGet();
			}

			@Override
			public void linkDown(Incarnation peer) {
				PeerLinksTests.this.linkDowns.incrementAndGet();
			}
		});
		this.links = PeerLinks.of(this.group, (tls != null) ? settings.withTls(tls) : settings,
				new SplittableRandom(1));
		this.links.configure(List.of(new PeerAddress(B.host(), address), new PeerAddress(A.host(), address)));
	}

	private void startBoth() {
		startServer(null);
		startLinks(this.server.address(), null);
		awaitUp();
	}

	private Optional<CompletableFuture<PeerFrame.Builder>> handle(InboundLink link, PeerFrame frame) {
		assertThat(link.peer()).isEqualTo(A);
		this.received.add(frame);
		if (frame.getCorrelationId() == 0) {
			return Optional.empty();
		}
		return switch (frame.getQuerySubmission().getKey()) {
			case "held" -> {
				CompletableFuture<PeerFrame.Builder> future = new CompletableFuture<>();
				this.heldReplies.add(future);
				yield Optional.of(future);
			}
			case "none" -> Optional.empty();
			case "throw" -> throw new IllegalStateException("fault");
			case "refuse" -> Optional.of(CompletableFuture
				.failedFuture(DispatchException.of(ErrorKind.OVERLOADED, Outcome.NOT_RUN, "full")));
			case "lost" -> Optional.of(CompletableFuture
				.failedFuture(DispatchException.of(ErrorKind.HOLDER_LOST, Outcome.UNKNOWN, "lost")));
			case "large" -> reply("x".repeat(MAX_FRAME_BYTES));
			default -> reply(frame.getQuerySubmission().getKey());
		};
	}

	private static Optional<CompletableFuture<PeerFrame.Builder>> reply(String text) {
		return Optional.of(CompletableFuture.completedFuture(PeerFrame.newBuilder()
			.setSubmissionReply(SubmissionReply.newBuilder().setBody(ByteString.copyFromUtf8(text)))));
	}

	private static PeerFrame.Builder query(String key) {
		return PeerFrame.newBuilder().setQuerySubmission(QuerySubmission.newBuilder().setKey(key));
	}

	private CompletableFuture<PeerFrame> request(String key, long timeoutNanos) {
		return this.links.request(B.host(), query(key), timeoutNanos);
	}

	private static String result(CompletableFuture<PeerFrame> future) {
		try {
			return future.join().getSubmissionReply().getBody().toStringUtf8();
		}
		catch (CompletionException ex) {
			DispatchException error = (DispatchException) ex.getCause();
			return error.outcome() + " " + error.kind();
		}
	}

	private void awaitUp() {
		await(() -> this.links.isUp(B.host()));
	}

	private static void await(BooleanSupplier condition) {
		for (int i = 0; i < 4000 && !condition.getAsBoolean(); i++) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
		}
		assertThat(condition.getAsBoolean()).isTrue();
	}

	/**
	 * Guards against peers without a valid proof, with another protocol version or with
	 * frames over the limit that are accepted, or that are refused without a reason that
	 * the operator can act on.
	 */
	@Example
	void unauthenticatedPeersAreRefusedWithAReason() throws IOException {
		startServer(null);
		Hello hello = PeerProof.newHello(A, "k");
		record Case(String reason, PeerFrame.Builder... frames) {
		}
		List<Case> cases = List.of(
				new Case("protocol version 2 is not supported, this host speaks version 1",
						RawPeer.frame().setProtocolVersion(2).setHello(hello)),
				new Case("protocol version 0 is not supported", PeerFrame.newBuilder()),
				new Case("must be the handshake", query("x").setProtocolVersion(1)),
				new Case("nonce has 0 bytes", RawPeer.frame().setHello(hello.toBuilder().clearNonce())),
				new Case("key 'z' is not configured", RawPeer.frame().setHello(hello.toBuilder().setKeyId("z"))),
				new Case("id of this host", RawPeer.frame().setHello(PeerProof.newHello(B, "k"))),
				new Case("HostId", RawPeer.frame().setHello(hello.toBuilder().clearIncarnation())),
				new Case("proof of key 'k' is wrong", RawPeer.frame().setHello(hello),
						RawPeer.frame().setHello(hello.toBuilder().setMac(ByteString.copyFrom(new byte[32])))));
		for (Case c : cases) {
			try (RawPeer peer = RawPeer.open(this.server.address())) {
				for (PeerFrame.Builder frame : c.frames()) {
					peer.send(frame);
				}
				assertRefused(peer, c.reason());
			}
		}
		try (RawPeer peer = RawPeer.open(this.server.address())) {
			peer.send(MAX_FRAME_BYTES, new byte[MAX_FRAME_BYTES]);
			assertRefused(peer, "the frame has 2000000 bytes, the limit is 4096");
		}
		try (RawPeer peer = RawPeer.open(this.server.address())) {
			peer.send(3, new byte[] { -1, -1, -1 });
			assertRefused(peer, "not a PeerFrame");
		}
		assertThat(this.received).isEmpty();
		startLinks(this.server.address(), null);
		awaitUp();
	}

	private static void assertRefused(RawPeer peer, String reason) throws IOException {
		PeerFrame frame = peer.read();
		while (frame.hasHello()) {
			frame = peer.read();
		}
		assertThat(frame.getRefusal().getError()).isEqualTo("PEER_REFUSED");
		assertThat(frame.getRefusal().getMessage()).contains(reason);
		assertThat(peer.isAtEnd()).isTrue();
	}

	/**
	 * Guards against a peer that authenticates itself by reflecting the proof of the
	 * server or by replaying a proof of an earlier connection.
	 */
	@Example
	void proofsCannotBeReflectedOrReplayed() throws IOException {
		startServer(null);
		Hello hello = PeerProof.newHello(A, "k");
		List<ByteString> proofs = new ArrayList<>();
		for (int i = 0; i < 2; i++) {
			try (RawPeer peer = RawPeer.open(this.server.address())) {
				peer.send(hello);
				Hello serverHello = peer.read().getHello();
				proofs.add(serverHello.getMac());
				peer.send(hello.toBuilder().setMac(proofs.get(0)).build());
				assertRefused(peer, "proof of key 'k' is wrong");
			}
		}
		assertThat(proofs.get(0)).isNotEqualTo(proofs.get(1));
	}

	/**
	 * Guards against replies that complete another request, and against a wrong outcome,
	 * such as NOT_RUN for a request that may have run.
	 */
	@Example
	void requestsReportTheRightOutcome() throws Exception {
		startBoth();
		CompletableFuture<PeerFrame> slow = request("held", LONG_NANOS);
		CompletableFuture<PeerFrame> timedOut = request("held", SHORT_NANOS);
		Map<String, String> cases = Map.of("x", "x", "refuse", Outcome.NOT_RUN + " " + ErrorKind.OVERLOADED, "lost",
				Outcome.UNKNOWN + " " + ErrorKind.HOLDER_LOST, "throw", Outcome.UNKNOWN + " " + ErrorKind.INTERNAL,
				"none", Outcome.UNKNOWN + " " + ErrorKind.INTERNAL, "large", Outcome.UNKNOWN + " " + ErrorKind.INTERNAL,
				"x".repeat(MAX_FRAME_BYTES), Outcome.NOT_RUN + " " + ErrorKind.BODY_TOO_LARGE);
		for (Map.Entry<String, String> c : cases.entrySet()) {
			assertThat(result(request(c.getKey(), LONG_NANOS))).isEqualTo(c.getValue());
		}
		assertThat(result(this.links.request(A.host(), query("x"), LONG_NANOS)))
			.isEqualTo(Outcome.NOT_RUN + " " + ErrorKind.HOLDER_UNREACHABLE);
		assertThat(result(this.links.request(Incarnation.of(B.host(), 6), query("x"), LONG_NANOS)))
			.isEqualTo(Outcome.NOT_RUN + " " + ErrorKind.HOLDER_UNREACHABLE);
		assertThat(result(this.links.request(B.incarnation(), query("x"), LONG_NANOS))).isEqualTo("x");
		assertThat(result(timedOut)).isEqualTo(Outcome.UNKNOWN + " " + ErrorKind.DEADLINE_EXCEEDED);
		CompletableFuture<PeerFrame.Builder> first = this.heldReplies.poll(20, TimeUnit.SECONDS);
		this.heldReplies.poll(20, TimeUnit.SECONDS).complete(reply("late").get().get());
		first.complete(reply("slow").get().get());
		assertThat(result(slow)).isEqualTo("slow");
	}

	/**
	 * Guards against requests that never complete after their link was lost or that fail
	 * as NOT_RUN although they were sent, and against a link that does not reconnect.
	 */
	@Example
	void cutLinksFailRequestsAndReconnect() throws Exception {
		startBoth();
		for (boolean blockedByClient : List.of(true, false)) {
			CompletableFuture<PeerFrame> inFlight = request("held", LONG_NANOS);
			this.heldReplies.poll(20, TimeUnit.SECONDS);
			int before = this.dropped.get();
			if (blockedByClient) {
				this.links.block(B.host());
			}
			else {
				this.server.block(A.host());
			}
			assertThat(result(inFlight)).isEqualTo(Outcome.UNKNOWN + " " + ErrorKind.HOLDER_UNREACHABLE);
			assertThat(result(request("x", LONG_NANOS)))
				.isEqualTo(Outcome.NOT_RUN + " " + ErrorKind.HOLDER_UNREACHABLE);
			this.links.send(B.host(), query("one-way"));
			await(() -> this.dropped.get() == before + 1);
			this.links.unblock(B.host());
			this.server.unblock(A.host());
			awaitUp();
			assertThat(result(request("x", LONG_NANOS))).isEqualTo("x");
		}
		this.received.clear();
		this.links.send(B.host(), query("one-way"));
		assertThat(this.received.poll(20, TimeUnit.SECONDS).getQuerySubmission().getKey()).isEqualTo("one-way");
	}

	/**
	 * Guards against requests that wait for their time limit on a half-open link to an
	 * incarnation that has ended, and against closing the link to the present one.
	 */
	@Example
	void onlyALinkToAnEarlierIncarnationIsReopened() throws Exception {
		startBoth();
		CompletableFuture<PeerFrame> inFlight = request("held", LONG_NANOS);
		this.heldReplies.poll(20, TimeUnit.SECONDS);
		this.links.reopenToIncarnation(B.incarnation());
		assertThat(result(request("x", LONG_NANOS))).isEqualTo("x");
		assertThat(inFlight).isNotDone();
		assertThat(this.links.endedNanos(B.host())).isZero();
		long beforeNanos = System.nanoTime();
		this.links.reopenToIncarnation(Incarnation.of(B.host(), 6));
		assertThat(result(inFlight)).isEqualTo(Outcome.UNKNOWN + " " + ErrorKind.HOLDER_UNREACHABLE);
		await(() -> this.links.endedNanos(B.host()) >= beforeNanos);
		awaitUp();
	}

	/**
	 * Guards against a message that is dropped although later messages arrive on the same
	 * link (second incident TWICE), or that counts as sent although the link was down.
	 */
	@Example
	void messageThatNoLaterOneReplacesIsSentOverAFullLink() throws Exception {
		try (ServerSocket listener = new ServerSocket()) {
			listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
			listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
			startLinks((InetSocketAddress) listener.getLocalSocketAddress(), null);
			assertThat(this.links.sendUnlessDown(B.host(), query("before"))).failsWithin(LIMIT);
			try (RawPeer peer = new RawPeer(listener.accept())) {
				peer.acceptHandshake(B, KEY);
				awaitUp();
				for (int i = 0; i < MORE_THAN_UNSENT_MESSAGES; i++) {
					this.links.send(B.host(), query("x".repeat(MAX_FRAME_BYTES / 4)));
				}
				await(() -> this.dropped.get() > 0);
				CompletableFuture<Void> sent = this.links.sendUnlessDown(B.host(), query("last"));
				assertThat(sent).isNotDone();
				String key = "";
				while (!key.equals("last")) {
					key = peer.read().getQuerySubmission().getKey();
				}
				assertThat(sent).succeedsWithin(LIMIT);
				this.links.block(B.host());
				assertThat(this.links.sendUnlessDown(B.host(), query("after"))).failsWithin(LIMIT)
					.withThrowableThat()
					.havingCause()
					.isInstanceOfSatisfying(DispatchException.class,
							(error) -> assertThat(error.outcome()).isEqualTo(Outcome.NOT_RUN));
			}
		}
	}

	/**
	 * Guards against a message that is handled although it was delayed for so long that
	 * its sender may have given it up (incident TWICE).
	 */
	@Example
	void delayedMessagesAreRefused() throws Exception {
		startServer(null);
		try (RawPeer peer = RawPeer.open(this.server.address())) {
			long clockNanos = peer.openHandshake(A, "k", KEY);
			this.serverClockOffset.addAndGet(this.limits.maxMessageAgeNanos());
			peer.send(RawPeer.frame().setAcceptorClockNanos(clockNanos).mergeFrom(query("one-way").build()));
			clockNanos = peer.read().getAcceptorClockNanos();
			this.serverClockOffset.addAndGet(this.limits.maxMessageAgeNanos());
			peer.send(RawPeer.frame()
				.setAcceptorClockNanos(clockNanos)
				.setCorrelationId(1)
				.mergeFrom(query("late").build()));
			PeerFrame refusal = peer.read();
			assertThat(refusal.getRefusal().getError()).isEqualTo(ErrorKind.STALE_MESSAGE.name());
			assertThat(refusal.getRefusal().getOutcome()).isEqualTo(Outcome.NOT_RUN.text());
			assertThat(this.received).isEmpty();
			peer.send(RawPeer.frame()
				.setAcceptorClockNanos(refusal.getAcceptorClockNanos())
				.setCorrelationId(2)
				.mergeFrom(query("x").build()));
			assertThat(peer.read().getSubmissionReply().getBody().toStringUtf8()).isEqualTo("x");
		}
	}

	/**
	 * Guards against requests that fail on an idle link because the peer's time that is
	 * known there is old.
	 */
	@Example
	void requestOnAnIdleLinkIsSentAgainWithTheCurrentTime() {
		startBoth();
		this.serverClockOffset.addAndGet(this.limits.maxMessageAgeNanos());
		assertThat(result(request("x", LONG_NANOS))).isEqualTo("x");
		assertThat(this.received).hasSize(1);
	}

	/** Guards against a submission that is sent again after it was withdrawn. */
	@Example
	void cancelledRequestIsNotSentAgain() throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
			startLinks((InetSocketAddress) listener.getLocalSocketAddress(), null);
			try (RawPeer peer = new RawPeer(listener.accept())) {
				peer.acceptHandshake(B, KEY);
				awaitUp();
				CompletableFuture<PeerFrame> cancelled = request("cancelled", LONG_NANOS);
				long cancelledId = peer.read().getCorrelationId();
				cancelled.cancel(false);
				CompletableFuture<PeerFrame> other = request("other", LONG_NANOS);
				long otherId = peer.read().getCorrelationId();
				peer.send(PeerFrames.refusal(DispatchException.of(ErrorKind.STALE_MESSAGE, Outcome.NOT_RUN, "late"))
					.setProtocolVersion(PeerFrames.PROTOCOL_VERSION)
					.setCorrelationId(cancelledId));
				peer.send(RawPeer.frame()
					.setSubmissionReply(SubmissionReply.newBuilder().setBody(ByteString.copyFromUtf8("x")))
					.setCorrelationId(otherId));
				assertThat(result(other)).isEqualTo("x");
				this.links.send(B.host(), query("next"));
				assertThat(peer.read().getQuerySubmission().getKey()).isEqualTo("next");
			}
		}
	}

	/**
	 * Guards against messages on a link that its host has replaced by a new one; the host
	 * has given them up.
	 */
	@Example
	void newLinkClosesTheEarlierLinkOfTheSameHost() throws Exception {
		startServer(null);
		try (RawPeer first = RawPeer.open(this.server.address())) {
			first.openHandshake(A, "k", KEY);
			try (RawPeer second = RawPeer.open(this.server.address())) {
				long clockNanos = second.openHandshake(A, "k", KEY);
				assertThat(first.isAtEnd()).isTrue();
				assertAnswers(second, clockNanos);
			}
		}
	}

	/** Guards against a handshake that is completed late and closes the newer link. */
	@Example
	void earlierLinkWithALateHandshakeIsClosed() throws Exception {
		startServer(null);
		try (RawPeer first = RawPeer.open(this.server.address())) {
			Hello client = PeerProof.newHello(A, "k");
			first.send(client);
			Hello server = first.read().getHello();
			try (RawPeer second = RawPeer.open(this.server.address())) {
				long clockNanos = second.openHandshake(A, "k", KEY);
				first.sendClientProof(client, server, KEY);
				first.awaitEnd();
				assertAnswers(second, clockNanos);
			}
		}
	}

	private static void assertAnswers(RawPeer peer, long clockNanos) throws IOException {
		peer.send(RawPeer.frame().setAcceptorClockNanos(clockNanos).setCorrelationId(1).mergeFrom(query("x").build()));
		assertThat(peer.read().getSubmissionReply().getBody().toStringUtf8()).isEqualTo("x");
	}

	/**
	 * Guards against a key rotation that needs a restart, and against links that stay
	 * open after the key that authenticated them was removed.
	 */
	@Example
	void keysAreRotatedAtRunTime() throws Exception {
		this.limits = LIMITS.withTimeouts(LONG_NANOS, SHORT_NANOS, SHORT_NANOS);
		startServer(null);
		this.keysOfB.replace("n", Map.of("n", OTHER_KEY));
		this.keysOfA.replace("n", Map.of("n", KEY));
		startLinks(this.server.address(), null);
		assertLinkFails();
		this.keysOfA.replace("n", Map.of("n", OTHER_KEY, "k", KEY));
		awaitUp();
		this.keysOfB.replace("n", Map.of("n", OTHER_KEY, "k", KEY));
		int before = this.linkDowns.get();
		this.keysOfA.replace("k", Map.of("k", KEY));
		await(() -> this.linkDowns.get() > before);
		await(() -> result(request("x", LONG_NANOS)).equals("x"));
	}

	/**
	 * Guards against a link to a wrong host at the address of a peer, and against
	 * requests that never complete because the peer accepts the link and then sends
	 * nothing or stops reading.
	 */
	@Example
	void wrongAndUnresponsivePeersAreDetected() throws Exception {
		this.limits = LIMITS.withTimeouts(LONG_NANOS, SHORT_NANOS, SHORT_NANOS);
		try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
			startLinks((InetSocketAddress) listener.getLocalSocketAddress(), null);
			try (RawPeer wrong = new RawPeer(listener.accept())) {
				wrong.sendProof(identity("c"), KEY);
				assertRefused(wrong, "host 'c' answers at the address of 'b'");
			}
			try (RawPeer silent = new RawPeer(listener.accept())) {
				silent.acceptHandshake(B, KEY);
				awaitUp();
				List<CompletableFuture<PeerFrame>> replies = new ArrayList<>();
				for (int i = 0; i < 40; i++) {
					replies.add(request("x".repeat(MAX_FRAME_BYTES / 4), LONG_NANOS));
				}
				Set<String> results = new TreeSet<>();
				for (CompletableFuture<PeerFrame> reply : replies) {
					results.add(result(reply));
				}
				assertThat(results).contains(Outcome.UNKNOWN + " " + ErrorKind.HOLDER_UNREACHABLE,
						Outcome.NOT_RUN + " " + ErrorKind.HOLDER_UNREACHABLE);
			}
		}
	}

	/**
	 * Guards against TLS that accepts a certificate of another authority.
	 */
	@Example
	void tlsAcceptsOnlyThePrivateAuthority() throws Exception {
		startServer(tls("private", "private"));
		startLinks(this.server.address(), tls("private", "private"));
		awaitUp();
		assertThat(result(request("x", LONG_NANOS))).isEqualTo("x");
		this.links.close();
		for (PeerTls untrusted : new PeerTls[] { tls("stranger", "stranger"), tls("stranger", "private"),
				tls("private", "stranger"), null }) {
			startLinks(this.server.address(), untrusted);
			assertLinkFails();
			this.links.close();
		}
		assertThat(this.received).hasSize(1);
	}

	// Waits for the end of the first connection attempt, since every request fails
	// before that.
	private void assertLinkFails() {
		await(() -> {
			Throwable failure = request("x", LONG_NANOS).handle((frame, error) -> error).join();
			return failure == null || !failure.getMessage().contains("no connection yet");
		});
		assertThat(result(request("x", LONG_NANOS))).isEqualTo(Outcome.NOT_RUN + " " + ErrorKind.HOLDER_UNREACHABLE);
	}

	private static PeerTls tls(String host, String authority) throws IOException {
		return PeerTls.of(resource(host + "-host.pem"), resource(host + "-host.key"), resource(authority + "-ca.pem"));
	}

	private static byte[] resource(String name) throws IOException {
		try (InputStream input = PeerLinksTests.class.getResourceAsStream(name)) {
			return input.readAllBytes();
		}
	}

}
