package org.limpetgate.net.peer;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import javax.crypto.SecretKey;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.concurrent.ScheduledFuture;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.proto.Hello;
import org.limpetgate.proto.PeerFrame;

/**
 * Base class of the two sides of a link: framing, refusals, handshake timeout and
 * liveness.
 * <p>
 * All state is confined to the event loop of the connection.
 */
abstract class PeerConnection extends SimpleChannelInboundHandler<PeerFrame> {

	private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

	/** The frame limit before authentication, enough for any hello or refusal. */
	private static final int MAX_HANDSHAKE_FRAME_BYTES = 4096;

	/** The time for the peer to read a refusal and close. */
	private static final long LINGER_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final PeerSettings settings;

	private final PeerFrames.Decoder decoder = new PeerFrames.Decoder(MAX_HANDSHAKE_FRAME_BYTES);

	private ChannelHandlerContext context;

	private volatile PeerIdentity peer;

	private String keyId;

	private SecretKey key;

	private ScheduledFuture<?> timer;

	private int probesWithoutInput;

	private boolean refused;

	PeerConnection(PeerSettings settings) {
		super(PeerFrame.class);
		this.settings = settings;
	}

	void install(Channel channel, SslContext tls) {
		ChannelPipeline pipeline = channel.pipeline();
		if (tls != null) {
			pipeline.addLast(tls.newHandler(channel.alloc()));
		}
		pipeline.addLast(this.decoder, this);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) throws Exception {
		this.timer = ctx.executor()
			.schedule(() -> refuse("the handshake took too long"), this.settings.limits().handshakeNanos(),
					TimeUnit.NANOSECONDS);
		onConnected();
	}

	/** Called when the connection is open; the opening side begins the handshake. */
	abstract void onConnected();

	/**
	 * Handles a hello of the handshake.
	 * @param hello the hello, of the supported protocol version
	 */
	abstract void handleHello(Hello hello);

	/**
	 * Returns the time of the accepting side's clock that this side sends in its frames.
	 * @return the time in nanoseconds, 0 if this side does not know it yet
	 */
	abstract long acceptorClockNanos();

	/**
	 * Handles a frame after the handshake.
	 * @param frame the frame, of the supported protocol version
	 */
	abstract void handleFrame(PeerFrame frame);

	/** Sends a liveness probe if this side sends probes. */
	abstract void probe();

	/**
	 * Handles the end of the connection; may be called more than once.
	 * @param reason the reason, for messages
	 */
	abstract void onClosed(String reason);

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
		if (this.refused) {
			return;
		}
		this.settings.metrics().bytesReceived(frame.getSerializedSize());
		this.probesWithoutInput = 0;
		if (frame.getProtocolVersion() != PeerFrames.PROTOCOL_VERSION) {
			refuse("protocol version " + frame.getProtocolVersion() + " is not supported, this host speaks version "
					+ PeerFrames.PROTOCOL_VERSION);
		}
		else if (this.peer != null) {
			handleFrame(frame);
		}
		else if (frame.hasRefusal()) {
			close("the peer refused the link: " + frame.getRefusal().getMessage());
		}
		else if (frame.hasHello()) {
			handleHello(frame.getHello());
		}
		else {
			refuse("the first frames must be the handshake");
		}
	}

	/**
	 * Completes the handshake after the proof of the peer was verified.
	 * @param identity the authenticated identity
	 * @param usedKeyId the id of the key of the proof
	 * @param usedKey the key of the proof
	 */
	void onAuthenticated(PeerIdentity identity, String usedKeyId, SecretKey usedKey) {
		this.peer = identity;
		this.keyId = usedKeyId;
		this.key = usedKey;
		this.decoder.raiseLimit(this.settings.limits().maxFrameBytes());
		this.timer.cancel(false);
		long nanos = this.settings.limits().probeNanos();
		this.timer = this.context.executor()
			.scheduleWithFixedDelay(this::checkLiveness, nanos, nanos, TimeUnit.NANOSECONDS);
	}

	private void checkLiveness() {
		this.probesWithoutInput++;
		if (!this.settings.keys().contains(this.keyId, this.key)) {
			refuse("the key '" + this.keyId + "' of this link was removed");
		}
		else if (this.probesWithoutInput > PeerLimits.MAX_PROBES_WITHOUT_INPUT) {
			close("no input was received during " + PeerLimits.MAX_PROBES_WITHOUT_INPUT + " probes");
		}
		else {
			probe();
		}
	}

	/**
	 * Writes a frame.
	 * @param message the frame without version and clock
	 * @return completes when the operating system has accepted the complete frame
	 */
	ChannelFuture write(PeerFrame.Builder message) {
		PeerFrame frame = message.setProtocolVersion(PeerFrames.PROTOCOL_VERSION)
			.setAcceptorClockNanos(acceptorClockNanos())
			.build();
		ByteBuf bytes = PeerFrames.encode(this.context.alloc(), frame);
		this.settings.metrics().bytesSent(bytes.readableBytes());
		return this.context.writeAndFlush(bytes);
	}

	void writeHello(Hello hello) {
		write(PeerFrame.newBuilder().setHello(hello));
	}

	/**
	 * Sends the peer a refusal with the reason and closes the link. Input is read and
	 * discarded until the peer closes, because a close with unread input would reset the
	 * connection, and the peer could lose the refusal.
	 * @param reason the reason
	 */
	void refuse(String reason) {
		if (this.refused) {
			return;
		}
		this.refused = true;
		this.decoder.discardInput();
		cancelTimer();
		LOG.atInfo()
			.atMostEvery(1, TimeUnit.SECONDS)
			.log("LG5101 PEER_REFUSED refused the connection with %s: %s", this.context.channel().remoteAddress(),
					reason);
		DispatchException error = DispatchException.of(ErrorKind.PEER_REFUSED, Outcome.NOT_RUN, reason);
		write(PeerFrames.refusal(error)).addListener((written) -> endOutput());
		this.timer = this.context.executor().schedule(() -> close(reason), LINGER_NANOS, TimeUnit.NANOSECONDS);
		onClosed(reason);
	}

	private void endOutput() {
		if (this.context.pipeline().get(SslHandler.class) != null) {
			this.context.pipeline().get(SslHandler.class).closeOutbound();
		}
		else if (this.context.channel() instanceof DuplexChannel channel) {
			channel.shutdownOutput();
		}
	}

	void close(String reason) {
		onClosed(reason);
		this.context.close();
	}

	void runOnLoop(Runnable task) {
		if (this.context.executor().inEventLoop()) {
			task.run();
		}
		else {
			this.context.executor().execute(task);
		}
	}

	private void cancelTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		cancelTimer();
		onClosed("the connection was closed");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		boolean fromTls = cause instanceof DecoderException && cause.getCause() instanceof IOException;
		Throwable root = fromTls ? cause.getCause() : cause;
		if (root instanceof DecoderException) {
			refuse(root.getMessage());
			return;
		}
		if (!(root instanceof IOException)) {
			LOG.atWarning()
				.atMostEvery(1, TimeUnit.SECONDS)
				.withCause(root)
				.log("LG5102 PEER_LINK_FAULT link with %s failed", ctx.channel().remoteAddress());
		}
		close("the connection failed: " + root.getMessage());
	}

	PeerSettings settings() {
		return this.settings;
	}

	PeerIdentity peer() {
		return this.peer;
	}

	ChannelHandlerContext context() {
		return this.context;
	}

	boolean isRefused() {
		return this.refused;
	}

}
