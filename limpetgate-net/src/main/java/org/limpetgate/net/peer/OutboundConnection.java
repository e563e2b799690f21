package org.limpetgate.net.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import javax.crypto.SecretKey;

import io.netty.util.concurrent.ScheduledFuture;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.proto.Hello;
import org.limpetgate.proto.PeerFrame;

/**
 * The opening end of a link, which sends requests and one-way messages.
 */
final class OutboundConnection extends PeerConnection {

	private final PeerLink link;

	private final Map<Long, Request> requests = new HashMap<>();

	private Hello clientHello;

	private Hello serverHello;

	private SecretKey key;

	private long lastCorrelationId;

	private boolean ended;

	OutboundConnection(PeerLink link, PeerSettings settings) {
		super(settings);
		this.link = link;
	}

	@Override
	void opened() {
		String keyId = settings().keys().currentId();
		this.key = settings().keys().find(keyId);
		this.clientHello = PeerProof.newHello(settings().self(), keyId);
		writeHello(this.clientHello);
	}

	@Override
	void handshake(Hello hello) {
		if (this.serverHello == null) {
			prove(hello);
		}
		else {
			admit(PeerProof.claimedIdentity(this.serverHello), this.clientHello.getKeyId(), this.key);
			this.link.up(this);
		}
	}

	private void prove(Hello hello) {
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
	void received(PeerFrame frame) {
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
		request.timeout().cancel(false);
		if (frame.hasRefusal()) {
			request.reply().completeExceptionally(PeerFrames.toException(frame.getRefusal()));
		}
		else {
			request.reply().complete(frame);
		}
	}

	@Override
	void probe() {
		writeHello(Hello.getDefaultInstance());
	}

	/**
	 * Sends a request.
	 * @param message the message without version and correlation id
	 * @param timeoutNanos the time until the reply must be there, in nanoseconds
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
		this.requests.put(id, new Request(reply, timeout));
		write(message.toBuilder().setProtocolVersion(PeerFrames.PROTOCOL_VERSION).setCorrelationId(id).build())
			.addListener((written) -> {
				if (!written.isSuccess()) {
					notSent(id, written.cause());
				}
			});
	}

	/**
	 * Fails a request whose frame the operating system did not take whole. The peer acts
	 * on whole frames only, so that the request did not run.
	 * @param id the correlation id
	 * @param cause the failure of the write
	 */
	private void notSent(long id, Throwable cause) {
		fail(id, DispatchException.of(ErrorKind.HOLDER_UNREACHABLE, Outcome.NOT_RUN,
				"the request to " + this.link.host() + " was not sent: " + cause.getMessage()));
	}

	private void timedOut(long id) {
		// The frame may still leave later, even if it is not sent yet.
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
	 * Sends a one-way message, or drops it if earlier ones are still unsent.
	 * @param message the message without version
	 * @return false if it was dropped
	 */
	boolean send(PeerFrame message) {
		if (!context().channel().isWritable()) {
			return false;
		}
		write(message.toBuilder().setProtocolVersion(PeerFrames.PROTOCOL_VERSION).clearCorrelationId().build());
		return true;
	}

	@Override
	void ended(String reason) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.link.down(this, reason);
		// Closing fails the writes that were not taken whole, which are NOT_RUN; the
		// requests that remain after it may have left.
		context().close();
		List<Long> ids = new ArrayList<>(this.requests.keySet());
		ids.forEach((id) -> fail(id, DispatchException.of(ErrorKind.HOLDER_UNREACHABLE, Outcome.UNKNOWN,
				"the link to " + this.link.host() + " was lost: " + reason)));
	}

	/**
	 * A request without a reply.
	 *
	 * @param reply receives the reply
	 * @param timeout ends the wait
	 */
	private record Request(CompletableFuture<PeerFrame> reply, ScheduledFuture<?> timeout) {

	}

}
