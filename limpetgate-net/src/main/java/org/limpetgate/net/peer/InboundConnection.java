package org.limpetgate.net.peer;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import javax.crypto.SecretKey;

import io.netty.channel.ChannelHandlerContext;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.net.http.ErrorReply;
import org.limpetgate.proto.Hello;
import org.limpetgate.proto.PeerFrame;

/**
 * The accepting side of a link, which receives requests and one-way messages.
 */
final class InboundConnection extends PeerConnection {

	private final PeerServer server;

	private PeerIdentity claimedIdentity;

	private final long number;

	/** The link that this connection serves, null before the handshake is complete. */
	private InboundLink link;

	private Hello clientHello;

	private Hello serverHello;

	private SecretKey key;

	private int inFlight;

	private boolean refusalCounted;

	InboundConnection(PeerServer server, PeerSettings settings) {
		super(settings);
		this.server = server;
		this.number = server.nextLinkNumber();
	}

	@Override
	void onConnected() {
		if (this.server.isOverLimit()) {
			refuse("the connection limit of the host is reached");
		}
	}

	long number() {
		return this.number;
	}

	@Override
	long acceptorClockNanos() {
		return settings().clock().getAsLong();
	}

	@Override
	void handleHello(Hello hello) {
		if (this.clientHello == null) {
			challenge(hello);
		}
		else {
			verifyProof(hello);
		}
	}

	private void challenge(Hello hello) {
		try {
			this.claimedIdentity = PeerProof.claimedIdentity(hello);
		}
		catch (IllegalArgumentException ex) {
			refuse(ex.getMessage());
			return;
		}
		this.key = settings().keys().find(hello.getKeyId());
		if (this.key == null) {
			refuse("the key '" + hello.getKeyId() + "' is not configured on this host");
			return;
		}
		if (this.claimedIdentity.host().equals(settings().self().host())) {
			refuse("the peer has the id of this host");
			return;
		}
		this.clientHello = hello;
		this.serverHello = PeerProof.newHello(settings().self(), hello.getKeyId());
		writeHello(this.serverHello.toBuilder()
			.setMac(PeerProof.mac(this.key, PeerProof.Role.SERVER, this.clientHello, this.serverHello))
			.build());
	}

	private void verifyProof(Hello hello) {
		if (!PeerProof.isValid(hello.getMac(), this.key, PeerProof.Role.CLIENT, this.clientHello, this.serverHello)) {
			refuse("the proof of key '" + this.clientHello.getKeyId() + "' is wrong");
			return;
		}
		if (this.server.isBlocked(this.claimedIdentity.host())) {
			close("the link is blocked");
			return;
		}
		onAuthenticated(this.claimedIdentity, this.clientHello.getKeyId(), this.key);
		this.link = new InboundLink(this.claimedIdentity, this.number);
		this.server.closeSuperseded(this);
		writeHello(Hello.getDefaultInstance());
	}

	@Override
	void handleFrame(PeerFrame frame) {
		if (frame.hasHello()) {
			// A hello after the handshake is a liveness probe.
			writeHello(Hello.getDefaultInstance());
			return;
		}
		long maxAgeNanos = maxAgeNanos(frame);
		if (maxAgeNanos > settings().limits().maxMessageAgeNanos()) {
			refuseStale(frame, maxAgeNanos);
			return;
		}
		if (frame.getCorrelationId() == 0) {
			handle(frame);
			return;
		}
		if (this.inFlight >= settings().limits().maxInFlight()) {
			reply(frame, PeerFrames.refusal(DispatchException.of(ErrorKind.OVERLOADED, Outcome.NOT_RUN,
					"the link has " + this.inFlight + " requests in flight")));
			return;
		}
		this.inFlight++;
		handle(frame).whenComplete((reply, failure) -> context().executor().execute(() -> {
			this.inFlight--;
			reply(frame, (failure != null) ? PeerFrames.refusal(ErrorReply.toDispatchException(failure)) : reply);
		}));
	}

	// Returns how long ago a frame was sent at most: the sender had received the time in
	// it before it sent the frame. Hosts of earlier versions do not repeat the time.
	private long maxAgeNanos(PeerFrame frame) {
		long provenNanos = frame.getAcceptorClockNanos();
		return (provenNanos != 0) ? acceptorClockNanos() - provenNanos : 0;
	}

	// Any reply carries the current time, so that the sender can send the message again.
	private void refuseStale(PeerFrame frame, long maxAgeNanos) {
		settings().metrics().staleMessage(this.link, frame.getMessageCase(), maxAgeNanos);
		if (frame.getCorrelationId() == 0) {
			writeHello(Hello.getDefaultInstance());
			return;
		}
		reply(frame, PeerFrames.refusal(DispatchException.of(ErrorKind.STALE_MESSAGE, Outcome.NOT_RUN, "message "
				+ frame.getMessageCase() + " may be " + TimeUnit.NANOSECONDS.toMillis(maxAgeNanos) + " ms old")));
	}

	private CompletableFuture<PeerFrame.Builder> handle(PeerFrame frame) {
		try {
			Optional<CompletableFuture<PeerFrame.Builder>> reply = this.server.handler().handle(this.link, frame);
			return reply.orElseGet(() -> CompletableFuture.failedFuture(DispatchException.of(ErrorKind.INTERNAL,
					Outcome.UNKNOWN, "the handler returned no reply to " + frame.getMessageCase())));
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private void reply(PeerFrame request, PeerFrame.Builder reply) {
		if (isRefused() || !context().channel().isActive()) {
			return;
		}
		int size = reply.setCorrelationId(request.getCorrelationId()).build().getSerializedSize()
				+ PeerLinks.FRAME_OVERHEAD_BYTES;
		if (size > settings().limits().maxFrameBytes()) {
			write(PeerFrames
				.refusal(DispatchException.of(ErrorKind.INTERNAL, Outcome.UNKNOWN,
						"the reply has " + size + " bytes, the limit is " + settings().limits().maxFrameBytes()))
				.setCorrelationId(request.getCorrelationId()));
			return;
		}
		write(reply);
	}

	@Override
	void probe() {
		// The opening side sends the probes.
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		// Stops reading requests from a peer that does not read its replies. The opening
		// side never stops reading, so that the two sides cannot deadlock.
		ctx.channel().config().setAutoRead(ctx.channel().isWritable());
	}

	@Override
	void onClosed(String reason) {
		if (isRefused() && !this.refusalCounted) {
			this.refusalCounted = true;
			settings().metrics().connectionRefused();
		}
	}

}
