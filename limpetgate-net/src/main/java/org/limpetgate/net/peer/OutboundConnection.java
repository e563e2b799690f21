package org.limpetgate.net.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import javax.crypto.SecretKey;

import io.netty.channel.ChannelHandlerContext;
import io.netty.util.concurrent.ScheduledFuture;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.proto.Hello;
import org.limpetgate.proto.PeerFrame;

/**
 * The opening side of a link, which sends requests and one-way messages.
 */
final class OutboundConnection extends PeerConnection {

	private final PeerLink link;

	private final Map<Long, Request> requests = new HashMap<>();

	private Hello clientHello;

	private Hello serverHello;

	private SecretKey key;

	private long lastCorrelationId;

	/** The newest time of the peer's clock that was received on this connection. */
	private long acceptorClockNanos;

	private boolean ended;

	OutboundConnection(PeerLink link, PeerSettings settings) {
		super(settings);
		this.link = link;
	}

	@Override
	void onConnected() {
		String keyId = settings().keys().currentId();
		this.key = settings().keys().find(keyId);
		this.clientHello = PeerProof.newHello(settings().self(), keyId);
		writeHello(this.clientHello);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
		this.acceptorClockNanos = Math.max(this.acceptorClockNanos, frame.getAcceptorClockNanos());
		this.link.received(settings().clock().getAsLong());
		super.channelRead0(ctx, frame);
	}

	@Override
	long acceptorClockNanos() {
		return this.acceptorClockNanos;
	}

	@Override
	void handleHello(Hello hello) {
		if (this.serverHello == null) {
			sendProof(hello);
		}
		else {
			onAuthenticated(PeerProof.claimedIdentity(this.serverHello), this.clientHello.getKeyId(), this.key);
			this.link.linkUp(this);
		}
	}

	private void sendProof(Hello hello) {
		if (this.key == null
				|| !PeerProof.isValid(hello.getMac(), this.key, PeerProof.Role.SERVER, this.clientHello, hello)) {
			refuse("the proof of key '" + this.clientHello.getKeyId() + "' is wrong");
			return;
		}
		String host = hello.getIncarnation().getHost();
		if (!host.equals(this.link.host().value())) {
			refuse("host '" + host + "' answers at the address of '" + this.link.host() + "'");
			return;
		}
		this.serverHello = hello;
		writeHello(this.clientHello.toBuilder()
			.setMac(PeerProof.mac(this.key, PeerProof.Role.CLIENT, this.clientHello, this.serverHello))
			.build());
	}

	@Override
	void handleFrame(PeerFrame frame) {
		if (frame.getCorrelationId() == 0) {
			if (frame.hasRefusal()) {
				close("the peer closed the link: " + frame.getRefusal().getMessage());
			}
			return;
		}
		Request request = this.requests.remove(frame.getCorrelationId());
		if (request == null) {
			settings().metrics().lateReply();
			return;
		}
		DispatchException error = frame.hasRefusal() ? PeerFrames.toException(frame.getRefusal()) : null;
		if (isStale(error) && !request.repeated() && !request.reply().isDone()) {
			// The refusal brought the peer's current time. On an idle link the known
			// time is always too old.
			send(request.repeat());
			return;
		}
		request.timeout().cancel(false);
		if (error != null) {
			request.reply().completeExceptionally(error);
		}
		else {
			request.reply().complete(frame);
		}
	}

	private static boolean isStale(DispatchException error) {
		return error != null && error.kind() == ErrorKind.STALE_MESSAGE && error.outcome() == Outcome.NOT_RUN;
	}

	@Override
	void probe() {
		writeHello(Hello.getDefaultInstance());
	}

	/**
	 * Sends a request.
	 * @param message the message without version and correlation id
	 * @param timeoutNanos the time limit for the reply, in nanoseconds
	 * @param reply receives the reply
	 */
	void request(PeerFrame message, long timeoutNanos, CompletableFuture<PeerFrame> reply) {
		if (!context().channel().isWritable()) {
			reply.completeExceptionally(DispatchException.of(ErrorKind.OVERLOADED, Outcome.NOT_RUN,
					"the link to " + this.link.host() + " has too many unsent bytes"));
			return;
		}
		long id = ++this.lastCorrelationId;
		ScheduledFuture<?> timeout = context().executor()
			.schedule(() -> timedOut(id), timeoutNanos, TimeUnit.NANOSECONDS);
		send(new Request(id, message, reply, timeout, false));
	}

	private void send(Request request) {
		long id = request.id();
		this.requests.put(id, request);
		write(request.message().toBuilder().setCorrelationId(id)).addListener((written) -> {
			if (!written.isSuccess()) {
				failUnsent(id, written.cause());
			}
		});
	}

	/**
	 * Fails a request whose frame the operating system did not accept completely. The
	 * peer handles complete frames only, so that the request did not run.
	 * @param id the correlation id
	 * @param cause the failure of the write
	 */
	private void failUnsent(long id, Throwable cause) {
		fail(id, DispatchException.of(ErrorKind.HOLDER_UNREACHABLE, Outcome.NOT_RUN,
				"the request to " + this.link.host() + " was not sent: " + cause.getMessage()));
	}

	private void timedOut(long id) {
		// A frame that is not sent yet may still be sent later.
		fail(id, DispatchException.of(ErrorKind.DEADLINE_EXCEEDED, Outcome.UNKNOWN,
				"no reply from " + this.link.host() + " in time"));
	}

	private void fail(long id, DispatchException error) {
		Request request = this.requests.remove(id);
		if (request != null) {
			request.timeout().cancel(false);
			request.reply().completeExceptionally(error);
		}
	}

	/**
	 * Sends a one-way message, or drops it if the write buffer is full.
	 * @param message the message without version
	 * @return false if it was dropped
	 */
	boolean send(PeerFrame message) {
		if (!context().channel().isWritable()) {
			return false;
		}
		write(message.toBuilder().clearCorrelationId());
		return true;
	}

	/**
	 * Sends a one-way message even if the write buffer is full.
	 * @param message the message without version
	 * @param sent completes when the operating system has accepted the message, and fails
	 * if the connection is closed before
	 */
	void sendAlways(PeerFrame message, CompletableFuture<Void> sent) {
		write(message.toBuilder().clearCorrelationId()).addListener((written) -> {
			if (written.isSuccess()) {
				sent.complete(null);
			}
			else {
				sent.completeExceptionally(this.link.unreachable(written.cause().getMessage()));
			}
		});
	}

	@Override
	void onClosed(String reason) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.link.linkDown(this, reason);
		// Closing fails the writes that the operating system did not accept completely,
		// which are NOT_RUN; the requests that remain may have been sent.
		context().close();
		List<Long> ids = new ArrayList<>(this.requests.keySet());
		ids.forEach((id) -> fail(id, DispatchException.of(ErrorKind.HOLDER_UNREACHABLE, Outcome.UNKNOWN,
				"the link to " + this.link.host() + " was lost: " + reason)));
	}

	/**
	 * A request that awaits its reply.
	 *
	 * @param id the correlation id
	 * @param message the message without version, clock and correlation id
	 * @param reply receives the reply
	 * @param timeout fails the request when its time limit has passed
	 * @param repeated whether it was sent again after the peer refused it as stale
	 */
	private record Request(long id, PeerFrame message, CompletableFuture<PeerFrame> reply, ScheduledFuture<?> timeout,
			boolean repeated) {

		Request repeat() {
			return new Request(this.id, this.message, this.reply, this.timeout, true);
		}

	}

}
